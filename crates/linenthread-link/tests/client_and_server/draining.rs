//! A server that shuts down gracefully.

use linenthread_core::interface::AttemptOutcome;
use linenthread_link::LinkAvailability;

use crate::pair::{Pair, call_frame};

#[test]
fn a_draining_server_accepts_nothing_new_and_finishes_what_runs() {
    let mut pair = Pair::established(4);
    let running = pair.call("a", 1);
    pair.at_server(|server, _, _, actions| server.start_draining(actions));
    assert_eq!(
        pair.availability,
        [LinkAvailability::Up, LinkAvailability::Down]
    );
    let late = pair.call("b", 1);
    assert_eq!(pair.completed, [(late, AttemptOutcome::NotSent)]);
    assert_eq!(pair.server.retained_calls(), 1);
    pair.complete(0, AttemptOutcome::Success);
    assert_eq!(
        (pair.completed[1], pair.server.retained_calls()),
        ((running, AttemptOutcome::Success), 0)
    );
    // One that was on its way at the goodbye is rejected.
    pair.server_receives(call_frame(2, "c"));
    assert_eq!(pair.started.len(), 1);
}
