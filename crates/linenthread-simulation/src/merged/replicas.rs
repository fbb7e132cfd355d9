//! The replicas in simulated time, with the decision module that sends attempts to them.

use std::collections::BTreeMap;

use linenthread_core::Coordinator;
use linenthread_core::interface::{
    AttemptOutcome, AttemptResult, IndexConfig, Inputs, MembershipEntry, MembershipUpdate, Phase,
    ProbeResult, QueryIndex, ReplicaIndex, SubRequestIndex, TenthMillis,
};
use oorandom::Rand64;

use super::decision::{Attempt, Decision, DecisionLog, SentAttempt};
use super::event::Event;
use super::fault::{DrawnOutcome, ReplicaBehavior};
use super::settings::{REPLICA_GROUPS, coordinator_config};
use crate::event_queue::EventQueue;
use crate::number;

/// The simulated time at which a run starts; not 0, so that earlier times can be represented.
const START: TenthMillis = 36_000_000;
/// The time from the start of a run to the first change of a replica.
const FIRST_CHANGE: TenthMillis = 20_000;
/// The id of the first replica; the value is arbitrary.
const FIRST_REPLICA_ID: u64 = 900;
/// How long a health check takes.
const HEALTH_CHECK_TIME: TenthMillis = 5;

/// The replicas, the coordinator that sends attempts to them, and the queue of events.
pub(super) struct SimulatedReplicas {
    pub(super) now: TenthMillis,
    pub(super) inputs: Inputs,
    pub(super) rng: Rand64,
    pub(super) behavior: ReplicaBehavior,
    coordinator: Coordinator,
    events: EventQueue<Event>,
    /// The attempts in flight, and when each was sent.
    in_flight: BTreeMap<Attempt, TenthMillis>,
    /// The number of attempts of each sub-request.
    attempt_counts: BTreeMap<(QueryIndex, SubRequestIndex), usize>,
    /// The replicas as service discovery reports them.
    pub(super) members: Vec<MembershipEntry>,
    /// Whether the process of each replica runs.
    pub(super) is_alive: Vec<bool>,
}

impl SimulatedReplicas {
    pub(super) fn new(
        indexes: Vec<IndexConfig>,
        seed: u64,
        behavior: ReplicaBehavior,
    ) -> SimulatedReplicas {
        let entry = |n: usize| MembershipEntry {
            replica: ReplicaIndex(n),
            id: FIRST_REPLICA_ID + number::to_u64(n),
            replica_group: n,
            zone: n % 2,
            phase: Phase::Ready,
            started_at: None,
            slow_start_share: None,
        };
        let members: Vec<_> = (0..REPLICA_GROUPS).map(entry).collect();
        let mut replicas = SimulatedReplicas {
            now: START,
            inputs: Inputs::default(),
            rng: Rand64::new(u128::from(seed)),
            behavior,
            coordinator: Coordinator::new(coordinator_config(indexes), seed),
            events: EventQueue::default(),
            in_flight: BTreeMap::new(),
            attempt_counts: BTreeMap::new(),
            is_alive: vec![true; members.len()],
            members,
        };
        let snapshot = MembershipUpdate::Snapshot(replicas.members.clone());
        replicas.inputs.membership.push(snapshot);
        replicas.schedule(1, Event::Wake);
        if behavior.replicas_change {
            replicas.schedule(FIRST_CHANGE, Event::MembershipChange);
        }
        replicas
    }

    /// Schedules an event `after` the current time.
    pub(super) fn schedule(&mut self, after: TenthMillis, event: Event) {
        self.events.push(self.now + after, event);
    }

    /// Advances time to the next events and returns them; all have the same time. Changes of replicas and health checks
    /// are handled here and not returned.
    pub(super) fn next_events(&mut self) -> Vec<Event> {
        let Some(at) = self.events.next_at() else {
            return Vec::new();
        };
        self.now = at;
        let mut events = Vec::new();
        while let Some((_, event)) = self.events.pop_by(at) {
            match event {
                Event::MembershipChange => self.change_replica(),
                Event::HealthChecked { replica, is_alive } => {
                    let outcome = if is_alive {
                        AttemptOutcome::Success
                    } else {
                        AttemptOutcome::ConnectFailed
                    };
                    self.inputs.probes.push(ProbeResult {
                        replica,
                        outcome,
                        queue_depth: Some(0.0),
                    });
                }
                event => events.push(event),
            }
        }
        events
    }

    /// Ends an attempt and reports its outcome to the decision module.
    pub(super) fn complete_attempt(&mut self, attempt: Attempt, outcome: AttemptOutcome) {
        if let Some(sent_at) = self.in_flight.remove(&attempt) {
            self.inputs.results.push(AttemptResult {
                query: attempt.query,
                sub_request: attempt.sub_request,
                attempt: attempt.number,
                outcome,
                elapsed: self.now - sent_at,
                queue_depth: Some(0.0),
            });
        }
    }

    /// Reports whether an attempt has not ended yet.
    pub(super) fn is_in_flight(&self, attempt: &Attempt) -> bool {
        self.in_flight.contains_key(attempt)
    }

    /// Runs a step of the decision module and returns its decisions, with the attempts numbered.
    pub(super) fn step(&mut self) -> Vec<Decision> {
        self.inputs.now = self.now;
        let inputs = std::mem::take(&mut self.inputs);
        let mut log = DecisionLog::default();
        self.coordinator.step(&inputs, &mut log);
        let mut numbers = Vec::new();
        for sent in log.sent {
            numbers.push(self.send(&sent));
        }
        for attempt in log.cancelled {
            let drawn = DrawnOutcome::Cancelled;
            self.schedule(0, Event::AttemptCompleted { attempt, drawn });
        }
        for replica in log.health_checks {
            let is_alive = self.is_alive[replica.0];
            self.schedule(
                HEALTH_CHECK_TIME,
                Event::HealthChecked { replica, is_alive },
            );
        }
        if let Some(at) = log.wake_at {
            self.schedule((at - self.now).max(1), Event::Wake);
        }
        let mut numbers = numbers.into_iter();
        for decision in &mut log.decisions {
            match decision {
                Decision::Send(attempt) => attempt.number = numbers.next().unwrap_or_default(),
                Decision::Release(query) => {
                    self.attempt_counts
                        .retain(|(counted, _), _| counted != query);
                }
                _ => {}
            }
        }
        log.decisions
    }

    /// Sends an attempt to a replica and returns its number.
    fn send(&mut self, sent: &SentAttempt) -> usize {
        let counted = (sent.attempt.query, sent.attempt.sub_request);
        let count = self.attempt_counts.entry(counted).or_default();
        let attempt = Attempt {
            number: *count,
            ..sent.attempt
        };
        *count += 1;
        let (after, drawn) = self.draw_outcome(sent.replica);
        self.in_flight.insert(attempt, self.now);
        let (after, drawn) = if after < sent.timeout {
            (after, drawn)
        } else {
            (sent.timeout, DrawnOutcome::TimedOut)
        };
        self.schedule(after, Event::AttemptCompleted { attempt, drawn });
        attempt.number
    }
}
