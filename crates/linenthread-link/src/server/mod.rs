//! The gateway's end of all links that lead to it.
//!
//! A session is independent of the connection that it has at the moment. A call that arrives under a number of
//! the session runs once, and its outcome is retained until the client acknowledges it, within bounds in number
//! (the credit) and in time (the session time-out).
//!
//! | connection | event | next |
//! | --- | --- | --- |
//! | new | - | challenged |
//! | challenged | proven hello of a session that is retained | its older connection is closed; welcome, outcomes again |
//! | challenged | proven hello of another session | welcome to a new session, within the limit of sessions |
//! | challenged | anything else, or handshake time-out | refused and closed |
//! | established | the session's next call | runs; it uses credit until its outcome is acknowledged |
//! | established | a call that is not the next | closed: frames cannot be missing within a connection |
//! | any | end of the connection | the session is retained for its time-out |
//!
//! Invariants: *runs once*, a number of a session is started at most once; *retained until acknowledged*, an
//! outcome is dropped only when it is acknowledged or withdrawn, or with its session.

mod config;
mod session;

use std::collections::BTreeMap;

use linenthread_core::interface::{AttemptOutcome, Phase, TenthMillis};
use linenthread_frames::{Nonce, Secrets};
use oorandom::Rand64;

use crate::frame::{
    CallOutcome, CallRequest, Challenge, Frame, Hello, Member, MembersUpdate, VERSION, Welcome,
};
use crate::id::{CallNumber, ConnectionId, SessionId};
use crate::nonce;
use crate::time::from_wire_millis;

pub use config::{ServerAction, ServerCloseReason, ServerConfig};
use session::Session;

enum Connection {
    Challenged {
        nonce: Nonce,
        since: TenthMillis,
    },
    Established {
        session: SessionId,
        last_received: TenthMillis,
    },
}

impl Connection {
    /// When it is closed if nothing is received.
    fn deadline(&self, config: &ServerConfig) -> TenthMillis {
        match self {
            Connection::Challenged { since, .. } => since + config.handshake_timeout,
            Connection::Established { last_received, .. } => last_received + config.idle_timeout,
        }
    }
}

/// The gateway's end of all links that lead to it: a state machine without I/O.
///
/// Its driver passes events in and carries out the [`ServerAction`]s that come out; it calls
/// [`on_timeout`](LinkServer::on_timeout) when [`next_timeout`](LinkServer::next_timeout) has come.
pub struct LinkServer {
    config: ServerConfig,
    secrets: Secrets,
    rng: Rand64,
    sessions: BTreeMap<SessionId, Session>,
    connections: BTreeMap<ConnectionId, Connection>,
    members: Vec<Member>,
    members_revision: u64,
    draining: bool,
}

impl LinkServer {
    /// A server that has just started. Its seed must be new with each start: the epochs of its sessions derive
    /// from it, and distinguish them from those of an earlier incarnation.
    pub fn new(config: ServerConfig, secrets: Secrets, seed: u64) -> LinkServer {
        LinkServer {
            config,
            secrets,
            rng: Rand64::new(u128::from(seed)),
            sessions: BTreeMap::new(),
            connections: BTreeMap::new(),
            members: Vec::new(),
            members_revision: 0,
            draining: false,
        }
    }

    /// Calls that run or whose outcome is retained, over all sessions.
    pub fn retained_calls(&self) -> usize {
        self.sessions.values().map(Session::retained_calls).sum()
    }

    /// Sessions that are retained, connected or not.
    pub fn sessions(&self) -> usize {
        self.sessions.len()
    }

    /// When [`on_timeout`](LinkServer::on_timeout) is to be called next.
    pub fn next_timeout(&self) -> TenthMillis {
        let connections = self
            .connections
            .values()
            .map(|connection| connection.deadline(&self.config));
        let sessions = self
            .sessions
            .values()
            .filter(|session| session.connection.is_none())
            .map(|session| session.idle_since + self.config.session_timeout);
        connections
            .chain(sessions)
            .min()
            .unwrap_or(TenthMillis::MAX)
    }

    /// Sets the replicas that this server reaches; all clients are sent what has changed.
    pub fn set_members(&mut self, members: Vec<Member>, actions: &mut Vec<ServerAction>) {
        if members == self.members {
            return;
        }
        let changes = changed_members(&self.members, &members);
        self.members = members;
        self.members_revision += 1;
        for connection in self.established() {
            let frame = Frame::Members(MembersUpdate {
                revision: self.members_revision,
                complete: false,
                members: changes.clone(),
            });
            actions.push(ServerAction::Send { connection, frame });
        }
    }

    /// Starts nothing new from now on; calls that run are finished.
    pub fn start_draining(&mut self, actions: &mut Vec<ServerAction>) {
        self.draining = true;
        actions.extend(self.established().map(|connection| ServerAction::Send {
            connection,
            frame: Frame::Goodbye,
        }));
    }

    /// A connection was accepted.
    pub fn on_accepted(
        &mut self,
        now: TenthMillis,
        connection: ConnectionId,
        actions: &mut Vec<ServerAction>,
    ) {
        let mut nonce = Nonce::default();
        nonce::refresh(&mut nonce, &mut self.rng);
        self.connections
            .insert(connection, Connection::Challenged { nonce, since: now });
        let frame = Frame::Challenge(Challenge {
            min_version: VERSION,
            max_version: VERSION,
            nonce,
            name: self.config.name.clone(),
        });
        actions.push(ServerAction::Send { connection, frame });
    }

    /// A connection has ended.
    pub fn on_disconnected(&mut self, now: TenthMillis, connection: ConnectionId) {
        if let Some(Connection::Established { session, .. }) = self.connections.remove(&connection)
            && let Some(session) = self.sessions.get_mut(&session)
            && session.connection == Some(connection)
        {
            session.connection = None;
            session.idle_since = now;
        }
    }

    /// A frame has arrived.
    pub fn on_frame(
        &mut self,
        now: TenthMillis,
        connection: ConnectionId,
        frame: Frame,
        actions: &mut Vec<ServerAction>,
    ) {
        match self.connections.get_mut(&connection) {
            None => {}
            Some(Connection::Challenged { nonce, .. }) => {
                let nonce = *nonce;
                match self.establish(now, connection, &nonce, frame, actions) {
                    Ok(()) => {}
                    Err(reason) => self.refuse(now, connection, reason, actions),
                }
            }
            Some(Connection::Established {
                session,
                last_received,
            }) => {
                *last_received = now;
                let session = *session;
                self.on_session_frame(now, connection, session, frame, actions);
            }
        }
    }

    /// A call that was started by [`ServerAction::StartCall`] has ended.
    pub fn on_call_completed(
        &mut self,
        id: SessionId,
        outcome: CallOutcome,
        actions: &mut Vec<ServerAction>,
    ) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        if !session.complete(&outcome) {
            return;
        }
        if let Some(connection) = session.connection {
            let frame = Frame::Outcome(outcome);
            actions.push(ServerAction::Send { connection, frame });
        }
    }

    /// Closes connections that are idle, and drops sessions that have been without one for too long.
    pub fn on_timeout(&mut self, now: TenthMillis, actions: &mut Vec<ServerAction>) {
        let idle: Vec<ConnectionId> = self
            .connections
            .iter()
            .filter(|(_, connection)| now >= connection.deadline(&self.config))
            .map(|(id, _)| *id)
            .collect();
        for connection in idle {
            self.refuse(now, connection, ServerCloseReason::IdleTimeout, actions);
        }
        let expired: Vec<SessionId> = self
            .sessions
            .iter()
            .filter(|(_, session)| {
                session.connection.is_none()
                    && now >= session.idle_since + self.config.session_timeout
            })
            .map(|(id, _)| *id)
            .collect();
        for session in expired {
            self.drop_session(session, actions);
        }
    }

    /// Takes in the first frame of a connection. A reason in `Err` is why the connection is refused.
    fn establish(
        &mut self,
        now: TenthMillis,
        connection: ConnectionId,
        nonce: &Nonce,
        frame: Frame,
        actions: &mut Vec<ServerAction>,
    ) -> Result<(), ServerCloseReason> {
        let Frame::Hello(hello) = frame else {
            return Err(ServerCloseReason::HelloExpected);
        };
        let secret = self.verify(&hello, nonce)?;
        let resumed = self
            .sessions
            .get(&hello.session)
            .is_some_and(|session| session.epoch == hello.epoch);
        if !resumed {
            self.begin_session(now, hello.session, actions)?;
        }
        let Some(session) = self.sessions.get_mut(&hello.session) else {
            return Ok(());
        };
        // From now on nothing counts that may still arrive on the older connection.
        if let Some(older) = session.attach(connection, hello.attempt) {
            self.connections.remove(&older);
            actions.push(ServerAction::Close {
                connection: older,
                reason: ServerCloseReason::Superseded,
            });
        }
        self.connections.insert(
            connection,
            Connection::Established {
                session: hello.session,
                last_received: now,
            },
        );
        let mut welcome = Welcome {
            epoch: session.epoch,
            resumed,
            last_call: session.last_call,
            received_bytes: session.received_bytes,
            proof: [0; 32],
        };
        welcome.prove(&self.secrets, secret, &hello.nonce);
        self.send_session_state(connection, hello.session, welcome, actions);
        Ok(())
    }

    /// Which secret the hello is proven with, or why it is refused.
    fn verify(&self, hello: &Hello, nonce: &Nonce) -> Result<usize, ServerCloseReason> {
        if hello.version != VERSION {
            return Err(ServerCloseReason::UnsupportedVersion);
        }
        let secret = hello
            .proven_by(&self.secrets, nonce)
            .ok_or(ServerCloseReason::Unauthenticated)?;
        // A hello that was long on its way would take the session from a newer connection.
        let is_stale = self
            .sessions
            .get(&hello.session)
            .is_some_and(|session| hello.attempt <= session.hello_attempt);
        if is_stale {
            return Err(ServerCloseReason::StaleHello);
        }
        Ok(secret)
    }

    /// Begins a session, in place of an older one of the same id.
    fn begin_session(
        &mut self,
        now: TenthMillis,
        id: SessionId,
        actions: &mut Vec<ServerAction>,
    ) -> Result<(), ServerCloseReason> {
        self.drop_session(id, actions);
        if self.sessions.len() >= self.config.max_sessions {
            return Err(ServerCloseReason::TooManySessions);
        }
        // 0 stands for no epoch.
        let epoch = self.rng.rand_u64().max(1);
        self.sessions.insert(id, Session::new(epoch, now));
        Ok(())
    }

    /// Sends a new connection all that its client needs to go on.
    fn send_session_state(
        &mut self,
        connection: ConnectionId,
        id: SessionId,
        welcome: Welcome,
        actions: &mut Vec<ServerAction>,
    ) {
        let members = Frame::Members(MembersUpdate {
            revision: self.members_revision,
            complete: true,
            members: self.members.clone(),
        });
        let mut frames = vec![Frame::Welcome(welcome), members];
        if let Some(session) = self.sessions.get(&id) {
            frames.extend(session.unacknowledged());
        }
        if self.draining {
            frames.push(Frame::Goodbye);
        }
        let sends = frames
            .into_iter()
            .map(|frame| ServerAction::Send { connection, frame });
        actions.extend(sends);
        self.send_credit(id, actions);
    }

    fn on_session_frame(
        &mut self,
        now: TenthMillis,
        connection: ConnectionId,
        id: SessionId,
        frame: Frame,
        actions: &mut Vec<ServerAction>,
    ) {
        match frame {
            Frame::Call(request) => {
                if let Err(reason) = self.on_call(id, request, actions) {
                    self.refuse(now, connection, reason, actions);
                }
            }
            Frame::Withdraw { number } => self.on_withdraw(id, number, actions),
            Frame::Ack { numbers } => {
                for number in numbers {
                    self.on_ack(id, number, actions);
                }
            }
            Frame::Ping { sequence } => actions.push(ServerAction::Send {
                connection,
                frame: Frame::Pong { sequence },
            }),
            Frame::Pong { .. } | Frame::Goodbye => {}
            Frame::Probe { id, replica } => actions.push(ServerAction::Probe {
                connection,
                id,
                replica,
            }),
            Frame::Refuse { reason } => {
                let reason = ServerCloseReason::Refused { reason };
                actions.push(ServerAction::Close { connection, reason });
                self.on_disconnected(now, connection);
            }
            _ => self.refuse(now, connection, ServerCloseReason::UnexpectedFrame, actions),
        }
    }

    fn on_call(
        &mut self,
        id: SessionId,
        request: CallRequest,
        actions: &mut Vec<ServerAction>,
    ) -> Result<(), ServerCloseReason> {
        let CallRequest {
            number,
            remaining_ms,
            call,
        } = request;
        let Some(session) = self.sessions.get_mut(&id) else {
            return Ok(());
        };
        let is_duplicate = number <= session.last_call;
        if is_duplicate {
            return Ok(());
        }
        let bytes = call.credit_bytes();
        if !session.admits(number, bytes, &self.config) {
            return Err(ServerCloseReason::CallOutOfTurn);
        }
        session.start(number, bytes);
        if self.draining {
            let rejected = CallOutcome {
                number,
                outcome: AttemptOutcome::Rejected,
                queue_depth: None,
                value: String::new(),
            };
            self.on_call_completed(id, rejected, actions);
        } else {
            actions.push(ServerAction::StartCall {
                session: id,
                number,
                timeout: from_wire_millis(remaining_ms),
                call,
            });
        }
        Ok(())
    }

    fn on_withdraw(&mut self, id: SessionId, number: CallNumber, actions: &mut Vec<ServerAction>) {
        let session = self.sessions.get(&id);
        if session.is_some_and(|session| session.is_running(number)) {
            actions.push(ServerAction::CancelCall {
                session: id,
                number,
            });
        }
        self.release(id, number, actions);
    }

    fn on_ack(&mut self, id: SessionId, number: CallNumber, actions: &mut Vec<ServerAction>) {
        let session = self.sessions.get(&id);
        if session.is_some_and(|session| session.is_completed(number)) {
            self.release(id, number, actions);
        }
    }

    /// Drops a call, and gives its credit back.
    fn release(&mut self, id: SessionId, number: CallNumber, actions: &mut Vec<ServerAction>) {
        let session = self.sessions.get_mut(&id);
        if session.is_some_and(|session| session.release(number)) {
            self.send_credit(id, actions);
        }
    }

    fn send_credit(&mut self, id: SessionId, actions: &mut Vec<ServerAction>) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        let Some(connection) = session.connection else {
            return;
        };
        if let Some(credit) = session.credit_update(&self.config) {
            let frame = Frame::Credit(credit);
            actions.push(ServerAction::Send { connection, frame });
        }
    }

    fn drop_session(&mut self, id: SessionId, actions: &mut Vec<ServerAction>) {
        let Some(session) = self.sessions.remove(&id) else {
            return;
        };
        actions.extend(session.running().map(|number| ServerAction::CancelCall {
            session: id,
            number,
        }));
        if let Some(connection) = session.connection {
            self.connections.remove(&connection);
            actions.push(ServerAction::Close {
                connection,
                reason: ServerCloseReason::SessionDropped,
            });
        }
    }

    fn refuse(
        &mut self,
        now: TenthMillis,
        connection: ConnectionId,
        reason: ServerCloseReason,
        actions: &mut Vec<ServerAction>,
    ) {
        let frame = Frame::Refuse {
            reason: reason.to_string(),
        };
        actions.push(ServerAction::Send { connection, frame });
        actions.push(ServerAction::Close { connection, reason });
        self.on_disconnected(now, connection);
    }

    /// The connections of all sessions that have one.
    fn established(&self) -> impl Iterator<Item = ConnectionId> {
        self.sessions
            .values()
            .filter_map(|session| session.connection)
    }
}

/// The members that are new or have changed, then those that are gone.
fn changed_members(old: &[Member], new: &[Member]) -> Vec<Member> {
    let changed = new.iter().filter(|member| !old.contains(member)).cloned();
    let is_listed = |id: &str| new.iter().any(|member| member.id == id);
    let gone = old
        .iter()
        .filter(|member| !is_listed(&member.id))
        .map(|member| Member {
            phase: Phase::Removed,
            ..member.clone()
        });
    changed.chain(gone).collect()
}
