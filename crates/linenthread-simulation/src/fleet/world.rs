//! The simulated world: a queue of events, processes on clocks of their own, and the network between them.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use linenthread_core::interface::TenthMillis;
use linenthread_fleet::{CommittedValue, Fleet, FleetAction, FleetEvent};
use oorandom::Rand64;

use super::event::{Event, LinkNumber, ProcessIndex, Side};
use super::network::Network;
use super::process::{self, Disk, Process, name, secrets};
use super::{SECOND, TENTHS_PER_SECOND, Totals};

/// The topics that values are proposed for.
pub(super) const TOPICS: [&str; 2] = ["table", "orders"];
/// A schedule ends after so many breaches.
const MAX_BREACHES: usize = 3;
/// How often [`World::run_until`] checks whether to stop.
const STOP_CHECK_INTERVAL: TenthMillis = 1_000;
/// How long a connection attempt into a partition takes, and one that is refused.
const CONNECT_TIMEOUT: TenthMillis = 10 * SECOND;
const REFUSE_LATENCY: TenthMillis = 10;
/// Set in the environment, it has all events of the fleets printed.
const SHOW_VARIABLE: &str = "SHOW";

/// One schedule.
pub(super) struct World {
    pub(super) now: TenthMillis,
    pub(super) rng: Rand64,
    pub(super) events: BinaryHeap<Reverse<(TenthMillis, u64, Event)>>,
    /// Numbers events and links.
    last_number: u64,
    pub(super) network: Network,
    pub(super) processes: Vec<Process>,
    /// The first so many processes are voters.
    pub(super) voters: usize,
    seed: u64,
    /// All values that any process has reported as committed.
    pub(super) committed: BTreeMap<(String, u64), Vec<u8>>,
    pub(super) proposals: u64,
    pub(super) breaches: Vec<String>,
    pub(super) totals: Totals,
}

impl World {
    pub(super) fn new(seed: u64) -> World {
        let mut rng = Rand64::new(u128::from(seed));
        let voters = [3, 3, 5][rng.rand_range(0..3) as usize];
        let count = voters + rng.rand_range(0..4) as usize;
        let processes = (0..count).map(|_| Process::new(&mut rng)).collect();
        World {
            now: 0,
            rng,
            events: BinaryHeap::new(),
            last_number: 0,
            network: Network::default(),
            processes,
            voters,
            seed,
            committed: BTreeMap::new(),
            proposals: 0,
            breaches: Vec::new(),
            totals: Totals::default(),
        }
    }

    pub(super) fn breach(&mut self, cause: String) {
        let seconds = self.now as f64 / TENTHS_PER_SECOND;
        let schedule = self.seed;
        self.breaches
            .push(format!("schedule {schedule}, {seconds:.1} s: {cause}"));
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Schedules an event.
    pub(super) fn after(&mut self, wait: TenthMillis, event: Event) {
        let number = self.next_number();
        self.events
            .push(Reverse((self.now + wait.max(0), number, event)));
    }

    fn latency(&mut self) -> TenthMillis {
        self.network.latency(&mut self.rng)
    }

    /// A random time from `range`, in tenths of a millisecond.
    pub(super) fn random_time(&mut self, range: std::ops::Range<u64>) -> TenthMillis {
        self.rng.rand_range(range) as TenthMillis
    }

    pub(super) fn random_process(&mut self) -> ProcessIndex {
        self.rng.rand_range(0..self.processes.len() as u64) as usize
    }

    /// Starts a process, if it does not run.
    pub(super) fn start(&mut self, at: ProcessIndex) {
        if self.processes[at].fleet.is_some() {
            return;
        }
        let count = self.processes.len();
        let seed = self.rng.rand_u64();
        let process = &mut self.processes[at];
        let now = process.local_time(self.now);
        let config = process.next_config(at, self.voters, count);
        let disk = process.disk.clone();
        let mut actions = Vec::new();
        match Fleet::new(config, Some(disk), secrets(), seed, now, &mut actions) {
            Ok(fleet) => process.fleet = Some(fleet),
            Err(error) => self.breach(format!("{} does not start: {error}", name(at))),
        }
        self.perform(at, actions);
    }

    /// Ends a process at once.
    pub(super) fn crash(&mut self, at: ProcessIndex, loses_disk: bool) {
        if self.processes[at].crash(loses_disk, &mut self.rng) {
            for link in self.network.links_of(at) {
                self.close_link(link, at);
            }
        }
    }

    /// A process closes a link; the other side learns of it, if anything reaches it.
    fn close_link(&mut self, link: LinkNumber, process: ProcessIndex) {
        if let Some(side) = self.network.close(link, process) {
            let latency = self.latency();
            self.after(latency, Event::Closed { link, side });
        }
    }

    /// Calls a process and performs what it requests.
    pub(super) fn call(
        &mut self,
        at: ProcessIndex,
        call: impl FnOnce(&mut Fleet<Disk>, TenthMillis, &mut Vec<FleetAction>),
    ) {
        let process = &mut self.processes[at];
        let now = process.local_time(self.now);
        let mut actions = Vec::new();
        if let Some(fleet) = &mut process.fleet {
            call(fleet, now, &mut actions);
            self.perform(at, actions);
            self.check(at);
        }
    }

    fn perform(&mut self, at: ProcessIndex, actions: Vec<FleetAction>) {
        for action in actions {
            match action {
                FleetAction::Dial {
                    connection,
                    address,
                } => {
                    let latency = self.latency();
                    let connect = Event::Connect {
                        from: at,
                        connection,
                        to: process::index(address),
                    };
                    self.after(latency, connect);
                }
                FleetAction::Write { connection, bytes } => self.send(at, connection, bytes),
                FleetAction::Close { connection, .. } => {
                    if let Some(link) = self.network.link_at((at, connection)) {
                        self.close_link(link, at);
                    }
                    self.call(at, |fleet, now, actions| {
                        fleet.on_closed(now, connection, actions);
                    });
                }
                FleetAction::Datagram { to, bytes } => {
                    self.send_datagram(at, process::index(to), bytes);
                }
                FleetAction::Committed(committed) => self.on_committed(at, committed),
                FleetAction::Log(event) => self.on_event(at, &event),
                FleetAction::MemberUp(_)
                | FleetAction::MemberDown(_)
                | FleetAction::Report { .. }
                | FleetAction::LogConnection(_) => {}
            }
        }
        self.set_timer(at);
    }

    fn send(&mut self, at: ProcessIndex, connection: u64, bytes: Vec<u8>) {
        let Some(link) = self.network.link_at((at, connection)) else {
            return;
        };
        let latency = self.latency();
        let sent = self.network.send(link, (at, connection), self.now, latency);
        if let Some((arrival, side)) = sent {
            self.after(arrival - self.now, Event::Bytes { link, side, bytes });
        }
    }

    fn send_datagram(&mut self, from: ProcessIndex, to: ProcessIndex, bytes: Vec<u8>) {
        if !self.network.is_partitioned(from, to) && self.rng.rand_float() >= self.network.loss {
            let latency = self.latency();
            self.after(latency, Event::Datagram { to, bytes });
        }
    }

    fn on_committed(&mut self, at: ProcessIndex, committed: CommittedValue) {
        let CommittedValue {
            topic,
            number,
            value,
        } = committed;
        let known = self
            .committed
            .entry((topic.clone(), number))
            .or_insert_with(|| value.clone());
        if *known == value {
            self.totals.committed += 1;
        } else {
            self.breach(format!(
                "one-value: {topic} {number} is two things, at {}",
                name(at)
            ));
        }
    }

    fn on_event(&mut self, at: ProcessIndex, event: &FleetEvent) {
        match event {
            FleetEvent::LeadershipAcquired { .. } => self.totals.leaders += 1,
            FleetEvent::IdentityReplaced { .. } => self.totals.replaced += 1,
            _ => {}
        }
        if std::env::var_os(SHOW_VARIABLE).is_some() {
            let seconds = self.now as f64 / TENTHS_PER_SECOND;
            println!("{seconds:8.2} {}: {event}", name(at));
        }
    }

    /// Schedules the next timer of a process, where it is earlier than the current one.
    fn set_timer(&mut self, at: ProcessIndex) {
        let process = &mut self.processes[at];
        let Some(fleet) = &process.fleet else {
            return;
        };
        let wake_at = process.global_time(fleet.wake_at()).max(self.now + 1);
        if wake_at < process.wake_at || process.wake_at <= self.now {
            process.wake_at = wake_at;
            process.timer += 1;
            let event = Event::Wake(at, process.timer);
            self.after(wake_at - self.now, event);
        }
    }

    /// The process that an event arrives at.
    fn receiver(&self, event: &Event) -> Option<ProcessIndex> {
        match event {
            Event::Wake(at, _) => Some(*at),
            Event::Connect { to, .. } | Event::Datagram { to, .. } => Some(*to),
            Event::Bytes { link, side, .. } | Event::Closed { link, side } => {
                let link = self.network.link(*link)?;
                Some(link.ends[*side].0)
            }
            _ => None,
        }
    }

    pub(super) fn handle(&mut self, event: Event) {
        let receiver = self.receiver(&event);
        if let Some(at) = receiver.filter(|at| self.processes[*at].is_paused) {
            self.processes[at].waiting.push(event);
            return;
        }
        match event {
            Event::Wake(at, timer) => {
                if self.processes[at].timer == timer {
                    self.processes[at].wake_at = TenthMillis::MAX;
                    self.call(at, Fleet::wake);
                }
            }
            Event::Connect {
                from,
                connection,
                to,
            } => self.on_connect(from, connection, to),
            Event::Bytes { link, side, bytes } => self.on_bytes(link, side, &bytes),
            Event::Closed { link, side } => self.on_closed(link, side),
            Event::Datagram { to, bytes } => {
                self.call(to, |fleet, now, actions| {
                    fleet.on_datagram(now, &bytes, actions);
                });
            }
            Event::Start(at) => self.start(at),
            Event::Resume(at) => self.resume(at),
            Event::Restart => self.restart_random(),
            Event::Heal => self.network.partitions.clear(),
            Event::Fault => self.inject_fault(),
            Event::Propose => self.propose(),
        }
    }

    fn on_connect(&mut self, from: ProcessIndex, connection: u64, to: ProcessIndex) {
        let is_partitioned =
            self.network.is_partitioned(from, to) || self.network.is_partitioned(to, from);
        let both_run = self.processes[from].fleet.is_some() && self.processes[to].fleet.is_some();
        if both_run && !is_partitioned && self.accept((from, connection), to) {
            return;
        }
        let wait = if is_partitioned {
            CONNECT_TIMEOUT
        } else {
            REFUSE_LATENCY
        };
        let link = self.next_number();
        self.network
            .add_refused(link, [(from, connection), (to, 0)]);
        self.after(wait, Event::Closed { link, side: 0 });
    }

    /// Whether a process accepts a connection.
    fn accept(&mut self, from: (ProcessIndex, u64), to: ProcessIndex) -> bool {
        let link = self.next_number();
        let process = &mut self.processes[to];
        let now = process.local_time(self.now);
        let Some(fleet) = &mut process.fleet else {
            return false;
        };
        let mut actions = Vec::new();
        let Some(connection) = fleet.on_accepted(now, &mut actions) else {
            return false;
        };
        // The link is there before anything is sent over it.
        self.network.add_link(link, [from, (to, connection)]);
        self.perform(to, actions);
        true
    }

    fn on_bytes(&mut self, link: LinkNumber, side: Side, bytes: &[u8]) {
        if let Some((at, connection)) = self.network.current_end(link, side) {
            self.call(at, |fleet, now, actions| {
                fleet.on_received(now, connection, bytes, actions);
            });
        }
    }

    fn on_closed(&mut self, link: LinkNumber, side: Side) {
        if let Some((at, connection)) = self.network.current_end(link, side) {
            self.network.forget((at, connection));
            self.call(at, |fleet, now, actions| {
                fleet.on_closed(now, connection, actions);
            });
        }
        self.network.remove_if_over(link);
    }

    /// A paused process resumes: what arrived meanwhile is all there at once, in its order.
    pub(super) fn resume(&mut self, at: ProcessIndex) {
        let process = &mut self.processes[at];
        if !process.is_paused {
            return;
        }
        process.is_paused = false;
        process.wake_at = TenthMillis::MAX;
        let mut waiting = std::mem::take(&mut process.waiting);
        // Which of its own timers or its sockets it looks at first is random.
        if self.rng.rand_range(0..2) == 0 {
            self.call(at, Fleet::wake);
        }
        waiting.retain(|event| !matches!(event, Event::Wake(..)));
        for event in waiting {
            self.handle(event);
        }
        self.call(at, Fleet::wake);
    }

    /// Each leader proposes a value; there is one at most, unless an invariant is broken.
    fn propose(&mut self) {
        for at in 0..self.voters {
            if !self.is_running_leader(at) {
                continue;
            }
            self.proposals += 1;
            let topic = TOPICS[self.proposals as usize % TOPICS.len()];
            let mut value = self.proposals.to_be_bytes().to_vec();
            value.resize(8 + self.rng.rand_range(0..200) as usize, 7);
            self.call(at, |fleet, now, actions| {
                let number = fleet.table().number(topic);
                // One that is refused is proposed no more: another follows.
                let _ = fleet.propose(now, topic, number, value, actions);
            });
        }
        let wait = 500 + self.random_time(0..2_000);
        self.after(wait, Event::Propose);
    }

    /// Handles events until a time, or until `stop` returns true, which is returned.
    pub(super) fn run_until(
        &mut self,
        end: TenthMillis,
        mut stop: impl FnMut(&World) -> bool,
    ) -> bool {
        let mut checked_at = self.now;
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > end {
                self.events.push(Reverse((at, 0, event)));
                break;
            }
            self.now = at;
            self.handle(event);
            if self.breaches.len() > MAX_BREACHES {
                return false;
            }
            if self.now >= checked_at + STOP_CHECK_INTERVAL {
                checked_at = self.now;
                if stop(self) {
                    return true;
                }
            }
        }
        false
    }
}
