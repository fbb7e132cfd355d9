//! The coordinator's end of a link.
//!
//! | state | event | next |
//! | --- | --- | --- |
//! | disconnected | grace period over | disconnected, and reported as down; new and queued calls fail as never run |
//! | disconnected | backoff over | connecting |
//! | connecting | connected | handshaking |
//! | handshaking | challenge | hello is sent |
//! | handshaking | welcome, session resumed | established; calls that the server received stay pending, the others never ran |
//! | handshaking | welcome, session new | established; calls that were written completely may have run |
//! | established | idle time-out, unexpected frame, or end of the connection | disconnected; calls not written completely never ran |
//! | disconnected | session time-out | disconnected; calls that were written completely may have run |
//! | established | goodbye | established, and reported as down; no new calls are sent |
//!
//! Invariants: *completes once*, a call leaves the table when it completes or is withdrawn, and only then;
//! *never ran is proven*, a call that was sent is reported as never run only if it was not written completely, or if
//! the server reports that it was not received.
//!
//! Modules: `connection` (opened, lost, closed), `handshake`, `session` (resumed after an interruption, or ended),
//! `calls` with its `call_table` and `send_window`, `heartbeat` with its `round_trip`, `replicas` (behind the link),
//! `availability` (as reported to the driver), and `backoff`.

mod availability;
mod backoff;
mod call_table;
mod calls;
mod config;
mod connection;
mod handshake;
mod heartbeat;
mod replicas;
mod round_trip;
mod send_window;
mod session;

use std::collections::BTreeSet;

use linenthread_core::interface::TenthMillis;
use linenthread_frames::{Nonce, Secrets};
use oorandom::Rand64;

use crate::frame::Frame;
use crate::id::{ProbeId, SessionId};
use crate::routing::LinkStatus;

use availability::Availability;
use backoff::Backoff;
use call_table::CallTable;
pub use config::{ClientAction, ClientCloseReason, ClientConfig, LinkAvailability, MembersReport};
use connection::Connection;
use heartbeat::Heartbeat;
use session::Session;

/// The coordinator's end of a link: a state machine without I/O.
///
/// The driver passes events to it and executes the [`ClientAction`]s that they produce. It calls
/// [`on_timeout`](LinkClient::on_timeout) at the time given by [`next_timeout`](LinkClient::next_timeout).
pub struct LinkClient {
    config: ClientConfig,
    secrets: Secrets,
    rng: Rand64,
    connection: Connection,
    availability: Availability,
    session: Session,
    calls: CallTable,
    heartbeat: Heartbeat,
    backoff: Backoff,
    /// The number of hellos sent; the server refuses one that arrives after a newer one.
    hello_attempts: u64,
    /// The nonce of the last hello, for the proof in the welcome.
    nonce: Nonce,
    /// Pending health checks.
    probes: BTreeSet<ProbeId>,
    /// The last received revision of the server's members.
    members_revision: u64,
    /// The last id assigned to a call, a probe or a ping.
    last_id: u64,
}

impl LinkClient {
    /// Creates a client that is not connected; the seed determines its session id, nonces and backoff.
    pub fn new(config: ClientConfig, secrets: Secrets, seed: u64) -> LinkClient {
        let mut rng = Rand64::new(u128::from(seed));
        let session = Session::new(SessionId(rng.rand_u64()));
        LinkClient {
            secrets,
            rng,
            connection: Connection::Disconnected { retry_at: 0 },
            availability: Availability::Down,
            session,
            calls: CallTable::default(),
            heartbeat: Heartbeat::new(config.ping_interval),
            backoff: Backoff::new(&config),
            hello_attempts: 0,
            nonce: Nonce::default(),
            probes: BTreeSet::new(),
            members_revision: 0,
            last_id: 0,
            config,
        }
    }

    /// Returns the total size of the queued calls, in bytes.
    pub fn queued_bytes(&self) -> u64 {
        self.calls.queued_bytes()
    }

    /// Returns the number of pending calls.
    pub fn in_flight(&self) -> usize {
        self.calls.len()
    }

    /// Reports whether the connection is established and the server accepts calls; a call is then sent as soon as
    /// there is credit.
    pub fn is_ready(&self) -> bool {
        matches!(
            self.connection,
            Connection::Established {
                server_draining: false,
                ..
            }
        )
    }

    /// Reports whether calls are accepted: the link is ready, or was ready within the grace period.
    pub fn is_usable(&self) -> bool {
        self.availability.is_usable()
    }

    /// Returns the link's state, for the selection among several links.
    pub fn status(&self) -> LinkStatus {
        let max_in_flight = self.config.max_in_flight as u64;
        // The grace period is added to the latency of an interrupted link, so that it is selected only if no other link
        // is ready.
        let (one_way, capacity) = if self.is_ready() {
            let capacity = self.calls.credit_capacity().min(max_in_flight);
            (self.heartbeat.one_way(), capacity)
        } else {
            let one_way = self.heartbeat.one_way() + self.config.grace_period;
            (one_way, max_in_flight)
        };
        LinkStatus {
            is_usable: self.is_usable(),
            one_way_latency: one_way,
            in_flight: self.calls.len() as u64,
            capacity,
        }
    }

    /// Returns when [`on_timeout`](LinkClient::on_timeout) must be called next.
    pub fn next_timeout(&self) -> TenthMillis {
        [
            self.session_deadline(),
            self.grace_deadline(),
            self.calls.next_queue_deadline(),
        ]
        .into_iter()
        .flatten()
        .fold(self.connection_deadline(), TenthMillis::min)
    }

    /// Handles all timers that are due: the session time-out, the grace period, queued calls and the connection.
    pub fn on_timeout(&mut self, now: TenthMillis, actions: &mut Vec<ClientAction>) {
        if is_due(self.session_deadline(), now) {
            self.expire_session(now, actions);
        }
        if is_due(self.grace_deadline(), now) {
            self.set_availability(Availability::Down, actions);
        }
        self.fail_expired(now, actions);
        self.on_connection_timeout(now, actions);
    }

    /// Handles a received frame.
    pub fn on_frame(&mut self, now: TenthMillis, frame: Frame, actions: &mut Vec<ClientAction>) {
        self.heartbeat.on_received(now);
        match (self.connection, frame) {
            (_, Frame::Refuse { reason }) => {
                self.close(now, ClientCloseReason::Refused { reason }, actions);
            }
            // Received on a connection that this client has already closed.
            (Connection::Disconnected { .. } | Connection::Connecting, _) => {}
            (Connection::Handshaking { .. }, Frame::Challenge(challenge)) => {
                self.on_challenge(now, &challenge, actions);
            }
            (Connection::Handshaking { since }, Frame::Welcome(welcome)) => {
                self.on_welcome(now, since, &welcome, actions);
            }
            (Connection::Handshaking { .. }, _) => {
                self.close(now, ClientCloseReason::UnexpectedFrame, actions);
            }
            (Connection::Established { since, .. }, Frame::Goodbye) => {
                self.on_goodbye(since, actions);
            }
            (Connection::Established { .. }, frame) => {
                self.on_session_frame(now, frame, actions);
            }
        }
    }

    fn on_session_frame(
        &mut self,
        now: TenthMillis,
        frame: Frame,
        actions: &mut Vec<ClientAction>,
    ) {
        match frame {
            Frame::Outcome(outcome) => self.on_outcome(outcome, actions),
            Frame::Credit(credit) => {
                self.calls.add_credit(credit);
                self.send_queued(now, actions);
            }
            Frame::Ping { sequence } => actions.push(ClientAction::Send(Frame::Pong { sequence })),
            Frame::Pong { sequence } => self.heartbeat.on_pong(now, sequence),
            Frame::Members(update) => self.on_members(now, update, actions),
            Frame::Probed(outcome) => self.on_probe_outcome(&outcome, actions),
            _ => self.close(now, ClientCloseReason::UnexpectedFrame, actions),
        }
    }

    /// Handles a goodbye: the server drains, so no new calls are sent; running calls complete.
    fn on_goodbye(&mut self, established_at: TenthMillis, actions: &mut Vec<ClientAction>) {
        self.connection = Connection::Established {
            since: established_at,
            server_draining: true,
        };
        self.set_availability(Availability::Down, actions);
    }

    fn send_ping(&mut self, now: TenthMillis, actions: &mut Vec<ClientAction>) {
        let sequence = self.next_id();
        self.heartbeat.on_ping(now, sequence);
        actions.push(ClientAction::Send(Frame::Ping { sequence }));
    }

    fn is_established(&self) -> bool {
        matches!(self.connection, Connection::Established { .. })
    }

    fn session_deadline(&self) -> Option<TenthMillis> {
        self.session.deadline(self.config.session_timeout)
    }

    fn grace_deadline(&self) -> Option<TenthMillis> {
        self.availability.grace_deadline(self.config.grace_period)
    }

    /// Returns a new id for a call, a probe or a ping.
    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }
}

/// Reports whether there is a deadline and it has been reached.
fn is_due(deadline: Option<TenthMillis>, now: TenthMillis) -> bool {
    deadline.is_some_and(|deadline| deadline <= now)
}
