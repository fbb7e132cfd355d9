//! The coordinator's end of a link.
//!
//! | state | event | next |
//! | --- | --- | --- |
//! | disconnected | grace period over | as before, and reported as down; new and queued calls fail as never run |
//! | disconnected | backoff over | connecting |
//! | connecting | connected | handshaking |
//! | handshaking | challenge | hello is sent |
//! | handshaking | welcome, session resumed | established; calls that arrived stay pending, the others never ran |
//! | handshaking | welcome, session new | established; calls that were written completely may have run |
//! | established | idle time-out, unexpected frame, or end of the connection | disconnected; calls not written completely never ran |
//! | disconnected | session time-out | calls that were written completely may have run |
//! | established | goodbye | as before; nothing new is sent |
//!
//! Invariants: *completes once*, a call leaves the table when it completes, and only then; *never ran is proven*,
//! an outcome that says so is given only to a call that was not written completely, or of which the server says
//! that it did not arrive.
//!
//! The files, by concern: `connection` (opened, lost, closed), `handshake`, `session` (resumed after an interruption,
//! or ended), `calls` with its `call_table` and `send_window`, `heartbeat` with its `round_trip`, `replicas` behind the
//! link, `availability` as the driver sees it, and `backoff`.

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
/// Its driver passes events in and carries out the [`ClientAction`]s that come out; it calls
/// [`on_timeout`](LinkClient::on_timeout) when [`next_timeout`](LinkClient::next_timeout) has come.
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
    /// Hellos sent: the server ignores one that arrives after a newer one.
    hello_attempts: u64,
    /// What the welcome to the last hello is proven over.
    nonce: Nonce,
    /// Health checks that have not completed.
    probes: BTreeSet<ProbeId>,
    /// The revision of the server's members that was received last.
    members_revision: u64,
    /// The last id given to a call, a probe or a ping.
    last_id: u64,
}

impl LinkClient {
    /// A client that has not connected yet; the seed determines its session, nonces and backoff.
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

    /// Bytes of the calls that wait to be sent.
    pub fn queued_bytes(&self) -> u64 {
        self.calls.queued_bytes()
    }

    /// Calls that have not completed.
    pub fn in_flight(&self) -> usize {
        self.calls.len()
    }

    /// The connection is established, and the server accepts calls: a call is sent as soon as there is credit.
    pub fn is_ready(&self) -> bool {
        matches!(
            self.connection,
            Connection::Established {
                server_draining: false,
                ..
            }
        )
    }

    /// Calls are accepted: the link is ready, or was within the grace period.
    pub fn is_usable(&self) -> bool {
        self.availability.is_usable()
    }

    /// The link's state, for the choice among several.
    pub fn status(&self) -> LinkStatus {
        let max_in_flight = self.config.max_in_flight as u64;
        // One that is expected back is chosen only where no other is up.
        let (one_way, capacity) = if self.is_ready() {
            let capacity = self.calls.credit_capacity().min(max_in_flight);
            (self.heartbeat.one_way(), capacity)
        } else {
            let one_way = self.heartbeat.one_way() + self.config.grace_period;
            (one_way, max_in_flight)
        };
        LinkStatus {
            is_usable: self.is_usable(),
            one_way,
            in_flight: self.calls.len() as u64,
            capacity,
        }
    }

    /// When [`on_timeout`](LinkClient::on_timeout) is to be called next.
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

    /// Does what is due by now.
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

    /// A frame has arrived.
    pub fn on_frame(&mut self, now: TenthMillis, frame: Frame, actions: &mut Vec<ClientAction>) {
        self.heartbeat.on_received(now);
        match (self.connection, frame) {
            (_, Frame::Refuse { reason }) => {
                self.close(now, ClientCloseReason::Refused { reason }, actions);
            }
            // Left over from a connection that is closed here.
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

    /// The server starts nothing new from now on; calls that run are finished.
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

    /// An id for a call, a probe or a ping.
    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }
}

/// Whether a moment, if there is one, is now or was before.
fn is_due(moment: Option<TenthMillis>, now: TenthMillis) -> bool {
    moment.is_some_and(|moment| moment <= now)
}
