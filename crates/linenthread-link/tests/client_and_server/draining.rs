//! Draining of a server before it shuts down.

use linenthread_core::interface::AttemptOutcome;
use linenthread_link::LinkAvailability;

use crate::pair::{Pair, call_frame};

#[test]
fn a_draining_server_rejects_new_calls_and_completes_running_ones() {
    let mut pair = Pair::established(4);
    let running = pair.call("a", 1);
    pair.at_server(|server, _, _, actions| server.start_draining(actions));
    assert_eq!(
        pair.availability,
        [LinkAvailability::Up, LinkAvailability::Down]
    );
    let rejected = pair.call("b", 1);
    assert_eq!(pair.completed, [(rejected, AttemptOutcome::NotSent)]);
    assert_eq!(pair.server.retained_calls(), 1);
    pair.complete(0, AttemptOutcome::Success);
    assert_eq!(
        (pair.completed[1], pair.server.retained_calls()),
        ((running, AttemptOutcome::Success), 0)
    );
    // A call that was sent before the goodbye was received is rejected.
    pair.server_receives(call_frame(2, "c"));
    assert_eq!(pair.started.len(), 1);
}
