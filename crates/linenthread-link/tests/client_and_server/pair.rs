//! A client and a server connected without a socket, with a record of their actions.

use linenthread_core::interface::{AttemptOutcome, Phase, TenthMillis};
use linenthread_link::frame::{CallOutcome, CallRequest, Challenge};
use linenthread_link::{
    Call, CallId, CallNumber, ClientAction, ClientCloseReason, ClientConfig, ConnectionId, Frame,
    LinkAvailability, LinkClient, LinkServer, Member, MembersReport, Secrets, ServerAction,
    ServerCloseReason, ServerConfig, SessionId,
};

pub(crate) const OLD: &[u8] = b"the secret that was used";
pub(crate) const NEW: &[u8] = b"the secret that is used now";

pub(crate) fn secrets(all: &[&[u8]]) -> Secrets {
    Secrets::new(all.iter().map(|s| s.to_vec()).collect()).unwrap()
}

pub(crate) fn client(secret: &[&[u8]]) -> LinkClient {
    let config = ClientConfig {
        name: "client".into(),
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

pub(crate) fn server(secret: &[&[u8]], window_calls: u64) -> LinkServer {
    let config = ServerConfig {
        name: "server".into(),
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

pub(crate) fn call_frame(number: u64, text: &str) -> Frame {
    Frame::Call(CallRequest {
        number: CallNumber(number),
        remaining_ms: 9,
        call: call(text),
    })
}

pub(crate) fn challenge(min_version: u8, max_version: u8) -> Frame {
    Frame::Challenge(Challenge {
        min_version,
        max_version,
        nonce: [0; 16],
        name: "n".into(),
    })
}

pub(crate) fn member(id: &str, phase: Phase) -> Member {
    Member {
        id: id.into(),
        zone: "m".into(),
        replica_group: 0,
        phase,
        age_ms: None,
        slow_start_share: 250,
    }
}

/// A report about the members from the client to its driver.
#[derive(Debug, PartialEq)]
pub(crate) struct ReceivedMembers {
    /// Whether it is the complete list or the changes.
    complete: bool,
    /// The phase of each member, by its id.
    phases: Vec<(String, Phase)>,
}

pub(crate) fn received_members(complete: bool, members: &[(&str, Phase)]) -> ReceivedMembers {
    let phases = members
        .iter()
        .map(|(id, phase)| ((*id).to_owned(), *phase))
        .collect();
    ReceivedMembers { complete, phases }
}

/// A call started by the server.
#[derive(Clone)]
pub(crate) struct Started {
    pub(crate) session: SessionId,
    pub(crate) number: CallNumber,
    pub(crate) text: String,
}

/// A client, a server, and a record of their actions.
pub(crate) struct Pair {
    pub(crate) client: LinkClient,
    pub(crate) server: LinkServer,
    pub(crate) now: TenthMillis,
    pub(crate) connection: ConnectionId,
    pub(crate) started: Vec<Started>,
    pub(crate) completed: Vec<(CallId, AttemptOutcome)>,
    pub(crate) availability: Vec<LinkAvailability>,
    pub(crate) closed_by_client: Vec<ClientCloseReason>,
    pub(crate) closed_by_server: Vec<ServerCloseReason>,
    pub(crate) received_members: Vec<ReceivedMembers>,
    /// The frames sent by the client.
    pub(crate) sent: Vec<Frame>,
}

impl Pair {
    pub(crate) fn new(client: LinkClient, server: LinkServer) -> Pair {
        Pair {
            client,
            server,
            now: 1_000,
            connection: ConnectionId(0),
            started: Vec::new(),
            completed: Vec::new(),
            availability: Vec::new(),
            closed_by_client: Vec::new(),
            closed_by_server: Vec::new(),
            received_members: Vec::new(),
            sent: Vec::new(),
        }
    }

    pub(crate) fn established(window_calls: u64) -> Pair {
        let mut pair = Pair::new(client(&[NEW]), server(&[NEW], window_calls));
        pair.run_client_timers();
        pair
    }

    /// Executes and records the client's actions.
    pub(crate) fn execute(&mut self, actions: Vec<ClientAction>) {
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
                ClientAction::Availability(availability) => self.availability.push(availability),
                ClientAction::Members(report) => {
                    let (complete, members) = match report {
                        MembersReport::Complete(members) => (true, members),
                        MembersReport::Changes(members) => (false, members),
                    };
                    let phases = members.into_iter().map(|m| (m.id, m.phase)).collect();
                    self.received_members
                        .push(ReceivedMembers { complete, phases });
                }
                ClientAction::ProbeCompleted { .. } => {}
            }
        }
    }

    /// Passes an event to the server, then executes and records its actions.
    pub(crate) fn at_server(
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

    pub(crate) fn client_receives(&mut self, frame: Frame) {
        let mut actions = Vec::new();
        self.client.on_frame(self.now, frame, &mut actions);
        self.execute(actions);
    }

    pub(crate) fn server_receives(&mut self, frame: Frame) {
        self.at_server(|server, now, connection, actions| {
            server.on_frame(now, connection, frame, actions);
        });
    }

    pub(crate) fn run_client_timers(&mut self) {
        let mut actions = Vec::new();
        self.client.on_timeout(self.now, &mut actions);
        self.execute(actions);
    }

    pub(crate) fn call(&mut self, text: &str, priority: u32) -> CallId {
        let mut actions = Vec::new();
        let deadline = self.now + 10_000;
        let id = self
            .client
            .call(self.now, call(text), deadline, priority, &mut actions);
        self.execute(actions);
        id
    }

    pub(crate) fn complete(&mut self, index: usize, outcome: AttemptOutcome) {
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

    pub(crate) fn disconnect(&mut self) {
        let mut actions = Vec::new();
        self.client.on_disconnected(self.now, &mut actions);
        self.execute(actions);
        self.server.on_disconnected(self.now, self.connection);
    }

    pub(crate) fn is_closed_by_either(&self) -> bool {
        !self.closed_by_client.is_empty() || !self.closed_by_server.is_empty()
    }

    /// Formats the reasons for closed connections, for the message of a failed assertion.
    pub(crate) fn close_reasons(&self) -> String {
        format!("{:?} {:?}", self.closed_by_client, self.closed_by_server)
    }

    pub(crate) fn started_texts(&self) -> String {
        self.started.iter().map(|call| call.text.as_str()).collect()
    }
}
