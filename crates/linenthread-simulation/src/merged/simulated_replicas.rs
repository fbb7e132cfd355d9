//! Replicas in simulated time round one decision module: they respond, fail, hang and change.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use linenthread_core::interface::{
    AttemptOutcome, AttemptResult, Completeness, CoordinatorConfig, IndexConfig, Inputs,
    MembershipEntry, MembershipUpdate, Permissions, Phase, ProbeResult, QueryIndex, ReplicaIndex,
    RetryBudget, ShardLayout, SlowStart, SubRequestIndex, TenthMillis, ValueGrowth,
};
use linenthread_core::{Coordinator, DecisionSink};
use oorandom::Rand64;

/// Replica groups: each shard lies in two of them, and one replica stands in each.
pub(crate) const REPLICA_GROUPS: usize = 4;
/// Shards of each index.
pub(crate) const SHARDS: usize = 12;
/// Attempts that a sub-request may take.
pub(crate) const MAX_ATTEMPTS: usize = 3;
/// What retries of all queries may take.
const RETRY_BUDGET: RetryBudget = RetryBudget {
    reserve: 20.0,
    ratio: 0.5,
    window: 100_000,
};

/// A decision of the coordinator on one query.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Decision {
    Send {
        query: usize,
        sub_request: usize,
        attempt: usize,
    },
    Respond {
        query: usize,
        completeness: Completeness,
    },
    Reject {
        query: usize,
    },
    Fail {
        query: usize,
    },
    Release {
        query: usize,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Event {
    /// An attempt ends; a value is there where it succeeded.
    AttemptEnded(usize, usize, usize, AttemptFate),
    Probed(usize, bool),
    Client(usize),
    MembershipChange,
    Wake,
}

/// What becomes of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum AttemptFate {
    Success,
    DuplicateSuccess,
    MalformedValue,
    Error,
    Rejected,
    ConnectFailed,
    ConnectionLost,
    TimedOut,
    Cancelled,
}

impl AttemptFate {
    pub(crate) fn outcome(self) -> AttemptOutcome {
        match self {
            AttemptFate::Success | AttemptFate::DuplicateSuccess => AttemptOutcome::Success,
            AttemptFate::MalformedValue | AttemptFate::Error => AttemptOutcome::Error,
            AttemptFate::Rejected => AttemptOutcome::Rejected,
            AttemptFate::ConnectFailed => AttemptOutcome::ConnectFailed,
            AttemptFate::ConnectionLost => AttemptOutcome::ConnectionLost,
            AttemptFate::TimedOut => AttemptOutcome::TimedOut,
            AttemptFate::Cancelled => AttemptOutcome::Cancelled,
        }
    }
}

/// How replicas behave: shares of their attempts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReplicaBehavior {
    pub slow: f64,
    pub faults: f64,
    /// Replicas die, drain, restart and come back.
    pub changes: bool,
}

/// Records what the coordinator decides in one step.
#[derive(Default)]
struct DecisionLog {
    decisions: Vec<Decision>,
    sent: Vec<(usize, usize, usize, TenthMillis)>,
    cancelled: Vec<(usize, usize, usize)>,
    probes: Vec<usize>,
    wake: Option<TenthMillis>,
}

impl DecisionSink for DecisionLog {
    fn send(
        &mut self,
        QueryIndex(query): QueryIndex,
        SubRequestIndex(sub_request): SubRequestIndex,
        ReplicaIndex(replica): ReplicaIndex,
        timeout: TenthMillis,
    ) {
        self.sent.push((query, sub_request, replica, timeout));
        self.decisions.push(Decision::Send {
            query,
            sub_request,
            attempt: 0,
        });
    }
    fn cancel(&mut self, query: QueryIndex, sub_request: SubRequestIndex, attempt: usize) {
        self.cancelled.push((query.0, sub_request.0, attempt));
    }
    fn respond(&mut self, QueryIndex(query): QueryIndex, completeness: Completeness) {
        self.decisions.push(Decision::Respond {
            query,
            completeness,
        });
    }
    fn reject(&mut self, QueryIndex(query): QueryIndex, _: Option<TenthMillis>) {
        self.decisions.push(Decision::Reject { query });
    }
    fn fail(&mut self, QueryIndex(query): QueryIndex) {
        self.decisions.push(Decision::Fail { query });
    }
    fn release(&mut self, QueryIndex(query): QueryIndex) {
        self.decisions.push(Decision::Release { query });
    }
    fn close_idle(&mut self, _: ReplicaIndex) {}
    fn probe(&mut self, replica: ReplicaIndex) {
        self.probes.push(replica.0);
    }
    fn watch_membership(&mut self) {}
    fn wake_at(&mut self, at: TenthMillis) {
        self.wake = Some(at);
    }
}

/// The replicas, the coordinator that sends them attempts, and the events of their simulated time.
pub(crate) struct SimulatedReplicas {
    pub now: TenthMillis,
    pub inputs: Inputs,
    pub rng: Rand64,
    behavior: ReplicaBehavior,
    coordinator: Coordinator,
    events: BinaryHeap<Reverse<(TenthMillis, u64, Event)>>,
    event_count: u64,
    /// Part sent out, each since when, and how many were made of each sub_request.
    in_flight: BTreeMap<(usize, usize, usize), TenthMillis>,
    attempt_counts: BTreeMap<(usize, usize), usize>,
    /// Replicas as members, and whether each is_alive.
    members: Vec<MembershipEntry>,
    is_alive: Vec<bool>,
}

/// Settings with these indexes.
pub(crate) fn deployment(indexes: Vec<IndexConfig>) -> CoordinatorConfig {
    CoordinatorConfig {
        coordinator_number: 0,
        coordinator_count: 1,
        indexes,
        customer_quotas: Vec::new(),
        over_quota_value: 1.0,
        value_growth: ValueGrowth::Constant,
        layout: ShardLayout {
            replica_groups: REPLICA_GROUPS,
            replication_factor: 2,
        },
        permissions: Permissions {
            max_attempts: MAX_ATTEMPTS,
            hedging: true,
            cancellation: true,
            health_probes: true,
            max_retry_after: None,
        },
        slow_start: SlowStart {
            initial_share: 0.5,
            duration: 10_000,
            budget_multiple: 2.0,
            window: 10_000,
        },
        reports_queue: true,
        short_queues: false,
        drain_grace: 20_000,
        retry_budget: Some(RETRY_BUDGET),
        watch_membership: false,
    }
}

impl SimulatedReplicas {
    pub(crate) fn new(
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
    pub(crate) fn schedule(&mut self, after: TenthMillis, event: Event) {
        self.event_count += 1;
        self.events
            .push(Reverse((self.now + after, self.event_count, event)));
    }

    /// The next events, all of one moment.
    pub(crate) fn next(&mut self) -> Vec<Event> {
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
    pub(crate) fn complete(
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
    pub(crate) fn is_in_flight(&self, query: usize, sub_request: usize, attempt: usize) -> bool {
        self.in_flight.contains_key(&(query, sub_request, attempt))
    }

    /// A replica dies and is replaced, drains, or comes back.
    fn change(&mut self) {
        let n = self.rng.rand_range(0..REPLICA_GROUPS as u64) as usize;
        let entry = &mut self.members[n];
        match (entry.phase, self.rng.rand_range(0..3)) {
            (Phase::Ready, 0) => entry.phase = Phase::Draining,
            (Phase::Ready, 1) => {
                // Another process in its place, cold.
                entry.started_at = Some(self.now);
                self.is_alive[n] = true;
            }
            (Phase::Ready, _) => self.is_alive[n] = !self.is_alive[n],
            (_, _) => {
                (entry.phase, entry.started_at) = (Phase::Ready, Some(self.now));
                self.is_alive[n] = true;
            }
        }
        let update = MembershipUpdate::Delta(vec![entry.clone()]);
        self.inputs.membership.push(update);
        let after = 5_000 + self.rng.rand_range(0..40_000) as TenthMillis;
        self.schedule(after, Event::MembershipChange);
    }

    fn fate(&mut self, replica: usize) -> (TenthMillis, AttemptFate) {
        let ReplicaBehavior { slow, faults, .. } = self.behavior;
        if !self.is_alive[replica] {
            return (
                2 + self.rng.rand_range(0..20) as TenthMillis,
                AttemptFate::ConnectFailed,
            );
        }
        let usual = 10 + (400.0 * self.rng.rand_float().powi(3)) as TenthMillis;
        if self.rng.rand_float() < slow {
            return (1_000_000, AttemptFate::Success);
        }
        if self.rng.rand_float() >= faults {
            return (usual, AttemptFate::Success);
        }
        let fates = [
            AttemptFate::DuplicateSuccess,
            AttemptFate::MalformedValue,
            AttemptFate::Error,
            AttemptFate::Rejected,
            AttemptFate::ConnectFailed,
            AttemptFate::ConnectionLost,
        ];
        (
            usual,
            fates[self.rng.rand_range(0..fates.len() as u64) as usize],
        )
    }

    /// One round of the module; what it decides, with each attempt under its number.
    pub(crate) fn step(&mut self) -> Vec<Decision> {
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
