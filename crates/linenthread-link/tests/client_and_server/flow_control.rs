//! Credit, the queue that waits for it, and the bounds of that queue.

use linenthread_core::interface::AttemptOutcome;
use linenthread_link::CallId;

use crate::pair::Pair;

#[test]
fn where_credit_is_short_the_highest_priority_goes_first_and_no_call_waits_beyond_the_grace_period()
{
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
    pair.time_out();
    let completed = [
        (ids[0], AttemptOutcome::Success),
        (ids[1], AttemptOutcome::Rejected),
        (ids[2], AttemptOutcome::NotSent),
    ];
    assert_eq!(pair.completed, completed);
    // Bytes are limited as well as calls.
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
