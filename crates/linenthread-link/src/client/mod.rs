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

mod call_table;
mod config;
mod round_trip;

use std::collections::{BTreeMap, BTreeSet};

use linenthread_core::interface::{AttemptOutcome, TenthMillis};
use linenthread_frames::{Nonce, Secrets};
use oorandom::Rand64;

use crate::frame::{
    Call, CallOutcome, Challenge, Frame, Hello, MembersUpdate, ProbeOutcome, VERSION, Welcome,
};
use crate::id::{CallId, CallNumber, ProbeId, SessionId};
use crate::nonce;
use crate::routing::LinkStatus;

use call_table::{CallTable, NextCall};
pub use config::{ClientAction, ClientCloseReason, ClientConfig};
use round_trip::RoundTripEstimate;

/// Unanswered pings that are remembered; older ones don't count for the round-trip time.
const MAX_PENDING_PINGS: usize = 16;
/// The wait before a reconnect doubles so many times at most.
const MAX_BACKOFF_DOUBLINGS: u32 = 16;
/// A connection is idle after so many ping intervals without a frame, and the time of a reply.
const IDLE_PING_INTERVALS: TenthMillis = 2;
/// The epoch of a session that the server does not know yet.
const NO_EPOCH: u64 = 0;

/// The state of the connection.
#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Disconnected {
        retry_at: TenthMillis,
    },
    Connecting,
    /// Connected; until the welcome arrives only the hello is sent.
    Handshaking {
        since: TenthMillis,
    },
    Established {
        since: TenthMillis,
    },
}

/// The coordinator's end of a link: a state machine without I/O.
///
/// Its driver passes events in and carries out the [`ClientAction`]s that come out; it calls
/// [`on_timeout`](LinkClient::on_timeout) when [`next_timeout`](LinkClient::next_timeout) has come.
pub struct LinkClient {
    config: ClientConfig,
    secrets: Secrets,
    rng: Rand64,
    state: State,
    session: SessionId,
    /// The session's epoch at the server, once it is known.
    epoch: u64,
    /// Hellos sent: the server ignores one that arrives after a newer one.
    hello_attempts: u64,
    nonce: Nonce,
    /// The revision of the server's members that was received last.
    members_revision: u64,
    /// The last id given to a call, a probe or a ping.
    last_id: u64,
    calls: CallTable,
    /// Calls withdrawn while the server could not be notified.
    pending_withdrawals: BTreeSet<CallNumber>,
    probes: BTreeSet<ProbeId>,
    /// The server has said goodbye.
    server_draining: bool,
    /// What was last reported by [`ClientAction::Up`].
    reported_up: bool,
    /// When an established connection was lost, until the link is up again or reported as down.
    down_since: Option<TenthMillis>,
    /// When the session lost its connection.
    session_lost_at: Option<TenthMillis>,
    /// Failures to connect in a row.
    failures: u32,
    round_trip: RoundTripEstimate,
    last_received: TenthMillis,
    last_ping: TenthMillis,
    /// Unanswered pings by sequence number, and when they were sent.
    pings: BTreeMap<u64, TenthMillis>,
}

impl LinkClient {
    /// A client that has not connected yet; the seed determines its session, nonces and backoff.
    pub fn new(config: ClientConfig, secrets: Secrets, seed: u64) -> LinkClient {
        let mut rng = Rand64::new(u128::from(seed));
        let session = SessionId(rng.rand_u64());
        LinkClient {
            config,
            secrets,
            rng,
            state: State::Disconnected { retry_at: 0 },
            session,
            epoch: NO_EPOCH,
            hello_attempts: 0,
            nonce: Nonce::default(),
            members_revision: 0,
            last_id: 0,
            calls: CallTable::default(),
            pending_withdrawals: BTreeSet::new(),
            probes: BTreeSet::new(),
            server_draining: false,
            reported_up: false,
            down_since: None,
            session_lost_at: None,
            failures: 0,
            round_trip: RoundTripEstimate::default(),
            last_received: 0,
            last_ping: 0,
            pings: BTreeMap::new(),
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

    /// The connection is established, and the server accepts calls.
    pub fn is_up(&self) -> bool {
        self.is_established() && !self.server_draining
    }

    /// Calls are accepted: the link is up, or was within the grace period.
    pub fn is_usable(&self) -> bool {
        self.reported_up && !self.server_draining
    }

    /// The link's state, for the choice among several.
    pub fn status(&self) -> LinkStatus {
        let max_in_flight = self.config.max_in_flight as u64;
        // One that is expected back is chosen only where no other is up.
        let (one_way, capacity) = if self.is_up() {
            let capacity = self.calls.credit_capacity().min(max_in_flight);
            (self.round_trip.one_way(), capacity)
        } else {
            let one_way = self.round_trip.one_way() + self.config.grace_period;
            (one_way, max_in_flight)
        };
        LinkStatus {
            up: self.is_usable(),
            one_way,
            in_flight: self.calls.len() as u64,
            capacity,
        }
    }

    /// When [`on_timeout`](LinkClient::on_timeout) is to be called next.
    pub fn next_timeout(&self) -> TenthMillis {
        let connection = match self.state {
            State::Disconnected { retry_at } => retry_at,
            State::Connecting => TenthMillis::MAX,
            State::Handshaking { since } => since + self.idle_timeout(),
            State::Established { .. } => {
                let ping = self.last_ping + self.config.ping_interval;
                ping.min(self.last_received + self.idle_timeout())
            }
        };
        let session = self
            .session_lost_at
            .map(|since| since + self.config.session_timeout);
        let grace = self
            .down_since
            .map(|since| since + self.config.grace_period);
        [session, grace, self.calls.next_queue_deadline()]
            .into_iter()
            .flatten()
            .fold(connection, TenthMillis::min)
    }

    /// Starts a call that must complete by `deadline`, and returns its id. Where credit is short, calls of a
    /// higher `priority` (in any unit) are sent first.
    ///
    /// The call may complete at once, by an action that is returned together with the id.
    pub fn call(
        &mut self,
        now: TenthMillis,
        call: Call,
        deadline: TenthMillis,
        priority: u32,
        actions: &mut Vec<ClientAction>,
    ) -> CallId {
        let id = CallId(self.next_id());
        let full = self.calls.len() >= self.config.max_in_flight
            || self.calls.queued_bytes() + call.credit_bytes() > self.config.max_queued_bytes;
        if full || !self.is_usable() {
            actions.push(failed(id, AttemptOutcome::NotSent));
            return id;
        }
        let queue_deadline = deadline.min(now + self.config.grace_period);
        self.calls
            .enqueue(id, call, priority, deadline, queue_deadline);
        self.send_queued(now, actions);
        id
    }

    /// Gives a call up: it does not complete any more.
    pub fn withdraw(&mut self, id: CallId, actions: &mut Vec<ClientAction>) {
        let Some(Some(number)) = self.calls.remove(id) else {
            return;
        };
        if self.is_established() {
            actions.push(ClientAction::Send(Frame::Withdraw { number }));
        } else if self.pending_withdrawals.len() < self.config.max_in_flight {
            self.pending_withdrawals.insert(number);
        }
    }

    /// Checks the health of a replica behind the link; [`ClientAction::ProbeCompleted`] may or may not follow.
    pub fn probe(&mut self, replica: String, actions: &mut Vec<ClientAction>) -> ProbeId {
        let id = ProbeId(self.next_id());
        if self.is_up() && self.probes.len() < self.config.max_in_flight {
            self.probes.insert(id);
            actions.push(ClientAction::Send(Frame::Probe { id, replica }));
        } else {
            actions.push(ClientAction::ProbeCompleted {
                id,
                outcome: AttemptOutcome::NotSent,
                queue_depth: None,
            });
        }
        id
    }

    /// The connection that was asked for by [`ClientAction::Connect`] is open.
    pub fn on_connected(&mut self, now: TenthMillis) {
        self.state = State::Handshaking { since: now };
        self.last_received = now;
    }

    /// The last byte of a call's frame has been written.
    pub fn on_call_written(&mut self, number: CallNumber) {
        self.calls.mark_written(number);
    }

    /// The connection has ended, or could not be opened.
    pub fn on_disconnected(&mut self, now: TenthMillis, actions: &mut Vec<ClientAction>) {
        if matches!(self.state, State::Disconnected { .. }) {
            return;
        }
        let was_established = self.is_established();
        if let State::Established { since } = self.state
            && now - since > self.config.max_backoff
        {
            // It has lasted: the next failure is not one in a row.
            self.failures = 0;
        }
        let backoff = self.next_backoff();
        self.state = State::Disconnected {
            retry_at: now + backoff,
        };
        self.server_draining = false;
        self.round_trip.widen();
        self.pings.clear();
        for id in std::mem::take(&mut self.probes) {
            actions.push(ClientAction::ProbeCompleted {
                id,
                outcome: AttemptOutcome::ConnectionLost,
                queue_depth: None,
            });
        }
        for id in self.calls.on_disconnected() {
            self.fail(id, AttemptOutcome::NotSent, actions);
        }
        if was_established {
            self.down_since = Some(now);
        }
        if self.epoch != NO_EPOCH {
            self.session_lost_at.get_or_insert(now);
        }
    }

    /// Does what is due by now.
    pub fn on_timeout(&mut self, now: TenthMillis, actions: &mut Vec<ClientAction>) {
        if has_passed(self.session_lost_at, self.config.session_timeout, now) {
            self.expire_session(now, actions);
        }
        if has_passed(self.down_since, self.config.grace_period, now) {
            self.report_up(false, actions);
        }
        for id in self.calls.expired(now) {
            self.fail(id, AttemptOutcome::NotSent, actions);
        }
        match self.state {
            State::Disconnected { retry_at } if retry_at <= now => {
                self.state = State::Connecting;
                actions.push(ClientAction::Connect);
            }
            State::Handshaking { since } if now >= since + self.idle_timeout() => {
                self.close(now, ClientCloseReason::HandshakeTimeout, actions);
            }
            State::Established { .. } if now >= self.last_received + self.idle_timeout() => {
                self.close(now, ClientCloseReason::IdleTimeout, actions);
            }
            State::Established { .. } if now >= self.last_ping + self.config.ping_interval => {
                self.send_ping(now, actions);
            }
            _ => {}
        }
    }

    /// A frame has arrived.
    pub fn on_frame(&mut self, now: TenthMillis, frame: Frame, actions: &mut Vec<ClientAction>) {
        self.last_received = now;
        match (self.state, frame) {
            (_, Frame::Refuse { reason }) => {
                self.close(now, ClientCloseReason::Refused { reason }, actions);
            }
            (State::Disconnected { .. } | State::Connecting, _) => {}
            (State::Handshaking { .. }, Frame::Challenge(challenge)) => {
                self.on_challenge(now, &challenge, actions);
            }
            (State::Handshaking { since }, Frame::Welcome(welcome)) => {
                self.on_welcome(now, since, &welcome, actions);
            }
            (State::Established { .. }, frame) => self.on_session_frame(now, frame, actions),
            (State::Handshaking { .. }, _) => {
                self.close(now, ClientCloseReason::UnexpectedFrame, actions);
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
            Frame::Pong { sequence } => {
                if let Some(sent_at) = self.pings.remove(&sequence) {
                    self.round_trip.add_sample((now - sent_at).max(1));
                }
            }
            Frame::Members(update) => self.on_members(now, update, actions),
            Frame::Probed(outcome) => self.on_probe_outcome(&outcome, actions),
            Frame::Goodbye => {
                self.server_draining = true;
                self.report_up(false, actions);
            }
            _ => self.close(now, ClientCloseReason::UnexpectedFrame, actions),
        }
    }

    fn on_challenge(
        &mut self,
        now: TenthMillis,
        challenge: &Challenge,
        actions: &mut Vec<ClientAction>,
    ) {
        let &Challenge {
            min_version,
            max_version,
            ..
        } = challenge;
        if !(min_version..=max_version).contains(&VERSION) {
            let reason = ClientCloseReason::UnsupportedVersion {
                min_version,
                max_version,
            };
            return self.close(now, reason, actions);
        }
        nonce::refresh(&mut self.nonce, &mut self.rng);
        self.hello_attempts += 1;
        let mut hello = Hello {
            version: VERSION,
            name: self.config.name.clone(),
            nonce: self.nonce,
            session: self.session,
            attempt: self.hello_attempts,
            epoch: self.epoch,
            proof: [0; 32],
        };
        hello.prove(&self.secrets, &challenge.nonce);
        actions.push(ClientAction::Send(Frame::Hello(hello)));
    }

    fn on_welcome(
        &mut self,
        now: TenthMillis,
        connected_at: TenthMillis,
        welcome: &Welcome,
        actions: &mut Vec<ClientAction>,
    ) {
        if !welcome.is_proven(&self.secrets, &self.nonce) {
            return self.close(now, ClientCloseReason::Unauthenticated, actions);
        }
        let resumed = welcome.resumed
            && welcome.epoch == self.epoch
            && welcome.last_call <= self.calls.last_sent();
        if !resumed {
            // The server has restarted or has dropped the session: nothing can be proven of written calls.
            self.reset_session(actions);
        }
        self.epoch = welcome.epoch;
        self.state = State::Established { since: now };
        self.session_lost_at = None;
        // The first ping is due at once.
        self.last_ping = now - self.config.ping_interval;
        self.server_draining = false;
        self.round_trip.add_sample((now - connected_at).max(1));
        if resumed {
            self.resume_session(welcome, actions);
        }
        self.report_up(true, actions);
        self.send_queued(now, actions);
    }

    fn resume_session(&mut self, welcome: &Welcome, actions: &mut Vec<ClientAction>) {
        // What the server has not received by now it never will: the old connection is closed there.
        for id in self.calls.not_received(welcome.last_call) {
            self.fail(id, AttemptOutcome::NotSent, actions);
        }
        self.calls.resume(welcome.last_call, welcome.received_bytes);
        let received = std::mem::take(&mut self.pending_withdrawals)
            .into_iter()
            .filter(|number| *number <= welcome.last_call);
        actions.extend(received.map(|number| ClientAction::Send(Frame::Withdraw { number })));
    }

    fn on_outcome(&mut self, outcome: CallOutcome, actions: &mut Vec<ClientAction>) {
        let CallOutcome {
            number,
            outcome,
            queue_depth,
            value,
        } = outcome;
        actions.push(ClientAction::Send(Frame::Ack {
            numbers: vec![number],
        }));
        // The connection has been of use: the next failure is not one in a row.
        self.failures = 0;
        if let Some(id) = self.calls.by_number(number) {
            let completed = ClientAction::CallCompleted {
                id,
                outcome,
                queue_depth,
                value,
            };
            self.complete(id, completed, actions);
        }
    }

    fn on_members(
        &mut self,
        now: TenthMillis,
        update: MembersUpdate,
        actions: &mut Vec<ClientAction>,
    ) {
        let MembersUpdate {
            revision,
            complete,
            members,
        } = update;
        let is_duplicate = !complete && revision <= self.members_revision;
        if is_duplicate {
            return;
        }
        if !complete && revision != self.members_revision + 1 {
            return self.close(now, ClientCloseReason::MissedMembersUpdate, actions);
        }
        self.members_revision = revision;
        actions.push(ClientAction::Members { complete, members });
    }

    fn on_probe_outcome(&mut self, outcome: &ProbeOutcome, actions: &mut Vec<ClientAction>) {
        if self.probes.remove(&outcome.id) {
            actions.push(ClientAction::ProbeCompleted {
                id: outcome.id,
                outcome: outcome.outcome,
                queue_depth: outcome.queue_depth,
            });
        }
    }

    fn is_established(&self) -> bool {
        matches!(self.state, State::Established { .. })
    }

    /// After so long without a frame the connection is considered dead.
    fn idle_timeout(&self) -> TenthMillis {
        IDLE_PING_INTERVALS * self.config.ping_interval + self.round_trip.timeout()
    }

    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// The wait before the next reconnect: half of it is random, so that clients don't reconnect in step.
    fn next_backoff(&mut self) -> TenthMillis {
        let doublings = self.failures.min(MAX_BACKOFF_DOUBLINGS);
        let backoff = (self.config.min_backoff << doublings)
            .min(self.config.max_backoff)
            .max(1);
        self.failures += 1;
        backoff / 2 + (self.rng.rand_float() * backoff as f64) as TenthMillis
    }

    fn send_ping(&mut self, now: TenthMillis, actions: &mut Vec<ClientAction>) {
        let sequence = self.next_id();
        self.last_ping = now;
        self.pings.insert(sequence, now);
        if self.pings.len() > MAX_PENDING_PINGS {
            self.pings.pop_first();
        }
        actions.push(ClientAction::Send(Frame::Ping { sequence }));
    }

    fn close(
        &mut self,
        now: TenthMillis,
        reason: ClientCloseReason,
        actions: &mut Vec<ClientAction>,
    ) {
        actions.push(ClientAction::Close(reason));
        self.on_disconnected(now, actions);
    }

    fn report_up(&mut self, up: bool, actions: &mut Vec<ClientAction>) {
        self.down_since = None;
        if std::mem::replace(&mut self.reported_up, up) != up {
            actions.push(ClientAction::Up(up));
        }
    }

    fn expire_session(&mut self, now: TenthMillis, actions: &mut Vec<ClientAction>) {
        if matches!(self.state, State::Handshaking { .. }) {
            self.close(now, ClientCloseReason::SessionExpired, actions);
        }
        self.reset_session(actions);
        self.session = SessionId(self.rng.rand_u64());
    }

    /// Drops the session's state; calls that were written completely may have run. Queued calls were not sent,
    /// and go with the next session.
    fn reset_session(&mut self, actions: &mut Vec<ClientAction>) {
        for (id, written) in self.calls.sent_calls() {
            let outcome = if written {
                AttemptOutcome::ConnectionLost
            } else {
                AttemptOutcome::NotSent
            };
            self.fail(id, outcome, actions);
        }
        self.epoch = NO_EPOCH;
        self.session_lost_at = None;
        self.calls.reset_session();
        self.pending_withdrawals.clear();
    }

    fn fail(&mut self, id: CallId, outcome: AttemptOutcome, actions: &mut Vec<ClientAction>) {
        self.complete(id, failed(id, outcome), actions);
    }

    /// The one place where a pending call completes.
    fn complete(&mut self, id: CallId, completed: ClientAction, actions: &mut Vec<ClientAction>) {
        if self.calls.remove(id).is_some() {
            actions.push(completed);
        }
    }

    /// Sends what credit allows, in the queue's order; a call that would arrive too late is not sent.
    fn send_queued(&mut self, now: TenthMillis, actions: &mut Vec<ClientAction>) {
        while self.is_up() {
            match self.calls.next_to_send(now, self.round_trip.one_way()) {
                Some(NextCall::Send(request)) => {
                    actions.push(ClientAction::Send(Frame::Call(request)));
                }
                Some(NextCall::Expired(id)) => self.fail(id, AttemptOutcome::NotSent, actions),
                None => return,
            }
        }
    }
}

/// Whether `length` has passed since the moment, if there is one.
fn has_passed(since: Option<TenthMillis>, length: TenthMillis, now: TenthMillis) -> bool {
    since.is_some_and(|since| now >= since + length)
}

/// A call that has completed without a response.
fn failed(id: CallId, outcome: AttemptOutcome) -> ClientAction {
    ClientAction::CallCompleted {
        id,
        outcome,
        queue_depth: None,
        value: String::new(),
    }
}
