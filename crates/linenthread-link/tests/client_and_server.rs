//! A client and a server joined without a socket: the handshake, flow control and draining, edge by edge.

use linenthread_core::interface::{AttemptOutcome, Phase, TenthMillis};
use linenthread_link::frame::{
    CallOutcome, CallRequest, Challenge, Credit, Hello, MembersUpdate, ProbeOutcome,
};
use linenthread_link::{
    Call, CallId, CallNumber, ClientAction, ClientCloseReason, ClientConfig, ConnectionId, Frame,
    LinkClient, LinkServer, Member, Secrets, ServerAction, ServerCloseReason, ServerConfig,
    SessionId,
};

const OLD: &[u8] = b"the secret that was used";
const NEW: &[u8] = b"the secret that is used now";

fn secrets(all: &[&[u8]]) -> Secrets {
    Secrets::new(all.iter().map(|s| s.to_vec()).collect()).unwrap()
}

fn client(secret: &[&[u8]]) -> LinkClient {
    let config = ClientConfig {
        name: "near".into(),
        max_in_flight: 8,
        max_queued_bytes: 10_000,
        session_timeout: 5_000,
        ping_interval: 1_000,
        grace_period: 500,
        min_backoff: 10,
        max_backoff: 100,
    };
    LinkClient::new(config, secrets(secret), 7)
}

fn server(secret: &[&[u8]], window_calls: u64) -> LinkServer {
    let config = ServerConfig {
        name: "far".into(),
        window_calls,
        window_bytes: 10_000,
        session_timeout: 5_000,
        max_sessions: 2,
        handshake_timeout: 500,
        idle_timeout: 5_000,
    };
    LinkServer::new(config, secrets(secret), 8)
}

fn call(text: &str) -> Call {
    Call {
        replica: "r".into(),
        query: "l".into(),
        shard: 0,
        continuation: 0,
        text: text.into(),
    }
}

fn call_frame(number: u64, text: &str) -> Frame {
    Frame::Call(CallRequest {
        number: CallNumber(number),
        remaining_ms: 9,
        call: call(text),
    })
}

fn challenge(min_version: u8, max_version: u8) -> Frame {
    Frame::Challenge(Challenge {
        min_version,
        max_version,
        nonce: [0; 16],
        name: "n".into(),
    })
}

fn member(id: &str, phase: Phase) -> Member {
    Member {
        id: id.into(),
        zone: "m".into(),
        replica_group: 0,
        phase,
        age_ms: None,
        slow_start_share: 250,
    }
}

/// A complete list of members or not, with their ids and phases.
type ReceivedMembers = (bool, Vec<(String, Phase)>);

fn received_members(complete: bool, members: &[(&str, Phase)]) -> ReceivedMembers {
    let members = members
        .iter()
        .map(|(id, phase)| ((*id).to_string(), *phase));
    (complete, members.collect())
}

/// A call that runs at the server.
#[derive(Clone)]
struct Started {
    session: SessionId,
    number: CallNumber,
    text: String,
}

/// Two ends and what they have done.
struct Pair {
    client: LinkClient,
    server: LinkServer,
    now: TenthMillis,
    connection: ConnectionId,
    started: Vec<Started>,
    completed: Vec<(CallId, AttemptOutcome)>,
    up: Vec<bool>,
    closed_by_client: Vec<ClientCloseReason>,
    closed_by_server: Vec<ServerCloseReason>,
    received_members: Vec<ReceivedMembers>,
    /// Frames that the client has sent.
    sent: Vec<Frame>,
}

impl Pair {
    fn new(client: LinkClient, server: LinkServer) -> Pair {
        Pair {
            client,
            server,
            now: 1_000,
            connection: ConnectionId(0),
            started: Vec::new(),
            completed: Vec::new(),
            up: Vec::new(),
            closed_by_client: Vec::new(),
            closed_by_server: Vec::new(),
            received_members: Vec::new(),
            sent: Vec::new(),
        }
    }

    fn established(window_calls: u64) -> Pair {
        let mut pair = Pair::new(client(&[NEW]), server(&[NEW], window_calls));
        pair.time_out();
        pair
    }

    fn carry_out(&mut self, actions: Vec<ClientAction>) {
        for action in actions {
            match action {
                ClientAction::Connect => {
                    self.connection = ConnectionId(self.connection.0 + 1);
                    self.client.on_connected(self.now);
                    self.at_server(LinkServer::on_accepted);
                }
                ClientAction::Send(frame) => {
                    if let Frame::Call(request) = &frame {
                        self.client.on_call_written(request.number);
                    }
                    self.sent.push(frame.clone());
                    self.at_server(|server, now, connection, actions| {
                        server.on_frame(now, connection, frame, actions);
                    });
                }
                ClientAction::Close(reason) => self.closed_by_client.push(reason),
                ClientAction::CallCompleted { id, outcome, .. } => {
                    self.completed.push((id, outcome));
                }
                ClientAction::Up(up) => self.up.push(up),
                ClientAction::Members { complete, members } => {
                    let members = members.into_iter().map(|m| (m.id, m.phase)).collect();
                    self.received_members.push((complete, members));
                }
                ClientAction::ProbeCompleted { .. } => {}
            }
        }
    }

    fn at_server(
        &mut self,
        event: impl FnOnce(&mut LinkServer, TenthMillis, ConnectionId, &mut Vec<ServerAction>),
    ) {
        let mut actions = Vec::new();
        event(&mut self.server, self.now, self.connection, &mut actions);
        for action in actions {
            match action {
                ServerAction::Send { connection, frame } if connection == self.connection => {
                    self.client_receives(frame);
                }
                ServerAction::StartCall {
                    session,
                    number,
                    call,
                    ..
                } => self.started.push(Started {
                    session,
                    number,
                    text: call.text,
                }),
                ServerAction::Close { reason, .. } => self.closed_by_server.push(reason),
                _ => {}
            }
        }
    }

    fn client_receives(&mut self, frame: Frame) {
        let mut actions = Vec::new();
        self.client.on_frame(self.now, frame, &mut actions);
        self.carry_out(actions);
    }

    fn server_receives(&mut self, frame: Frame) {
        self.at_server(|server, now, connection, actions| {
            server.on_frame(now, connection, frame, actions);
        });
    }

    fn time_out(&mut self) {
        let mut actions = Vec::new();
        self.client.on_timeout(self.now, &mut actions);
        self.carry_out(actions);
    }

    fn call(&mut self, text: &str, priority: u32) -> CallId {
        let mut actions = Vec::new();
        let deadline = self.now + 10_000;
        let id = self
            .client
            .call(self.now, call(text), deadline, priority, &mut actions);
        self.carry_out(actions);
        id
    }

    fn complete(&mut self, index: usize, outcome: AttemptOutcome) {
        let Started {
            session,
            number,
            text,
        } = self.started[index].clone();
        let outcome = CallOutcome {
            number,
            outcome,
            queue_depth: None,
            value: text,
        };
        self.at_server(|server, _, _, actions| server.on_call_completed(session, outcome, actions));
    }

    fn disconnect(&mut self) {
        let mut actions = Vec::new();
        self.client.on_disconnected(self.now, &mut actions);
        self.carry_out(actions);
        self.server.on_disconnected(self.now, self.connection);
    }

    fn is_closed_by_either(&self) -> bool {
        !self.closed_by_client.is_empty() || !self.closed_by_server.is_empty()
    }

    /// What was closed and why, for a failed assertion.
    fn close_reasons(&self) -> String {
        format!("{:?} {:?}", self.closed_by_client, self.closed_by_server)
    }

    fn started_texts(&self) -> String {
        self.started.iter().map(|call| call.text.as_str()).collect()
    }
}

#[test]
fn only_a_client_with_the_secret_is_accepted_and_two_secrets_may_be_valid_at_once() {
    for (client_has, server_has, accepted) in [
        (&[NEW][..], &[NEW][..], true),
        (&[OLD], &[NEW, OLD], true),
        (&[NEW, OLD], &[OLD, NEW], true),
        (&[NEW], &[OLD, NEW], true),
        (&[OLD], &[NEW], false),
        (&[NEW, OLD], &[OLD], false),
    ] {
        let mut pair = Pair::new(client(client_has), server(server_has, 4));
        pair.time_out();
        assert_eq!(
            pair.client.is_up(),
            accepted,
            "{client_has:?} {server_has:?}: {}",
            pair.close_reasons()
        );
    }
    assert!(Secrets::new(vec![b"too short".to_vec()]).is_err());
}

#[test]
fn a_replayed_hello_proves_nothing_and_other_versions_are_refused() {
    let mut pair = Pair::established(4);
    let hello = pair.sent[0].clone();
    // On a connection of its own, with a nonce of its own.
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
        panic!("a hello")
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
fn a_server_of_other_versions_is_left() {
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

#[test]
fn a_short_interruption_is_not_reported_and_a_long_one_is() {
    let mut pair = Pair::established(4);
    pair.call("a", 1);
    pair.disconnect();
    let queued = pair.call("b", 1);
    pair.now += 100;
    pair.time_out();
    assert_eq!((pair.up.as_slice(), pair.completed.len()), (&[true][..], 0));
    assert_eq!(
        pair.started[1].text, "b",
        "it is sent once the link is back"
    );
    pair.complete(0, AttemptOutcome::Success);
    pair.complete(1, AttemptOutcome::Success);
    assert_eq!(pair.completed[1], (queued, AttemptOutcome::Success));
    pair.disconnect();
    pair.call("c", 1);
    // No connection can be opened; after the grace period that is reported, and queued calls never ran.
    for _ in 0..6 {
        pair.now += 100;
        let mut actions = Vec::new();
        pair.client.on_timeout(pair.now, &mut actions);
        actions.retain(|action| *action != ClientAction::Connect);
        pair.client.on_disconnected(pair.now, &mut actions);
        pair.carry_out(actions);
    }
    assert_eq!(pair.up, [true, false]);
    assert_eq!(pair.completed.last().unwrap().1, AttemptOutcome::NotSent);
    let refused = pair.call("d", 1);
    assert_eq!(
        pair.completed.last(),
        Some(&(refused, AttemptOutcome::NotSent))
    );
}

#[test]
fn a_draining_server_accepts_nothing_new_and_finishes_what_runs() {
    let mut pair = Pair::established(4);
    let running = pair.call("a", 1);
    pair.at_server(|server, _, _, actions| server.start_draining(actions));
    assert_eq!(pair.up, [true, false]);
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

#[test]
fn an_unexpected_frame_ends_the_connection_and_nothing_else() {
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
            !pair.client.is_up() && pair.is_closed_by_either(),
            "{frame:?}"
        );
        // The session goes on, and the outcome with it.
        pair.now += 150;
        pair.time_out();
        pair.complete(0, AttemptOutcome::Success);
        assert_eq!(
            pair.completed,
            [(id, AttemptOutcome::Success)],
            "{frame:?}: {}",
            pair.close_reasons()
        );
    }
}

#[test]
fn the_members_are_sent_completely_once_and_then_by_their_changes() {
    let (ready, draining, gone) = (Phase::Ready, Phase::Draining, Phase::Removed);
    let mut pair = Pair::new(client(&[NEW]), server(&[NEW], 4));
    pair.at_server(|server, _, _, actions| {
        server.set_members(vec![member("a", ready), member("b", ready)], actions);
    });
    pair.time_out();
    pair.at_server(|server, _, _, actions| {
        server.set_members(vec![member("a", draining), member("c", ready)], actions);
    });
    let complete = received_members(true, &[("a", ready), ("b", ready)]);
    let changes = received_members(false, &[("a", draining), ("c", ready), ("b", gone)]);
    assert_eq!(pair.received_members, [complete, changes]);
    // An update that does not follow on the last one ends the connection: the complete list comes with the next.
    pair.client_receives(Frame::Members(MembersUpdate {
        revision: 9,
        complete: false,
        members: Vec::new(),
    }));
    assert!(!pair.client.is_up());
    pair.server.on_disconnected(pair.now, pair.connection);
    pair.now += 150;
    pair.time_out();
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
