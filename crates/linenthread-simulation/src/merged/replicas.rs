//! Replicas in simulated time round one decision module: they respond, fail, hang and change.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use linenthread_core::Coordinator;
use linenthread_core::interface::{
    AttemptOutcome, AttemptResult, IndexConfig, Inputs, MembershipEntry, MembershipUpdate, Phase,
    ProbeResult, QueryIndex, ReplicaIndex, SubRequestIndex, TenthMillis,
};
use oorandom::Rand64;

use super::decision::{Decision, DecisionLog};
use super::event::Event;
use super::fault::{AttemptFate, ReplicaBehavior};
use super::settings::{REPLICA_GROUPS, deployment};

/// The replicas, the coordinator that sends them attempts, and the events of their simulated time.
pub(super) struct SimulatedReplicas {
    pub(super) now: TenthMillis,
    pub(super) inputs: Inputs,
    pub(super) rng: Rand64,
    pub(super) behavior: ReplicaBehavior,
    coordinator: Coordinator,
    events: BinaryHeap<Reverse<(TenthMillis, u64, Event)>>,
    event_count: u64,
    /// Part sent out, each since when, and how many were made of each sub_request.
    in_flight: BTreeMap<(usize, usize, usize), TenthMillis>,
    attempt_counts: BTreeMap<(usize, usize), usize>,
    /// Replicas as members, and whether each is_alive.
    pub(super) members: Vec<MembershipEntry>,
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
            id: 900 + n as u64,
            replica_group: n,
            zone: n % 2,
            phase: Phase::Ready,
            started_at: None,
            slow_start_share: None,
        };
        let members: Vec<_> = (0..REPLICA_GROUPS).map(entry).collect();
        let mut fleet = SimulatedReplicas {
            now: 36_000_000,
            inputs: Inputs::default(),
            rng: Rand64::new(u128::from(seed)),
            behavior,
            coordinator: Coordinator::new(deployment(indexes), seed),
            events: BinaryHeap::new(),
            event_count: 0,
            in_flight: BTreeMap::new(),
            attempt_counts: BTreeMap::new(),
            is_alive: vec![true; members.len()],
            members,
        };
        fleet
            .inputs
            .membership
            .push(MembershipUpdate::Snapshot(fleet.members.clone()));
        fleet.schedule(1, Event::Wake);
        if behavior.changes {
            fleet.schedule(20_000, Event::MembershipChange);
        }
        fleet
    }

    /// An event so long from now.
    pub(super) fn schedule(&mut self, after: TenthMillis, event: Event) {
        self.event_count += 1;
        self.events
            .push(Reverse((self.now + after, self.event_count, event)));
    }

    /// The next events, all of one moment.
    pub(super) fn next(&mut self) -> Vec<Event> {
        let Some(Reverse((at, _, _))) = self.events.peek() else {
            return Vec::new();
        };
        self.now = *at;
        let mut events = Vec::new();
        while let Some(Reverse((at, _, _))) = self.events.peek()
            && *at == self.now
            && let Some(Reverse((_, _, event))) = self.events.pop()
        {
            match event {
                Event::MembershipChange => self.change(),
                Event::Probed(replica, answers) => {
                    let outcome = if answers {
                        AttemptOutcome::Success
                    } else {
                        AttemptOutcome::ConnectFailed
                    };
                    self.inputs.probes.push(ProbeResult {
                        replica: ReplicaIndex(replica),
                        outcome,
                        queue_depth: Some(0.0),
                    });
                }
                event => events.push(event),
            }
        }
        events
    }

    /// An attempt has ended: the module is told.
    pub(super) fn complete(
        &mut self,
        query: usize,
        sub_request: usize,
        attempt: usize,
        outcome: AttemptOutcome,
    ) {
        if let Some(sent) = self.in_flight.remove(&(query, sub_request, attempt)) {
            let elapsed = self.now - sent;
            self.inputs.results.push(AttemptResult {
                query: QueryIndex(query),
                sub_request: SubRequestIndex(sub_request),
                attempt,
                outcome,
                elapsed,
                queue_depth: Some(0.0),
            });
        }
    }

    /// Whether an attempt has not ended yet.
    pub(super) fn is_in_flight(&self, query: usize, sub_request: usize, attempt: usize) -> bool {
        self.in_flight.contains_key(&(query, sub_request, attempt))
    }

    /// One round of the module; what it decides, with each attempt under its number.
    pub(super) fn step(&mut self) -> Vec<Decision> {
        self.inputs.now = self.now;
        let inputs = std::mem::take(&mut self.inputs);
        let mut log = DecisionLog::default();
        self.coordinator.step(&inputs, &mut log);
        let mut attempts = Vec::new();
        for (l, p, replica, timeout) in log.sent {
            let attempt_count = self.attempt_counts.entry((l, p)).or_default();
            let attempt = *attempt_count;
            *attempt_count += 1;
            attempts.push(attempt);
            let (after, fate) = self.fate(replica);
            self.in_flight.insert((l, p, attempt), self.now);
            let (after, fate) = if after < timeout {
                (after, fate)
            } else {
                (timeout, AttemptFate::TimedOut)
            };
            self.schedule(after, Event::AttemptEnded(l, p, attempt, fate));
        }
        for (l, p, c) in log.cancelled {
            self.schedule(0, Event::AttemptEnded(l, p, c, AttemptFate::Cancelled));
        }
        for replica in log.probes {
            let answers = self.is_alive[replica];
            self.schedule(5, Event::Probed(replica, answers));
        }
        if let Some(at) = log.wake {
            self.schedule((at - self.now).max(1), Event::Wake);
        }
        let mut attempts = attempts.into_iter();
        for decision in &mut log.decisions {
            match decision {
                Decision::Send { attempt, .. } => *attempt = attempts.next().unwrap_or_default(),
                Decision::Release { query } => self.attempt_counts.retain(|(l, _), _| l != query),
                _ => {}
            }
        }
        log.decisions
    }
}
