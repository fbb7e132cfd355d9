//! The handshake: authentication and the choice of the version.

use linenthread_link::frame::Hello;
use linenthread_link::{
    ClientAction, ClientCloseReason, ConnectionId, Frame, LinkServer, Secrets, ServerAction,
    ServerCloseReason,
};

use crate::pair::{NEW, OLD, Pair, challenge, client, server};

#[test]
fn a_client_is_accepted_only_if_its_first_secret_is_one_of_the_servers() {
    for (client_has, server_has, accepted) in [
        (&[NEW][..], &[NEW][..], true),
        (&[OLD], &[NEW, OLD], true),
        (&[NEW, OLD], &[OLD, NEW], true),
        (&[NEW], &[OLD, NEW], true),
        (&[OLD], &[NEW], false),
        (&[NEW, OLD], &[OLD], false),
    ] {
        let mut pair = Pair::new(client(client_has), server(server_has, 4));
        pair.run_client_timers();
        assert_eq!(
            pair.client.is_ready(),
            accepted,
            "{client_has:?} {server_has:?}: {}",
            pair.close_reasons()
        );
    }
    assert!(Secrets::new(vec![b"too short".to_vec()]).is_err());
}

#[test]
fn replayed_hellos_other_versions_and_other_first_frames_are_refused() {
    let mut pair = Pair::established(4);
    let hello = pair.sent[0].clone();
    // The replay is on a new connection, whose challenge has another nonce.
    pair.connection = ConnectionId(77);
    pair.at_server(LinkServer::on_accepted);
    let mut actions = Vec::new();
    pair.server
        .on_frame(pair.now, ConnectionId(77), hello.clone(), &mut actions);
    let refused = &ServerCloseReason::Unauthenticated;
    assert!(refused.to_string().contains("does not prove"));
    assert!(
        matches!(&actions[1], ServerAction::Close { reason, .. } if reason == refused),
        "{actions:?}"
    );
    let Frame::Hello(hello) = hello else {
        panic!("the first frame is not a hello")
    };
    for first in [
        Frame::Hello(Hello {
            version: 9,
            ..hello
        }),
        Frame::Goodbye,
    ] {
        let mut actions = Vec::new();
        pair.server
            .on_accepted(pair.now, ConnectionId(78), &mut actions);
        pair.server
            .on_frame(pair.now, ConnectionId(78), first, &mut actions);
        assert!(
            matches!(actions.last(), Some(ServerAction::Close { .. })),
            "{actions:?}"
        );
    }
}

#[test]
fn a_client_closes_the_connection_to_a_server_that_does_not_support_its_version() {
    let mut client = client(&[NEW]);
    let mut actions = Vec::new();
    client.on_timeout(0, &mut actions);
    client.on_connected(0);
    actions.clear();
    client.on_frame(0, challenge(2, 3), &mut actions);
    let reason = ClientCloseReason::UnsupportedVersion {
        min_version: 2,
        max_version: 3,
    };
    assert!(reason.to_string().contains("2 to 3"));
    assert_eq!(actions[0], ClientAction::Close(reason));
}
