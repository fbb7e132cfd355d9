//! Credit, the queue of calls that wait for it, and the limits of that queue.

use linenthread_core::interface::AttemptOutcome;
use linenthread_link::CallId;

use crate::pair::Pair;

#[test]
fn queued_calls_are_sent_by_priority_and_fail_after_the_grace_period() {
    let mut pair = Pair::established(2);
    let ids: Vec<CallId> = [("a", 1), ("b", 1), ("c", 1), ("d", 3), ("e", 2)]
        .into_iter()
        .map(|(text, priority)| pair.call(text, priority))
        .collect();
    assert_eq!(pair.started_texts(), "ab");
    pair.complete(0, AttemptOutcome::Success);
    pair.complete(1, AttemptOutcome::Rejected);
    assert_eq!(pair.started_texts(), "abde");
    pair.now += 500;
    pair.run_client_timers();
    let completed = [
        (ids[0], AttemptOutcome::Success),
        (ids[1], AttemptOutcome::Rejected),
        (ids[2], AttemptOutcome::NotSent),
    ];
    assert_eq!(pair.completed, completed);
    // The total size of queued calls is limited, too.
    let long = "x".repeat(6_000);
    for _ in 0..2 {
        pair.call(&long, 1);
    }
    assert_eq!(
        (pair.completed.len(), pair.client.in_flight()),
        (4, 3),
        "{:?} {}",
        pair.completed,
        pair.close_reasons()
    );
    assert_eq!(pair.completed[3].1, AttemptOutcome::NotSent);
}
