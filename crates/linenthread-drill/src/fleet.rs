//! A fleet in simulated time round one decision module: replicas that answer, fail, hang and change.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use linenthread_core::interface::{
    Allowance, Arrivals, ColdStart, Deployment, Ending, FurtherCalls, Index, Layout, Listed, Phase,
    ProbeReturn, Return, RosterNews, Tenths,
};
use linenthread_core::{Coordinator, Writer};
use oorandom::Rand64;

/// Cells, of which each shard lies in two; a replica stands in each, and one more may come in its place.
pub(crate) const CELLS: usize = 4;
pub(crate) const SHARDS: usize = 12;
pub(crate) const CALLS_A_PART: usize = 3;
const FURTHER: FurtherCalls = FurtherCalls {
    free: 20.0,
    share: 0.5,
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
    pub(crate) fn ending(self) -> Ending {
        match self {
            Fate::Answered | Fate::AnsweredTwice => Ending::Answered,
            Fate::Unreadable | Fate::Errored => Ending::Errored,
            Fate::TurnedAway => Ending::TurnedAway,
            Fate::Unconnected => Ending::Unconnected,
            Fate::Broken => Ending::Broken,
            Fate::TimedOut => Ending::TimedOut,
            Fate::Withdrawn => Ending::Withdrawn,
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
    calls: Vec<(usize, usize, usize, Tenths)>,
    withdrawn: Vec<(usize, usize, usize)>,
    probes: Vec<usize>,
    wake: Option<Tenths>,
}

impl Writer for Log {
    fn call(&mut self, lookup: usize, part: usize, replica: usize, time_out: Tenths) {
        self.calls.push((lookup, part, replica, time_out));
        self.decisions.push(Decision::Call {
            lookup,
            part,
            call: 0,
        });
    }
    fn withdraw(&mut self, lookup: usize, part: usize, call: usize) {
        self.withdrawn.push((lookup, part, call));
    }
    fn satisfy(&mut self, lookup: usize, whole: bool) {
        self.decisions.push(Decision::Satisfy { lookup, whole });
    }
    fn nack(&mut self, lookup: usize, _: Option<Tenths>) {
        self.decisions.push(Decision::Nack { lookup });
    }
    fn abort(&mut self, lookup: usize) {
        self.decisions.push(Decision::Abort { lookup });
    }
    fn release(&mut self, lookup: usize) {
        self.decisions.push(Decision::Release { lookup });
    }
    fn close(&mut self, _: usize) {}
    fn probe(&mut self, replica: usize) {
        self.probes.push(replica);
    }
    fn watch_roster(&mut self) {}
    fn wake_at(&mut self, at: Tenths) {
        self.wake = Some(at);
    }
}

pub(crate) struct Fleet {
    pub now: Tenths,
    pub arrivals: Arrivals,
    pub chance: Rand64,
    manner: Manner,
    coordinator: Coordinator,
    events: BinaryHeap<Reverse<(Tenths, u64, Event)>>,
    numbers: u64,
    /// Part calls out, each since when, and how many were made of each part.
    out: BTreeMap<(usize, usize, usize), Tenths>,
    made: BTreeMap<(usize, usize), usize>,
    /// Replicas as listed, and whether each lives.
    listed: Vec<Listed>,
    lives: Vec<bool>,
}

/// Settings with these indexes.
pub(crate) fn deployment(indexes: Vec<Index>) -> Deployment {
    Deployment {
        own_number: 0,
        co_ordinators: 1,
        indexes,
        customer_quotas: Vec::new(),
        over_share_gain: 1.0,
        gain_by_work: false,
        layout: Layout {
            cells: CELLS,
            in_a_row: 2,
        },
        allowance: Allowance {
            calls_a_part: CALLS_A_PART,
            second_copies: true,
            withdraw: true,
            probes: true,
            retry_advice: None,
        },
        cold: ColdStart {
            share: 0.5,
            warm_up: 10_000,
            multiple: 2.0,
            window: 10_000,
        },
        queue_told: true,
        short_queues: false,
        drain_grace: 20_000,
        further_calls: Some(FURTHER),
        watch_roster: false,
    }
}

impl Fleet {
    pub(crate) fn new(indexes: Vec<Index>, seed: u64, manner: Manner) -> Fleet {
        let entry = |n: usize| Listed {
            replica: n,
            id: 900 + n as u64,
            cell: n,
            site: n % 2,
            phase: Phase::Ready,
            started: None,
            cold_share: None,
        };
        let listed: Vec<_> = (0..CELLS).map(entry).collect();
        let mut fleet = Fleet {
            now: 36_000_000,
            arrivals: Arrivals::default(),
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
            .roster
            .push(RosterNews::Whole(fleet.listed.clone()));
        fleet.schedule(1, Event::Wake);
        if manner.changes {
            fleet.schedule(20_000, Event::Changes);
        }
        fleet
    }

    /// An event so long from now.
    pub(crate) fn schedule(&mut self, after: Tenths, event: Event) {
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
                        Ending::Answered
                    } else {
                        Ending::Unconnected
                    };
                    self.arrivals.probes.push(ProbeReturn {
                        replica,
                        ending,
                        queue: Some(0.0),
                    });
                }
                event => events.push(event),
            }
        }
        events
    }

    /// A part call has ended: the module is told.
    pub(crate) fn end(&mut self, lookup: usize, part: usize, call: usize, ending: Ending) {
        if let Some(sent) = self.out.remove(&(lookup, part, call)) {
            let took = self.now - sent;
            self.arrivals.returns.push(Return {
                lookup,
                part,
                call,
                ending,
                took,
                queue: Some(0.0),
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
                entry.started = Some(self.now);
                self.lives[n] = true;
            }
            (Phase::Ready, _) => self.lives[n] = !self.lives[n],
            (_, _) => {
                (entry.phase, entry.started) = (Phase::Ready, Some(self.now));
                self.lives[n] = true;
            }
        }
        let news = RosterNews::Changes(vec![entry.clone()]);
        self.arrivals.roster.push(news);
        let after = 5_000 + self.chance.rand_range(0..40_000) as Tenths;
        self.schedule(after, Event::Changes);
    }

    fn fate(&mut self, replica: usize) -> (Tenths, Fate) {
        let Manner { slow, faults, .. } = self.manner;
        if !self.lives[replica] {
            return (
                2 + self.chance.rand_range(0..20) as Tenths,
                Fate::Unconnected,
            );
        }
        let usual = 10 + (400.0 * self.chance.rand_float().powi(3)) as Tenths;
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
        self.coordinator.round(&arrivals, &mut log);
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
