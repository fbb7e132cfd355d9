//! The simulated world: a queue of events, processes on clocks of their own, and the network between them.

use std::collections::BTreeMap;

use linenthread_core::interface::TenthMillis;
use oorandom::Rand64;

use super::event::{Event, ProcessIndex};
use super::invariant::Invariant;
use super::network::Network;
use super::process::Process;
use super::statistics::Totals;
use crate::event_queue::EventQueue;
use crate::number;
use crate::random;

/// A schedule ends after so many violations.
pub(super) const MAX_VIOLATIONS: usize = 3;

/// One schedule.
pub(super) struct World {
    pub(super) now: TenthMillis,
    pub(super) rng: Rand64,
    pub(super) events: EventQueue<Event>,
    pub(super) network: Network,
    pub(super) processes: Vec<Process>,
    /// The first so many processes are voters.
    pub(super) voters: usize,
    seed: u64,
    /// All values that any process has reported as committed.
    pub(super) committed: BTreeMap<(String, u64), Vec<u8>>,
    pub(super) proposals: u64,
    pub(super) violations: Vec<String>,
    pub(super) totals: Totals,
}

impl World {
    /// A fleet of which no process has started yet.
    pub(super) fn new(seed: u64) -> World {
        let mut rng = Rand64::new(u128::from(seed));
        let voters = [3, 3, 5][random::index(&mut rng, 3)];
        let count = voters + random::index(&mut rng, 4);
        let processes = (0..count).map(|_| Process::new(&mut rng)).collect();
        World {
            now: 0,
            rng,
            events: EventQueue::default(),
            network: Network::default(),
            processes,
            voters,
            seed,
            committed: BTreeMap::new(),
            proposals: 0,
            violations: Vec::new(),
            totals: Totals::default(),
        }
    }

    /// Records a violation.
    pub(super) fn violated(&mut self, invariant: Invariant, details: &str) {
        let seconds = number::seconds(self.now);
        let schedule = self.seed;
        self.violations.push(format!(
            "schedule {schedule}, {seconds:.1} s: {invariant}: {details}"
        ));
    }

    /// Schedules an event.
    pub(super) fn schedule(&mut self, wait: TenthMillis, event: Event) {
        self.events.push(self.now + wait.max(0), event);
    }

    /// A random latency of one way.
    pub(super) fn latency(&mut self) -> TenthMillis {
        self.network.latency(&mut self.rng)
    }

    /// A random time from `range`, in tenths of a millisecond.
    pub(super) fn random_time(&mut self, range: std::ops::Range<u64>) -> TenthMillis {
        random::within(&mut self.rng, range)
    }

    pub(super) fn random_process(&mut self) -> ProcessIndex {
        random::index(&mut self.rng, self.processes.len())
    }

    /// The process that an event arrives at.
    pub(super) fn receiver(&self, event: &Event) -> Option<ProcessIndex> {
        match event {
            Event::Wake(at, _) => Some(*at),
            Event::Connect { to, .. } | Event::Datagram { to, .. } => Some(*to),
            Event::Bytes { link, side, .. } | Event::Closed { link, side } => {
                let link = self.network.link(*link)?;
                Some(link.ends[*side].process)
            }
            _ => None,
        }
    }
}
