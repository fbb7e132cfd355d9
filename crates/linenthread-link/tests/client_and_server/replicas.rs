//! The replicas behind a link: their membership and their health checks.

use linenthread_core::interface::{AttemptOutcome, Phase};
use linenthread_link::frame::{MembersUpdate, ProbeOutcome};
use linenthread_link::{ClientAction, Frame};

use crate::pair::{NEW, Pair, client, member, received_members, server};

#[test]
fn members_are_sent_once_completely_and_then_as_changes() {
    let (ready, draining, removed) = (Phase::Ready, Phase::Draining, Phase::Removed);
    let mut pair = Pair::new(client(&[NEW]), server(&[NEW], 4));
    pair.at_server(|server, _, _, actions| {
        server.set_members(vec![member("a", ready), member("b", ready)], actions);
    });
    pair.run_client_timers();
    pair.at_server(|server, _, _, actions| {
        server.set_members(vec![member("a", draining), member("c", ready)], actions);
    });
    let complete = received_members(true, &[("a", ready), ("b", ready)]);
    let changes = received_members(false, &[("a", draining), ("c", ready), ("b", removed)]);
    assert_eq!(pair.received_members, [complete, changes]);
    // After a missed update the client closes the connection; the complete list is sent on the next one.
    pair.client_receives(Frame::Members(MembersUpdate {
        revision: 9,
        complete: false,
        members: Vec::new(),
    }));
    assert!(!pair.client.is_ready());
    pair.server.on_disconnected(pair.now, pair.connection);
    pair.now += 150;
    pair.run_client_timers();
    assert_eq!(
        pair.received_members[2],
        received_members(true, &[("a", draining), ("c", ready)])
    );
}

#[test]
fn a_health_check_completes_once_and_fails_while_the_link_is_down() {
    let mut pair = Pair::established(4);
    let mut actions = Vec::new();
    let id = pair.client.probe("r".into(), &mut actions);
    let probe = Frame::Probe {
        id,
        replica: "r".into(),
    };
    assert_eq!(actions, [ClientAction::Send(probe)]);
    let answer = Frame::Probed(ProbeOutcome {
        id,
        outcome: AttemptOutcome::Success,
        queue_depth: Some(3.0),
    });
    let completed = ClientAction::ProbeCompleted {
        id,
        outcome: AttemptOutcome::Success,
        queue_depth: Some(3.0),
    };
    let mut actions = Vec::new();
    pair.client.on_frame(pair.now, answer.clone(), &mut actions);
    pair.client.on_frame(pair.now, answer, &mut actions);
    assert_eq!(actions, [completed]);
    pair.disconnect();
    let mut actions = Vec::new();
    let id = pair.client.probe("r".into(), &mut actions);
    let failed = ClientAction::ProbeCompleted {
        id,
        outcome: AttemptOutcome::NotSent,
        queue_depth: None,
    };
    assert_eq!(actions, [failed]);
}
