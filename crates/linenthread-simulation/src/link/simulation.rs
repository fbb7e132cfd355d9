//! One schedule: the two ends, the network between them, the faults, and the record of what ran.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use linenthread_core::interface::{AttemptOutcome, TenthMillis};
use linenthread_link::frame::CallOutcome;
use linenthread_link::{
    Call, CallId, CallNumber, ClientAction, ClientCloseReason, ClientConfig, ConnectionId, Frame,
    LinkClient, LinkServer, Secrets, ServerAction, ServerConfig, SessionId,
};
use oorandom::Rand64;

use super::MILLISECOND;
use super::network::{Connection, Connections, Direction};
use super::statistics::Statistics;

/// When a schedule starts; not at 0, so that times before it can be computed.
const START: TenthMillis = 1_000 * MILLISECOND;
/// How long faults are injected.
const FAULTS: TenthMillis = 3_000 * MILLISECOND;
/// So long after the last fault the link must work as usual.
const RECOVERY: TenthMillis = 4_000 * MILLISECOND;
/// How long a schedule lasts.
const LENGTH: TenthMillis = FAULTS + RECOVERY + 3_000 * MILLISECOND;
/// No call is made in the schedule's last second, so that all can complete.
const LAST_CALL: TenthMillis = LENGTH - 1_000 * MILLISECOND;
/// A call that has this long must be answered once the link has recovered: both ways, the queue before it and
/// its own run.
const SUFFICIENT_TIME: TenthMillis = 500 * MILLISECOND;
/// The client's limit of calls that have not completed.
const MAX_IN_FLIGHT: usize = 64;
/// The client's limit of bytes that wait to be sent.
const MAX_QUEUED_BYTES: u64 = 1_000;
/// The server's limit of calls a session.
const WINDOW_CALLS: u64 = 16;
/// The server's limit of sessions.
const MAX_SESSIONS: usize = 4;

/// What happens at a moment.
#[derive(Clone, Debug, PartialEq)]
enum Event {
    ClientTimeout,
    ServerTimeout,
    /// A connection that was asked for is open, or cannot be opened.
    Connected {
        connection: ConnectionId,
        open: bool,
    },
    /// The client has written the last byte of a frame; it arrives after that.
    Written {
        connection: ConnectionId,
        frame: Frame,
    },
    ArrivesAtServer {
        connection: ConnectionId,
        frame: Frame,
    },
    ArrivesAtClient {
        connection: ConnectionId,
        frame: Frame,
    },
    /// The client is notified that the connection is gone.
    ClientDisconnected(ConnectionId),
    /// The server is notified that the connection is gone.
    ServerDisconnected(ConnectionId),
    /// A call that the server has started has ended.
    CallRan {
        incarnation: u64,
        session: SessionId,
        outcome: CallOutcome,
    },
    /// The client's user makes a call.
    MakeCall,
    /// The client's user gives a call up.
    Deadline(CallId),
    Fault,
}

/// What truly became of a call, by the number of the call in the schedule.
#[derive(Default, Debug)]
struct CallRecord {
    runs: usize,
    outcome: Option<AttemptOutcome>,
    made_at: TenthMillis,
    deadline: TenthMillis,
}

/// Kinds of faults, as they are drawn.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    /// The connection is cut, and both ends are notified.
    Cut,
    /// Frames are lost without notice, in the directions given.
    SilentLoss {
        to_server: bool,
        to_client: bool,
    },
    /// The server restarts and remembers nothing.
    Restart,
    None,
}

/// The number of draws that [`Fault::drawn`] distinguishes.
const FAULT_KINDS: TenthMillis = 7;

impl Fault {
    fn drawn(number: TenthMillis) -> Fault {
        match number {
            0 | 1 => Fault::Cut,
            2..=4 => Fault::SilentLoss {
                to_server: number != 3,
                to_client: number != 2,
            },
            5 => Fault::Restart,
            _ => Fault::None,
        }
    }
}

/// One schedule.
pub(super) struct Simulation {
    now: TenthMillis,
    rng: Rand64,
    /// Times and numbers of the events to come.
    timeline: BinaryHeap<Reverse<(TenthMillis, u64)>>,
    events: BTreeMap<u64, Event>,
    last_event: u64,
    client: LinkClient,
    server: LinkServer,
    server_seed: u64,
    /// Starts of the server: calls that an earlier incarnation has started don't end.
    server_incarnation: u64,
    connections: Connections,
    records: BTreeMap<u64, CallRecord>,
    calls: BTreeMap<CallId, u64>,
    /// The usual time of a frame one way.
    latency: TenthMillis,
    /// The probability that a frame takes much longer.
    slow_probability: f64,
    /// The probability that a frame arrives twice.
    duplicate_probability: f64,
    violation: Option<String>,
    false_alarms: usize,
    detection_times: Vec<TenthMillis>,
}

fn secrets() -> Secrets {
    Secrets::new(vec![b"a secret of the drill".to_vec()]).expect("long enough")
}

fn new_server(seed: u64) -> LinkServer {
    let config = ServerConfig {
        name: "far".into(),
        window_calls: WINDOW_CALLS,
        window_bytes: 4_096,
        session_timeout: 2_000 * MILLISECOND,
        max_sessions: MAX_SESSIONS,
        handshake_timeout: 500 * MILLISECOND,
        idle_timeout: 900 * MILLISECOND,
    };
    LinkServer::new(config, secrets(), seed)
}

fn new_client(seed: u64, resume: bool) -> LinkClient {
    let config = ClientConfig {
        name: "near".into(),
        max_in_flight: MAX_IN_FLIGHT,
        max_queued_bytes: MAX_QUEUED_BYTES,
        session_timeout: if resume { 1_500 * MILLISECOND } else { 0 },
        ping_interval: 100 * MILLISECOND,
        grace_period: 300 * MILLISECOND,
        min_backoff: 20 * MILLISECOND,
        max_backoff: 400 * MILLISECOND,
    };
    LinkClient::new(config, secrets(), seed)
}

impl Simulation {
    pub(super) fn new(seed: u64, resume: bool) -> Simulation {
        let mut rng = Rand64::new(u128::from(seed));
        let client_seed = rng.rand_u64();
        let server_seed = rng.rand_u64();
        let latency = 1 + draw_below(&mut rng, 300);
        let slow_probability = rng.rand_float() * 0.05;
        let duplicate_probability = rng.rand_float() * 0.02;
        let mut simulation = Simulation {
            now: START,
            rng,
            timeline: BinaryHeap::new(),
            events: BTreeMap::new(),
            last_event: 0,
            client: new_client(client_seed, resume),
            server: new_server(server_seed),
            server_seed,
            server_incarnation: 0,
            connections: Connections::default(),
            records: BTreeMap::new(),
            calls: BTreeMap::new(),
            latency,
            slow_probability,
            duplicate_probability,
            violation: None,
            false_alarms: 0,
            detection_times: Vec::new(),
        };
        simulation.schedule(0, Event::ClientTimeout);
        simulation.schedule(0, Event::ServerTimeout);
        simulation.schedule(0, Event::MakeCall);
        simulation.schedule(200 * MILLISECOND, Event::Fault);
        simulation
    }

    /// Runs the schedule to its end; the first invariant that was violated, if one was.
    pub(super) fn run(mut self, statistics: &mut Statistics) -> Option<String> {
        while let Some(Reverse((at, number))) = self.timeline.pop() {
            if at > START + LENGTH || self.violation.is_some() {
                break;
            }
            self.now = at;
            if let Some(event) = self.events.remove(&number) {
                self.handle(event);
            }
        }
        statistics.false_alarms += self.false_alarms;
        statistics.detection_times.append(&mut self.detection_times);
        if self.client.in_flight() == 0 && self.client.queued_bytes() > 0 {
            self.violated("bytes are counted of calls that have completed".into());
        }
        for (call, record) in &self.records {
            statistics.count(record.outcome);
            if self.violation.is_none() {
                self.violation = record.violation(*call);
            }
        }
        self.violation
    }

    fn schedule(&mut self, after: TenthMillis, event: Event) {
        self.last_event += 1;
        self.timeline
            .push(Reverse((self.now + after, self.last_event)));
        self.events.insert(self.last_event, event);
    }

    fn draw_below(&mut self, bound: TenthMillis) -> TenthMillis {
        draw_below(&mut self.rng, bound)
    }

    fn violated(&mut self, violation: String) {
        self.violation.get_or_insert(violation);
    }

    /// How long a frame is on its way; now and then much longer than usual.
    fn draw_latency(&mut self) -> TenthMillis {
        let usual = self.latency + self.draw_below(self.latency / 2 + 1);
        if self.rng.rand_float() < self.slow_probability {
            usual + self.draw_below(600 * MILLISECOND)
        } else {
            usual
        }
    }

    /// Sends a frame, once or twice, behind all that were sent before in the same direction.
    fn transmit(&mut self, id: ConnectionId, direction: Direction, frame: &Frame) {
        let latency = self.draw_latency();
        let Some(connection) = self.connections.all.get_mut(&id) else {
            return;
        };
        let last_arrival = connection.last_arrival(direction);
        let arrival = (self.now + latency).max(*last_arrival + 1);
        *last_arrival = arrival;
        let is_duplicated = self.rng.rand_float() < self.duplicate_probability;
        for _ in 0..1 + usize::from(is_duplicated) {
            let (connection, frame) = (id, frame.clone());
            let event = match direction {
                Direction::ToServer => Event::ArrivesAtServer { connection, frame },
                Direction::ToClient => Event::ArrivesAtClient { connection, frame },
            };
            self.schedule(arrival - self.now, event);
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        let (mut client_actions, mut server_actions) = (Vec::new(), Vec::new());
        match event {
            Event::ClientTimeout if self.client.next_timeout() > now => return,
            Event::ServerTimeout if self.server.next_timeout() > now => return,
            Event::ClientTimeout => self.client.on_timeout(now, &mut client_actions),
            Event::ServerTimeout => self.server.on_timeout(now, &mut server_actions),
            Event::Connected { connection, open } if self.connections.is_current(connection) => {
                if open {
                    self.open(connection, &mut server_actions);
                } else {
                    self.connections.current = None;
                    self.client.on_disconnected(now, &mut client_actions);
                }
            }
            // What is not written when the client has lost its connection never is.
            Event::Written { connection, frame } if self.connections.is_current(connection) => {
                if let Frame::Call(request) = &frame {
                    self.client.on_call_written(request.number);
                }
                self.transmit(connection, Direction::ToServer, &frame);
            }
            Event::ArrivesAtServer { connection, frame }
                if self.connections.reaches_server(connection) =>
            {
                self.server
                    .on_frame(now, connection, frame, &mut server_actions);
            }
            Event::ArrivesAtClient { connection, frame }
                if self.connections.is_current(connection)
                    && self.connections.reaches_client(connection) =>
            {
                self.client.on_frame(now, frame, &mut client_actions);
            }
            Event::ClientDisconnected(connection) if self.connections.is_current(connection) => {
                self.connections.current = None;
                self.client.on_disconnected(now, &mut client_actions);
            }
            // Frames that were on their way before the end arrive before it.
            Event::ServerDisconnected(connection) => self.server.on_disconnected(now, connection),
            Event::CallRan {
                incarnation,
                session,
                outcome,
            } if incarnation == self.server_incarnation => {
                self.server
                    .on_call_completed(session, outcome, &mut server_actions);
            }
            Event::MakeCall if now < START + LAST_CALL => self.make_call(&mut client_actions),
            Event::Deadline(id) => self.give_up(id, &mut client_actions),
            Event::Fault => self.inject_fault(),
            _ => {}
        }
        self.carry_out_client(client_actions);
        self.carry_out_server(server_actions);
        self.check_limits();
    }

    fn carry_out_client(&mut self, actions: Vec<ClientAction>) {
        for action in actions {
            match action {
                ClientAction::Connect => self.connect(),
                ClientAction::Close(reason) => self.close(&reason),
                ClientAction::Send(frame) => self.write(frame),
                ClientAction::CallCompleted {
                    id, outcome, value, ..
                } => self.on_completed(id, outcome, &value),
                ClientAction::ProbeCompleted { .. }
                | ClientAction::Members(_)
                | ClientAction::Availability(_) => {}
            }
        }
        let timeout = self.client.next_timeout();
        if timeout < TenthMillis::MAX {
            self.schedule((timeout - self.now).max(1), Event::ClientTimeout);
        }
    }

    fn carry_out_server(&mut self, actions: Vec<ServerAction>) {
        for action in actions {
            match action {
                ServerAction::Send { connection, frame } => {
                    self.transmit(connection, Direction::ToClient, &frame);
                }
                ServerAction::Close { connection, .. } => {
                    let after = self.draw_latency();
                    self.schedule(after, Event::ClientDisconnected(connection));
                }
                ServerAction::StartCall {
                    session,
                    number,
                    call,
                    ..
                } => self.run_call(session, number, &call),
                ServerAction::CancelCall { .. } | ServerAction::Probe { .. } => {}
            }
        }
        let timeout = self.server.next_timeout();
        if timeout < TenthMillis::MAX {
            self.schedule((timeout - self.now).max(1), Event::ServerTimeout);
        }
    }

    fn connect(&mut self) {
        // The number of the event by which it opens.
        let connection = ConnectionId(self.last_event + 1);
        let after = 1 + self.draw_latency();
        let open = self.rng.rand_range(0..10) > 0;
        self.schedule(after, Event::Connected { connection, open });
        self.connections.current = Some(connection);
    }

    fn open(&mut self, connection: ConnectionId, actions: &mut Vec<ServerAction>) {
        self.connections
            .all
            .insert(connection, Connection::new(self.now));
        self.client.on_connected(self.now);
        self.server.on_accepted(self.now, connection, actions);
    }

    fn close(&mut self, reason: &ClientCloseReason) {
        let Some(id) = self.connections.current.take() else {
            return;
        };
        let connection = self.connections.all.get(&id);
        match connection.and_then(|connection| connection.silent_since) {
            Some(since) => self.detection_times.push(self.now - since),
            None if *reason == ClientCloseReason::IdleTimeout => self.false_alarms += 1,
            None => {}
        }
        let after = self.draw_latency();
        self.schedule(after, Event::ServerDisconnected(id));
    }

    /// A frame is written a moment after it is handed out; the connection may be lost between the two.
    fn write(&mut self, frame: Frame) {
        let Some(id) = self.connections.current else {
            return;
        };
        let written = self.now + self.draw_below(3);
        let written_in_order = match self.connections.all.get_mut(&id) {
            Some(connection) => {
                let last = connection.last_arrival(Direction::ToServer);
                *last = written.max(*last);
                *last
            }
            None => self.now,
        };
        let event = Event::Written {
            connection: id,
            frame,
        };
        self.schedule(written_in_order - self.now, event);
    }

    fn run_call(&mut self, session: SessionId, number: CallNumber, call: &Call) {
        let id: u64 = call.text.parse().unwrap_or_default();
        let outcome = match self.draw_below(12) {
            0 => AttemptOutcome::Rejected,
            1 => AttemptOutcome::Error,
            _ => AttemptOutcome::Success,
        };
        if !outcome.never_ran()
            && let Some(record) = self.records.get_mut(&id)
        {
            record.runs += 1;
            if record.runs > 1 {
                self.violated(format!("call {id} ran twice"));
            }
        }
        let after = 1 + self.draw_below(60 * MILLISECOND);
        let event = Event::CallRan {
            incarnation: self.server_incarnation,
            session,
            outcome: CallOutcome {
                number,
                outcome,
                queue_depth: None,
                value: id.to_string(),
            },
        };
        self.schedule(after, event);
    }

    fn make_call(&mut self, actions: &mut Vec<ClientAction>) {
        let number = self.records.len() as u64;
        let deadline = self.now + 100 * MILLISECOND + self.draw_below(900 * MILLISECOND);
        self.records.insert(
            number,
            CallRecord {
                made_at: self.now,
                deadline,
                ..CallRecord::default()
            },
        );
        let call = Call {
            replica: "r".into(),
            query: format!("l{number}"),
            shard: 0,
            continuation: 0,
            text: number.to_string(),
        };
        let priority = u32::try_from(number % 3).unwrap_or_default();
        let id = self
            .client
            .call(self.now, call, deadline, priority, actions);
        self.calls.insert(id, number);
        self.schedule(deadline - self.now, Event::Deadline(id));
        let after = 1 + self.draw_below(60 * MILLISECOND);
        self.schedule(after, Event::MakeCall);
    }

    fn give_up(&mut self, id: CallId, actions: &mut Vec<ClientAction>) {
        let number = self.calls.get(&id).copied().unwrap_or_default();
        let record = self.records.get_mut(&number);
        if let Some(record) = record.filter(|record| record.outcome.is_none()) {
            record.outcome = Some(AttemptOutcome::TimedOut);
            self.client.withdraw(id, actions);
        }
    }

    fn on_completed(&mut self, id: CallId, outcome: AttemptOutcome, value: &str) {
        let Some(number) = self.calls.get(&id).copied() else {
            return;
        };
        let Some(record) = self.records.get_mut(&number) else {
            return;
        };
        let earlier = record.outcome.replace(outcome);
        let runs = record.runs;
        if let Some(earlier) = earlier {
            self.violated(format!(
                "call {number} ended as {earlier:?} and then as {outcome:?}"
            ));
        }
        if outcome == AttemptOutcome::Success && (runs != 1 || value != number.to_string()) {
            self.violated(format!(
                "call {number} is answered with {value}, and ran {runs} times"
            ));
        }
    }

    fn inject_fault(&mut self) {
        if self.now > START + FAULTS {
            (self.slow_probability, self.duplicate_probability) = (0.0, 0.0);
            return;
        }
        let after = 20 * MILLISECOND + self.draw_below(700 * MILLISECOND);
        self.schedule(after, Event::Fault);
        let fault = Fault::drawn(self.draw_below(FAULT_KINDS));
        let client_notified = self.draw_below(50 * MILLISECOND);
        let server_notified = self.draw_below(50 * MILLISECOND);
        match fault {
            Fault::Cut => {
                if let Some((id, connection)) = self.connections.current_mut() {
                    connection.cut();
                    self.schedule(client_notified, Event::ClientDisconnected(id));
                    self.schedule(server_notified, Event::ServerDisconnected(id));
                }
            }
            Fault::SilentLoss {
                to_server,
                to_client,
            } => {
                let now = self.now;
                if let Some((_, connection)) = self.connections.current_mut() {
                    connection.to_server &= !to_server;
                    connection.to_client &= !to_client;
                    connection.silent_since.get_or_insert(now);
                }
            }
            Fault::Restart => self.restart_server(),
            Fault::None => {}
        }
    }

    fn restart_server(&mut self) {
        self.server_seed = self.server_seed.wrapping_add(1);
        self.server = new_server(self.server_seed);
        self.server_incarnation += 1;
        let open: Vec<ConnectionId> = self.connections.all.keys().copied().collect();
        for id in open {
            if let Some(connection) = self.connections.all.get_mut(&id) {
                connection.cut();
            }
            let after = self.draw_below(30 * MILLISECOND);
            self.schedule(after, Event::ClientDisconnected(id));
        }
    }

    fn check_limits(&mut self) {
        let max_retained = usize::try_from(WINDOW_CALLS).unwrap_or(usize::MAX) * MAX_SESSIONS;
        if self.client.in_flight() > MAX_IN_FLIGHT
            || self.client.queued_bytes() > MAX_QUEUED_BYTES
            || self.server.retained_calls() > max_retained
        {
            self.violated("more is retained than may be".into());
        }
    }
}

impl CallRecord {
    /// The invariant that the call's outcome violates, if it does.
    fn violation(&self, call: u64) -> Option<String> {
        let has_recovered = self.made_at > START + FAULTS + RECOVERY;
        let had_time = self.deadline - self.made_at > SUFFICIENT_TIME;
        match self.outcome {
            None => Some(format!("call {call} has not ended")),
            Some(outcome) if outcome.never_ran() && self.runs > 0 => {
                Some(format!("call {call} ended as {outcome:?}, and ran"))
            }
            Some(
                outcome @ (AttemptOutcome::NotSent
                | AttemptOutcome::ConnectionLost
                | AttemptOutcome::TimedOut),
            ) if has_recovered && had_time => Some(format!(
                "call {call} ended as {outcome:?} after the link had recovered"
            )),
            _ => None,
        }
    }
}

/// A random number of at least 0 and below the bound, or 0.
fn draw_below(rng: &mut Rand64, bound: TenthMillis) -> TenthMillis {
    let bound = u64::try_from(bound).unwrap_or(0).max(1);
    TenthMillis::try_from(rng.rand_range(0..bound)).unwrap_or(TenthMillis::MAX)
}
