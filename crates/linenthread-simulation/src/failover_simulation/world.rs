//! The simulated world: coordinators, replicas and the network between them.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use linenthread_core::interface::{
    AttemptOutcome, AttemptResult, MembershipEntry, MembershipUpdate, NewQuery, NewSubRequest,
    Phase, ProbeResult, QueryIndex, ReplicaIndex, SearchIndex, SubRequestIndex, TenthMillis,
};
use linenthread_zones::{FailoverController, Report, ZoneIndex};
use oorandom::Rand64;

use super::coordinator::{CancelAttempt, CoordinatorNode, Query, SendAttempt, zone_routes};
use super::event::{AttemptIndex, Event, Outcome};
use super::replica::Replica;
use super::routing;
use super::scenario::{Fault, Policy};
use super::{
    CORES, FAULT_START, PER_ZONE, REPLICAS, SECOND, SERVICE_TIME, SHARDS, SOFT_DEADLINE, START,
    SUB_REQUESTS_PER_QUERY, Totals, ZONES,
};

const HARD_DEADLINE: TenthMillis = 15_000;
const FAULT_DURATION: TenthMillis = 15 * SECOND;
const SHORT_FAULT_DURATION: TenthMillis = FAULT_DURATION / 3;
const DURATION: TenthMillis = 60 * SECOND;
/// The module runs this often.
const STEP: TenthMillis = 10;
const DECISION_INTERVAL: TenthMillis = 5_000;
/// Service discovery reports a change so long after it.
const MEMBERSHIP_LAG: TenthMillis = 2 * SECOND;
const LOCAL_LATENCY: TenthMillis = 5;
const REMOTE_LATENCY: TenthMillis = 25;
/// What a health check takes beside its way, and one into a partition.
const HEALTH_CHECK_TIME: TenthMillis = 5;
const HEALTH_CHECK_TIMEOUT: TenthMillis = 1_000;
/// The elapsed time that is observed of each health check.
const OBSERVED_HEALTH_CHECK: TenthMillis = 30;
/// The factor by which a slow zone is slower.
const SLOWDOWN: f64 = 6.0;
const KEYS: u64 = 5_000;
/// The shards of a query are so far apart.
const SHARD_STRIDE: usize = 7;

/// One attempt of a sub-request.
struct Attempt {
    coordinator: usize,
    query: usize,
    sub_request: usize,
    number: usize,
    replica: usize,
    sent_at: TenthMillis,
    is_over: bool,
    /// The replica's queue as it arrived.
    queue_depth: u32,
}

/// One run.
pub(super) struct World {
    pub(super) now: TenthMillis,
    pub(super) policy: Policy,
    pub(super) fault: Fault,
    pub(super) rng: Rand64,
    events: BinaryHeap<Reverse<(TenthMillis, u64, Event)>>,
    last_event: u64,
    attempts: Vec<Attempt>,
    pub(super) replicas: Vec<Replica>,
    pub(super) coordinators: Vec<CoordinatorNode>,
    membership_updates: Vec<Vec<MembershipEntry>>,
    /// Queries in a tenth of a millisecond at one coordinator.
    pub(super) query_rate: f64,
    pub(super) controller: FailoverController,
    /// Reports for the leader while there is none.
    pub(super) pending_report: Report,
    pub(super) fault_is_active: bool,
    pub(super) fault_has_ended: bool,
    pub(super) totals: Totals,
}

fn zone_of(replica: usize) -> ZoneIndex {
    ZoneIndex::new(replica % ZONES).expect("few zones")
}

impl World {
    pub(super) fn new(policy: Policy, fault: Fault, utilization: f64, seed: u64) -> World {
        let zones = routing::topology(&[]).zones;
        let capacity = REPLICAS as f64 * CORES as f64 / SERVICE_TIME;
        let coordinators = ZONES * PER_ZONE;
        let query_rate =
            capacity * utilization / SUB_REQUESTS_PER_QUERY as f64 / coordinators as f64;
        let mut world = World {
            now: START,
            policy,
            fault,
            rng: Rand64::new(u128::from(seed)),
            events: BinaryHeap::new(),
            last_event: 0,
            attempts: Vec::new(),
            replicas: vec![Replica::running(); REPLICAS],
            coordinators: (0..coordinators)
                .map(|number| CoordinatorNode::new(number, seed))
                .collect(),
            membership_updates: Vec::new(),
            query_rate,
            controller: FailoverController::new(routing::config(), zones, None, START)
                .expect("a valid configuration"),
            pending_report: Report::default(),
            fault_is_active: false,
            fault_has_ended: false,
            totals: Totals::default(),
        };
        let members: Vec<MembershipEntry> = (0..REPLICAS)
            .map(|replica| world.membership_entry(replica, Phase::Ready))
            .collect();
        for node in &mut world.coordinators {
            let snapshot = MembershipUpdate::Snapshot(members.clone());
            node.inputs.membership.push(snapshot);
            if policy != Policy::SelectionAlone {
                node.inputs.zone_routes = Some(zone_routes(node.zone, None));
            }
        }
        for coordinator in 0..world.coordinators.len() {
            world.schedule_query(coordinator);
        }
        world
    }

    fn membership_entry(&self, replica: usize, phase: Phase) -> MembershipEntry {
        MembershipEntry {
            replica: ReplicaIndex(replica),
            id: 1_000 + replica as u64,
            replica_group: replica,
            zone: replica % ZONES,
            phase,
            started_at: self.replicas[replica].started_at,
            slow_start_share: None,
        }
    }

    fn after(&mut self, wait: TenthMillis, event: Event) {
        self.last_event += 1;
        self.events
            .push(Reverse((self.now + wait.max(1), self.last_event, event)));
    }

    fn schedule_query(&mut self, coordinator: usize) {
        let wait = -(1.0 - self.rng.rand_float()).ln() / self.query_rate;
        self.after(wait as TenthMillis, Event::Query { coordinator });
    }

    pub(super) fn is_lost(&self, zone: usize) -> bool {
        self.fault_is_active && self.fault.loses(zone)
    }

    pub(super) fn is_partitioned(&self, a: usize, b: usize) -> bool {
        self.fault_is_active && self.fault.partitions(a, b)
    }

    /// Whether a coordinator and a replica cannot reach each other.
    fn is_cut_off(&self, coordinator: usize, replica: usize) -> bool {
        self.is_partitioned(self.coordinators[coordinator].zone, replica % ZONES)
    }

    fn latency(&self, coordinator: usize, replica: usize) -> TenthMillis {
        if self.coordinators[coordinator].zone == replica % ZONES {
            LOCAL_LATENCY
        } else {
            REMOTE_LATENCY
        }
    }

    /// The speed of a replica as a part of its full speed.
    pub(super) fn speed(&self, replica: usize) -> f64 {
        let is_slow = self.fault_is_active && self.fault.slows(replica % ZONES);
        let slowdown = if is_slow { SLOWDOWN } else { 1.0 };
        self.replicas[replica].warmth(self.now) / slowdown
    }

    /// A replica processes what is queued, as far as it has cores.
    fn process_queue(&mut self, replica: usize) {
        let speed = self.speed(replica);
        while self.replicas[replica].processing.len() < CORES
            && let Some(attempt) = self.replicas[replica].queue.pop_front()
        {
            // What was cancelled is not processed.
            if self.attempts[attempt].is_over {
                continue;
            }
            let duration = SERVICE_TIME / speed * (0.5 + self.rng.rand_float());
            self.replicas[replica].processing.push(attempt);
            let processed = Event::Processed {
                replica,
                attempt,
                incarnation: self.replicas[replica].incarnation,
            };
            self.after(duration as TenthMillis, processed);
        }
    }

    fn stop_replica(&mut self, replica: usize) {
        for attempt in self.replicas[replica].stop() {
            self.respond(attempt, Outcome::ConnectionLost);
        }
    }

    /// An outcome goes to the attempt's coordinator.
    fn respond(&mut self, attempt: AttemptIndex, outcome: Outcome) {
        let Attempt {
            coordinator,
            replica,
            ..
        } = self.attempts[attempt];
        let latency = self.latency(coordinator, replica);
        self.after(latency, Event::Respond { attempt, outcome });
    }

    fn announce(&mut self, members: Vec<MembershipEntry>) {
        self.membership_updates.push(members);
        let update = self.membership_updates.len() - 1;
        self.after(MEMBERSHIP_LAG, Event::Membership { update });
    }

    /// An attempt is over for its coordinator.
    fn end_attempt(&mut self, attempt: AttemptIndex, outcome: AttemptOutcome) {
        let attempt = &mut self.attempts[attempt];
        if std::mem::replace(&mut attempt.is_over, true) {
            return;
        }
        let elapsed = self.now - attempt.sent_at;
        let queue_depth = f64::from(attempt.queue_depth);
        let zone = zone_of(attempt.replica);
        let node = &mut self.coordinators[attempt.coordinator];
        node.observer
            .on_outcome(zone, attempt.replica, outcome, elapsed);
        node.inputs.results.push(AttemptResult {
            query: QueryIndex(attempt.query),
            sub_request: SubRequestIndex(attempt.sub_request),
            attempt: attempt.number,
            outcome,
            elapsed,
            queue_depth: (outcome == AttemptOutcome::Success).then_some(queue_depth),
        });
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Query { coordinator } => self.on_query(coordinator),
            Event::Arrive { attempt } => self.on_arrival(attempt),
            Event::Processed {
                replica,
                attempt,
                incarnation,
            } => {
                if self.replicas[replica].incarnation == incarnation {
                    self.on_processed(replica, attempt);
                }
            }
            Event::Respond { attempt, outcome } => self.end_attempt(attempt, outcome.into()),
            Event::TimeOut { attempt } => self.end_attempt(attempt, AttemptOutcome::TimedOut),
            Event::HealthChecked {
                coordinator,
                replica,
                outcome,
            } => self.on_health_checked(coordinator, replica, outcome.into()),
            Event::Membership { update } => {
                let members = &self.membership_updates[update];
                for node in &mut self.coordinators {
                    let delta = MembershipUpdate::Delta(members.clone());
                    node.inputs.membership.push(delta);
                }
            }
        }
    }

    fn on_query(&mut self, coordinator: usize) {
        self.schedule_query(coordinator);
        // A lost zone's clients are lost with it.
        if self.is_lost(self.coordinators[coordinator].zone) {
            return;
        }
        let first_shard = self.rng.rand_range(0..SHARDS as u64) as usize;
        let key = self.rng.rand_range(0..KEYS);
        let now = self.now;
        let node = &mut self.coordinators[coordinator];
        let query = node.add_query(Query {
            soft_deadline: now + SOFT_DEADLINE,
            attempts: Vec::new(),
        });
        node.observer.on_query(SUB_REQUESTS_PER_QUERY);
        node.inputs.queries.push(NewQuery {
            query: QueryIndex(query),
            search_index: SearchIndex(0),
            customer: 0,
            key: Some(key),
            sequence_number: self.last_event,
            hard_deadline: now + HARD_DEADLINE,
        });
        let sub_request = |n: usize| NewSubRequest {
            query: QueryIndex(query),
            shard: (first_shard + SHARD_STRIDE * n) % SHARDS,
            weight: 1.0 / SUB_REQUESTS_PER_QUERY as f64,
        };
        let sub_requests = (0..SUB_REQUESTS_PER_QUERY).map(sub_request);
        node.inputs.sub_requests.extend(sub_requests);
        if now >= START + FAULT_START {
            self.totals.queries += 1.0;
        }
    }

    fn on_arrival(&mut self, attempt: AttemptIndex) {
        let replica = self.attempts[attempt].replica;
        if !self.replicas[replica].is_up {
            return self.respond(attempt, Outcome::ConnectFailed);
        }
        self.attempts[attempt].queue_depth = self.replicas[replica].queue.len() as u32;
        self.replicas[replica].queue.push_back(attempt);
        let speed = self.speed(replica);
        if self.replicas[replica].fails_on_arrival(self.now, speed) {
            self.totals.failed_replicas += 1;
            self.stop_replica(replica);
        }
        self.process_queue(replica);
    }

    fn on_processed(&mut self, replica: usize, attempt: AttemptIndex) {
        let processing = &mut self.replicas[replica].processing;
        processing.retain(|other| *other != attempt);
        if !self.is_cut_off(self.attempts[attempt].coordinator, replica) {
            self.respond(attempt, Outcome::Success);
        }
        self.process_queue(replica);
    }

    fn on_health_checked(&mut self, coordinator: usize, replica: usize, outcome: AttemptOutcome) {
        let queue_depth = self.replicas[replica].queue.len() as f64;
        let node = &mut self.coordinators[coordinator];
        let zone = zone_of(replica);
        node.observer
            .on_outcome(zone, replica, outcome, OBSERVED_HEALTH_CHECK);
        node.inputs.probes.push(ProbeResult {
            replica: ReplicaIndex(replica),
            outcome,
            queue_depth: (outcome == AttemptOutcome::Success).then_some(queue_depth),
        });
    }

    /// Runs a coordinator's decision module and does what it requests.
    fn run_coordinator(&mut self, coordinator: usize) {
        let decisions = self.coordinators[coordinator].step(self.now);
        for query in decisions.responded {
            self.count_response(coordinator, query);
        }
        for attempt in &decisions.attempts {
            self.send_attempt(coordinator, attempt);
        }
        for cancelled in &decisions.cancelled {
            self.cancel_attempt(coordinator, cancelled);
        }
        for replica in decisions.health_checks {
            self.check_health(coordinator, replica);
        }
        for query in decisions.released {
            self.coordinators[coordinator].release_query(query);
        }
    }

    /// Counts a query that was answered in time and arrived after the fault's start.
    fn count_response(&mut self, coordinator: usize, query: usize) {
        let Some(query) = self.coordinators[coordinator].query(query) else {
            return;
        };
        let arrived_at = query.soft_deadline - SOFT_DEADLINE;
        if self.now <= query.soft_deadline && arrived_at >= START + FAULT_START {
            self.totals.served += 1.0;
        }
    }

    fn send_attempt(&mut self, coordinator: usize, sent: &SendAttempt) {
        let node = &mut self.coordinators[coordinator];
        let Some(Some(query)) = node.queries.get_mut(sent.query) else {
            return;
        };
        let attempts = query.attempts.iter();
        let number = attempts
            .filter(|&&other| self.attempts[other].sub_request == sent.sub_request)
            .count();
        let attempt = self.attempts.len();
        query.attempts.push(attempt);
        self.attempts.push(Attempt {
            coordinator,
            query: sent.query,
            sub_request: sent.sub_request,
            number,
            replica: sent.replica,
            sent_at: self.now,
            is_over: false,
            queue_depth: 0,
        });
        self.totals.attempts += 1.0;
        if node.zone != sent.replica % ZONES {
            self.totals.crossing += 1.0;
        }
        self.after(sent.timeout, Event::TimeOut { attempt });
        if !self.is_cut_off(coordinator, sent.replica) {
            let latency = self.latency(coordinator, sent.replica);
            self.after(latency, Event::Arrive { attempt });
        }
    }

    fn cancel_attempt(&mut self, coordinator: usize, cancelled: &CancelAttempt) {
        let Some(query) = self.coordinators[coordinator].query(cancelled.query) else {
            return;
        };
        let is_it = |index: &&AttemptIndex| {
            let attempt = &self.attempts[**index];
            attempt.sub_request == cancelled.sub_request && attempt.number == cancelled.number
        };
        if let Some(&attempt) = query.attempts.iter().find(is_it) {
            self.end_attempt(attempt, AttemptOutcome::Cancelled);
        }
    }

    fn check_health(&mut self, coordinator: usize, replica: usize) {
        let round_trip = 2 * self.latency(coordinator, replica);
        let (wait, outcome) = if self.is_cut_off(coordinator, replica) {
            (HEALTH_CHECK_TIMEOUT, Outcome::TimedOut)
        } else if self.replicas[replica].is_up {
            (round_trip + HEALTH_CHECK_TIME, Outcome::Success)
        } else {
            (round_trip, Outcome::ConnectFailed)
        };
        let checked = Event::HealthChecked {
            coordinator,
            replica,
            outcome,
        };
        self.after(wait, checked);
    }

    /// Starts and ends the fault at its time.
    fn update_fault(&mut self) {
        let elapsed = self.now - START;
        let is_due = elapsed >= FAULT_START && self.fault != Fault::None;
        if is_due && !self.fault_is_active && !self.fault_has_ended {
            self.start_fault();
        }
        let duration = if self.fault == Fault::ShortLoss {
            SHORT_FAULT_DURATION
        } else {
            FAULT_DURATION
        };
        if self.fault_is_active && elapsed >= FAULT_START + duration {
            self.end_fault();
        }
    }

    fn lost_replicas(&self) -> Vec<usize> {
        (0..REPLICAS)
            .filter(|replica| self.is_lost(replica % ZONES))
            .collect()
    }

    fn start_fault(&mut self) {
        self.fault_is_active = true;
        let lost = self.lost_replicas();
        for &replica in &lost {
            self.stop_replica(replica);
        }
        self.announce_all(&lost, Phase::Removed);
    }

    fn end_fault(&mut self) {
        let lost = self.lost_replicas();
        self.fault_is_active = false;
        self.fault_has_ended = true;
        for &replica in &lost {
            self.replicas[replica].restart(self.now);
        }
        self.announce_all(&lost, Phase::Ready);
    }

    fn announce_all(&mut self, replicas: &[usize], phase: Phase) {
        let entries = replicas.iter();
        let entries = entries.map(|&replica| self.membership_entry(replica, phase));
        let entries = entries.collect();
        self.announce(entries);
    }

    /// Runs to the end.
    pub(super) fn run(mut self) -> Totals {
        let mut decide_at = self.now + DECISION_INTERVAL;
        let end = self.now + DURATION;
        while self.now < end {
            self.now += STEP;
            self.handle_due_events();
            self.update_fault();
            if self.now >= decide_at {
                decide_at += DECISION_INTERVAL;
                self.decide();
            }
            for coordinator in 0..self.coordinators.len() {
                if self.coordinators[coordinator].is_due(self.now) {
                    self.run_coordinator(coordinator);
                }
            }
        }
        self.totals
    }

    fn handle_due_events(&mut self) {
        while let Some(Reverse((at, _, event))) = self.events.peek() {
            if *at > self.now {
                break;
            }
            let event = *event;
            self.events.pop();
            self.handle(event);
        }
    }
}
