//! Lost connections: which are reported to the driver, and how the session is resumed.

use linenthread_core::interface::AttemptOutcome;
use linenthread_link::frame::Credit;
use linenthread_link::{CallNumber, ClientAction, Frame, LinkAvailability};

use crate::pair::{Pair, call_frame, challenge};

#[test]
fn only_interruptions_beyond_the_grace_period_are_reported() {
    let mut pair = Pair::established(4);
    pair.call("a", 1);
    pair.disconnect();
    let queued = pair.call("b", 1);
    pair.now += 100;
    pair.run_client_timers();
    assert_eq!(
        (pair.availability.as_slice(), pair.completed.len()),
        (&[LinkAvailability::Up][..], 0)
    );
    assert_eq!(
        pair.started[1].text, "b",
        "it is sent once the connection is re-established"
    );
    pair.complete(0, AttemptOutcome::Success);
    pair.complete(1, AttemptOutcome::Success);
    assert_eq!(pair.completed[1], (queued, AttemptOutcome::Success));
    pair.disconnect();
    pair.call("c", 1);
    // No connection can be opened: after the grace period the link is reported as down, and queued calls fail as not
    // sent.
    for _ in 0..6 {
        pair.now += 100;
        let mut actions = Vec::new();
        pair.client.on_timeout(pair.now, &mut actions);
        actions.retain(|action| *action != ClientAction::Connect);
        pair.client.on_disconnected(pair.now, &mut actions);
        pair.execute(actions);
    }
    assert_eq!(
        pair.availability,
        [LinkAvailability::Up, LinkAvailability::Down]
    );
    assert_eq!(pair.completed.last().unwrap().1, AttemptOutcome::NotSent);
    let refused = pair.call("d", 1);
    assert_eq!(
        pair.completed.last(),
        Some(&(refused, AttemptOutcome::NotSent))
    );
}

#[test]
fn an_unexpected_frame_closes_the_connection_but_not_the_session() {
    let unexpected = [
        call_frame(3, "x"),
        call_frame(2, &"x".repeat(20_000)),
        Frame::Credit(Credit {
            last_call: CallNumber(1),
            bytes: 1,
        }),
        challenge(1, 1),
    ];
    for frame in unexpected {
        let mut pair = Pair::established(4);
        let id = pair.call("a", 1);
        pair.server_receives(frame.clone());
        assert!(
            !pair.client.is_ready() && pair.is_closed_by_either(),
            "{frame:?}"
        );
        // The session is resumed, and the outcome is delivered.
        pair.now += 150;
        pair.run_client_timers();
        pair.complete(0, AttemptOutcome::Success);
        assert_eq!(
            pair.completed,
            [(id, AttemptOutcome::Success)],
            "{frame:?}: {}",
            pair.close_reasons()
        );
    }
}
