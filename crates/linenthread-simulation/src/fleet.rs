//! A fleet in simulated time round one decision module: replicas that answer, fail, hang and change.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use linenthread_core::interface::{
    AttemptOutcome, AttemptResult, CoordinatorConfig, IndexConfig, Inputs, MembershipEntry,
    MembershipUpdate, Permissions, Phase, ProbeResult, RetryBudget, ShardLayout, SlowStart,
    TenthMillis,
};
use linenthread_core::{Coordinator, DecisionSink};
use oorandom::Rand64;

/// Cells, of which each shard lies in two; a replica stands in each, and one more may come in its place.
pub(crate) const CELLS: usize = 4;
pub(crate) const SHARDS: usize = 12;
pub(crate) const CALLS_A_PART: usize = 3;
const FURTHER: RetryBudget = RetryBudget {
    reserve: 20.0,
    ratio: 0.5,
    window: 100_000,
};

/// What was decided on a lookup.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Decision {
    Call {
        lookup: usize,
        part: usize,
        call: usize,
    },
    Satisfy {
        lookup: usize,
        whole: bool,
    },
    Nack {
        lookup: usize,
    },
    Abort {
        lookup: usize,
    },
    Release {
        lookup: usize,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Event {
    /// A part call ends; a value is to be had where it is answered.
    Ends(usize, usize, usize, Fate),
    Probed(usize, bool),
    Client(usize),
    Changes,
    Wake,
}

/// What becomes of a part call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Fate {
    Answered,
    AnsweredTwice,
    Unreadable,
    Errored,
    TurnedAway,
    Unconnected,
    Broken,
    TimedOut,
    Withdrawn,
}

impl Fate {
    pub(crate) fn ending(self) -> AttemptOutcome {
        match self {
            Fate::Answered | Fate::AnsweredTwice => AttemptOutcome::Success,
            Fate::Unreadable | Fate::Errored => AttemptOutcome::Error,
            Fate::TurnedAway => AttemptOutcome::Rejected,
            Fate::Unconnected => AttemptOutcome::ConnectFailed,
            Fate::Broken => AttemptOutcome::ConnectionLost,
            Fate::TimedOut => AttemptOutcome::TimedOut,
            Fate::Withdrawn => AttemptOutcome::Cancelled,
        }
    }
}

/// How replicas behave: shares of their part calls.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Manner {
    pub slow: f64,
    pub faults: f64,
    /// Replicas die, drain, restart and come back.
    pub changes: bool,
}

#[derive(Default)]
struct Log {
    decisions: Vec<Decision>,
    calls: Vec<(usize, usize, usize, TenthMillis)>,
    withdrawn: Vec<(usize, usize, usize)>,
    probes: Vec<usize>,
    wake: Option<TenthMillis>,
}

impl DecisionSink for Log {
    fn send(&mut self, lookup: usize, part: usize, replica: usize, time_out: TenthMillis) {
        self.calls.push((lookup, part, replica, time_out));
        self.decisions.push(Decision::Call {
            lookup,
            part,
            call: 0,
        });
    }
    fn cancel(&mut self, lookup: usize, part: usize, call: usize) {
        self.withdrawn.push((lookup, part, call));
    }
    fn respond(&mut self, lookup: usize, whole: bool) {
        self.decisions.push(Decision::Satisfy { lookup, whole });
    }
    fn reject(&mut self, lookup: usize, _: Option<TenthMillis>) {
        self.decisions.push(Decision::Nack { lookup });
    }
    fn fail(&mut self, lookup: usize) {
        self.decisions.push(Decision::Abort { lookup });
    }
    fn release(&mut self, lookup: usize) {
        self.decisions.push(Decision::Release { lookup });
    }
    fn close_idle(&mut self, _: usize) {}
    fn probe(&mut self, replica: usize) {
        self.probes.push(replica);
    }
    fn watch_membership(&mut self) {}
    fn wake_at(&mut self, at: TenthMillis) {
        self.wake = Some(at);
    }
}

pub(crate) struct Fleet {
    pub now: TenthMillis,
    pub arrivals: Inputs,
    pub chance: Rand64,
    manner: Manner,
    coordinator: Coordinator,
    events: BinaryHeap<Reverse<(TenthMillis, u64, Event)>>,
    numbers: u64,
    /// Part calls out, each since when, and how many were made of each part.
    out: BTreeMap<(usize, usize, usize), TenthMillis>,
    made: BTreeMap<(usize, usize), usize>,
    /// Replicas as listed, and whether each lives.
    listed: Vec<MembershipEntry>,
    lives: Vec<bool>,
}

/// Settings with these indexes.
pub(crate) fn deployment(indexes: Vec<IndexConfig>) -> CoordinatorConfig {
    CoordinatorConfig {
        coordinator_number: 0,
        coordinator_count: 1,
        indexes,
        customer_quotas: Vec::new(),
        over_quota_value: 1.0,
        value_by_work: false,
        layout: ShardLayout {
            replica_groups: CELLS,
            replication_factor: 2,
        },
        permissions: Permissions {
            max_attempts: CALLS_A_PART,
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
        retry_budget: Some(FURTHER),
        watch_membership: false,
    }
}

impl Fleet {
    pub(crate) fn new(indexes: Vec<IndexConfig>, seed: u64, manner: Manner) -> Fleet {
        let entry = |n: usize| MembershipEntry {
            replica: n,
            id: 900 + n as u64,
            replica_group: n,
            zone: n % 2,
            phase: Phase::Ready,
            started_at: None,
            slow_start_share: None,
        };
        let listed: Vec<_> = (0..CELLS).map(entry).collect();
        let mut fleet = Fleet {
            now: 36_000_000,
            arrivals: Inputs::default(),
            chance: Rand64::new(u128::from(seed)),
            manner,
            coordinator: Coordinator::new(deployment(indexes), seed),
            events: BinaryHeap::new(),
            numbers: 0,
            out: BTreeMap::new(),
            made: BTreeMap::new(),
            lives: vec![true; listed.len()],
            listed,
        };
        fleet
            .arrivals
            .membership
            .push(MembershipUpdate::Snapshot(fleet.listed.clone()));
        fleet.schedule(1, Event::Wake);
        if manner.changes {
            fleet.schedule(20_000, Event::Changes);
        }
        fleet
    }

    /// An event so long from now.
    pub(crate) fn schedule(&mut self, after: TenthMillis, event: Event) {
        self.numbers += 1;
        self.events
            .push(Reverse((self.now + after, self.numbers, event)));
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
                Event::Changes => self.change(),
                Event::Probed(replica, answers) => {
                    let ending = if answers {
                        AttemptOutcome::Success
                    } else {
                        AttemptOutcome::ConnectFailed
                    };
                    self.arrivals.probes.push(ProbeResult {
                        replica,
                        outcome: ending,
                        queue_depth: Some(0.0),
                    });
                }
                event => events.push(event),
            }
        }
        events
    }

    /// A part call has ended: the module is told.
    pub(crate) fn end(&mut self, lookup: usize, part: usize, call: usize, ending: AttemptOutcome) {
        if let Some(sent) = self.out.remove(&(lookup, part, call)) {
            let took = self.now - sent;
            self.arrivals.results.push(AttemptResult {
                query: lookup,
                sub_request: part,
                attempt: call,
                outcome: ending,
                elapsed: took,
                queue_depth: Some(0.0),
            });
        }
    }

    /// Whether a part call has not ended yet.
    pub(crate) fn is_out(&self, lookup: usize, part: usize, call: usize) -> bool {
        self.out.contains_key(&(lookup, part, call))
    }

    /// A replica dies and is replaced, drains, or comes back.
    fn change(&mut self) {
        let n = self.chance.rand_range(0..CELLS as u64) as usize;
        let entry = &mut self.listed[n];
        match (entry.phase, self.chance.rand_range(0..3)) {
            (Phase::Ready, 0) => entry.phase = Phase::Draining,
            (Phase::Ready, 1) => {
                // Another process in its place, cold.
                entry.started_at = Some(self.now);
                self.lives[n] = true;
            }
            (Phase::Ready, _) => self.lives[n] = !self.lives[n],
            (_, _) => {
                (entry.phase, entry.started_at) = (Phase::Ready, Some(self.now));
                self.lives[n] = true;
            }
        }
        let news = MembershipUpdate::Delta(vec![entry.clone()]);
        self.arrivals.membership.push(news);
        let after = 5_000 + self.chance.rand_range(0..40_000) as TenthMillis;
        self.schedule(after, Event::Changes);
    }

    fn fate(&mut self, replica: usize) -> (TenthMillis, Fate) {
        let Manner { slow, faults, .. } = self.manner;
        if !self.lives[replica] {
            return (
                2 + self.chance.rand_range(0..20) as TenthMillis,
                Fate::Unconnected,
            );
        }
        let usual = 10 + (400.0 * self.chance.rand_float().powi(3)) as TenthMillis;
        if self.chance.rand_float() < slow {
            return (1_000_000, Fate::Answered);
        }
        if self.chance.rand_float() >= faults {
            return (usual, Fate::Answered);
        }
        let fates = [
            Fate::AnsweredTwice,
            Fate::Unreadable,
            Fate::Errored,
            Fate::TurnedAway,
            Fate::Unconnected,
            Fate::Broken,
        ];
        (
            usual,
            fates[self.chance.rand_range(0..fates.len() as u64) as usize],
        )
    }

    /// One round of the module; what it decides, with each call under its number.
    pub(crate) fn round(&mut self) -> Vec<Decision> {
        self.arrivals.now = self.now;
        let arrivals = std::mem::take(&mut self.arrivals);
        let mut log = Log::default();
        self.coordinator.step(&arrivals, &mut log);
        let mut numbers = Vec::new();
        for (l, p, replica, time_out) in log.calls {
            let made = self.made.entry((l, p)).or_default();
            let call = *made;
            *made += 1;
            numbers.push(call);
            let (after, fate) = self.fate(replica);
            self.out.insert((l, p, call), self.now);
            let (after, fate) = if after < time_out {
                (after, fate)
            } else {
                (time_out, Fate::TimedOut)
            };
            self.schedule(after, Event::Ends(l, p, call, fate));
        }
        for (l, p, c) in log.withdrawn {
            self.schedule(0, Event::Ends(l, p, c, Fate::Withdrawn));
        }
        for replica in log.probes {
            let answers = self.lives[replica];
            self.schedule(5, Event::Probed(replica, answers));
        }
        if let Some(at) = log.wake {
            self.schedule((at - self.now).max(1), Event::Wake);
        }
        let mut numbers = numbers.into_iter();
        for decision in &mut log.decisions {
            match decision {
                Decision::Call { call, .. } => *call = numbers.next().unwrap_or_default(),
                Decision::Release { lookup } => self.made.retain(|(l, _), _| l != lookup),
                _ => {}
            }
        }
        log.decisions
    }
}
