//! Faults that affect usage reports: faults of the platform and of links to it, steps of wall clocks, the loss of the
//! machine that called the platform last, and a higher fence that the platform has received from elsewhere.

use std::time::Duration;

use linenthread_time::Instant;

use super::super::event::{Event, NodeIndex};
use super::super::fault::FaultKind;
use super::super::platform::Behaviour;
use super::super::time_of_day::draw_step_ms;
use super::super::world::World;
use super::{LONG_PAUSE_RANGE_MS, PAUSE_RANGE_MS};

/// Minimum time between two of these faults.
const MIN_GAP: Duration = Duration::from_millis(1_000);
/// Minimum duration of a platform fault and of a clock step.
const MIN_DURATION: Duration = Duration::from_millis(500);
/// Exclusive upper bound of the random part of these durations, in milliseconds.
const DURATION_RANGE_MS: u64 = 12_000;
/// Ways in which the platform can be down.
const DOWN_BEHAVIOURS: [Behaviour; 3] = [Behaviour::Silent, Behaviour::Busy, Behaviour::Reset];

/// A fault that can be injected.
#[derive(Clone, Copy)]
enum Fault {
    LastCallerLost,
    PlatformDown,
    PlatformSlow,
    PlatformCut,
    ClockStep,
    FenceRaised,
}

/// Faults to draw from; repeated ones are drawn more often.
const FAULTS: [Fault; 9] = [
    Fault::LastCallerLost,
    Fault::LastCallerLost,
    Fault::PlatformDown,
    Fault::PlatformDown,
    Fault::PlatformSlow,
    Fault::PlatformCut,
    Fault::ClockStep,
    Fault::ClockStep,
    Fault::FenceRaised,
];

impl World {
    /// Injects a fault that affects usage reports, independently of the other faults, and schedules the next one.
    pub(in super::super) fn inject_usage_fault(&mut self) {
        if self.is_healed() {
            return;
        }
        let gap = MIN_GAP + self.usage.random.millis_below(self.plan.fault_gap_ms);
        self.push_in(gap, Event::InjectUsageFault);
        let until = self.now() + MIN_DURATION + self.usage.random.millis_below(DURATION_RANGE_MS);
        match FAULTS[self.usage.random.index(FAULTS.len())] {
            Fault::LastCallerLost if self.plan.only_replacements => {}
            Fault::LastCallerLost => {
                if let Some(node) = self.last_caller() {
                    self.lose_caller(node);
                }
            }
            Fault::PlatformDown => {
                let behaviour = DOWN_BEHAVIOURS[self.usage.random.index(DOWN_BEHAVIOURS.len())];
                self.inject_platform_fault(behaviour, until, FaultKind::PlatformDown);
            }
            Fault::PlatformSlow => {
                self.inject_platform_fault(Behaviour::Slow, until, FaultKind::PlatformSlow);
            }
            Fault::PlatformCut => self.cut_platform_link(until),
            Fault::ClockStep => self.step_clocks(),
            Fault::FenceRaised => self.raise_fence(),
        }
    }

    /// Counts a fault that affects only usage reports.
    fn count_usage_fault(&mut self, kind: FaultKind) {
        self.record_usage_fault();
        self.usage.faults += 1;
        self.report.count_fault(self.queue.now(), kind);
    }

    fn inject_platform_fault(&mut self, behaviour: Behaviour, until: Instant, kind: FaultKind) {
        self.count_usage_fault(kind);
        self.usage.platform.set_behaviour(behaviour, until);
    }

    /// Cuts the link from the last caller's machine to the platform, or that of a random machine if there was no call
    /// yet.
    fn cut_platform_link(&mut self, until: Instant) {
        self.count_usage_fault(FaultKind::PlatformCut);
        let any = self.usage.random.index(self.machines.len());
        let node = self.last_caller().unwrap_or(any);
        self.usage.platform.cut_link(node, until);
    }

    fn last_caller(&self) -> Option<usize> {
        match self.usage.platform.last_caller()?.node {
            NodeIndex::Control(node) => Some(node),
            NodeIndex::Ingress(_) => None,
        }
    }

    /// Steps the wall clocks of fewer than half of the machines by some seconds for a while.
    pub(in super::super) fn step_clocks(&mut self) {
        let now = self.now();
        let until = now + MIN_DURATION + self.usage.random.millis_below(DURATION_RANGE_MS);
        let has_stepped = self
            .machines
            .iter()
            .any(|machine| machine.time_of_day.is_stepped(now));
        if has_stepped || self.max_lost == 0 {
            return;
        }
        // Not counted as a fault for usage reports: windows must not follow the clocks of fewer than half of the
        // machines.
        self.report
            .count_fault(self.queue.now(), FaultKind::ClockStep);
        let mut nodes: Vec<usize> = (0..self.machines.len())
            .filter(|node| !self.machines[*node].decommissioned)
            .collect();
        self.usage.random.shuffle(&mut nodes);
        nodes.truncate(1 + self.usage.random.index(self.max_lost));
        let step_ms = draw_step_ms(&mut self.usage.random);
        for node in nodes {
            self.machines[node].time_of_day.step(step_ms, until);
            self.trace(&format!("the clock of {node} steps by {step_ms} ms"));
        }
    }

    /// Makes the platform refuse the process that reports usage: it has received a higher fence from elsewhere.
    fn raise_fence(&mut self) {
        self.count_usage_fault(FaultKind::FenceRaised);
        let highest = self.usage.platform.highest_fence();
        self.usage.platform.raise_fence(highest);
    }

    /// Begins a planned restart of a machine that has taken over usage reporting.
    pub(in super::super) fn restart_successor(&mut self, node: usize) {
        if !self.is_healed() && !self.machines[node].decommissioned {
            self.restart_planned(node);
        }
    }

    /// Crashes, pauses or partitions off a machine that calls the platform.
    pub(in super::super) fn lose_caller(&mut self, node: usize) {
        if self.is_healed() || self.machines[node].decommissioned {
            return;
        }
        match self.usage.random.below(5) {
            0 | 1 => self.crash_one(node),
            2 => self.pause(node, PAUSE_RANGE_MS, FaultKind::Pause),
            3 => self.pause(node, LONG_PAUSE_RANGE_MS, FaultKind::LongPause),
            _ => self.partition_node(node),
        }
    }
}
