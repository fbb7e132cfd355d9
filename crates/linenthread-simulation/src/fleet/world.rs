//! The state of a schedule: the queue of events, the processes with their clocks, and the network between them.

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

/// Each phase of a schedule ends early when there are more violations than this.
pub(super) const MAX_VIOLATIONS: usize = 3;

/// The state of a schedule.
pub(super) struct World {
    pub(super) now: TenthMillis,
    pub(super) rng: Rand64,
    pub(super) events: EventQueue<Event>,
    pub(super) network: Network,
    pub(super) processes: Vec<Process>,
    /// The number of voters, which are the first processes.
    pub(super) voters: usize,
    seed: u64,
    /// All values that any process has reported as committed.
    pub(super) committed: BTreeMap<(String, u64), Vec<u8>>,
    pub(super) proposals: u64,
    pub(super) violations: Vec<String>,
    pub(super) totals: Totals,
}

impl World {
    /// Creates a fleet in which no process has started yet.
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
    pub(super) fn record_violation(&mut self, invariant: Invariant, details: &str) {
        let seconds = number::seconds(self.now);
        let schedule = self.seed;
        self.violations.push(format!(
            "schedule {schedule}, {seconds:.1} s: {invariant}: {details}"
        ));
    }

    /// Schedules an event after `wait`; a negative wait counts as 0.
    pub(super) fn schedule(&mut self, wait: TenthMillis, event: Event) {
        self.events.push(self.now + wait.max(0), event);
    }

    /// Draws a one-way latency.
    pub(super) fn latency(&mut self) -> TenthMillis {
        self.network.latency(&mut self.rng)
    }

    /// Draws a time from `range`, in tenths of a millisecond.
    pub(super) fn random_time(&mut self, range: std::ops::Range<u64>) -> TenthMillis {
        random::within(&mut self.rng, range)
    }

    pub(super) fn random_process(&mut self) -> ProcessIndex {
        random::index(&mut self.rng, self.processes.len())
    }

    /// Returns the process that an event arrives at; `None` if there is none or its link no longer exists.
    pub(super) fn receiver(&self, event: &Event) -> Option<ProcessIndex> {
        match event {
            Event::Wake(index, _) => Some(*index),
            Event::Connect { to, .. } | Event::Datagram { to, .. } => Some(*to),
            Event::Bytes { link, side, .. } | Event::Closed { link, side } => {
                let link = self.network.link(*link)?;
                Some(link.ends[*side].process)
            }
            _ => None,
        }
    }
}
