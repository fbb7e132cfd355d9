//! Random faults, counted by kind. Losses of disks stay within the loss budget.

mod crashes;
mod disks;
mod partitions;
mod platform;
mod replacements;
mod second_losses;

use std::time::Duration;

use super::event::Event;
use super::fault::FaultKind;
use super::machine::ProcessEnd;
use super::world::World;

/// Minimum time between two faults.
const MIN_GAP: Duration = Duration::from_millis(300);
/// Exclusive upper bound of the random part of an ordinary pause, in milliseconds.
const PAUSE_RANGE_MS: u64 = 7_300;
/// The same for a long pause, which can outlast every lease and timeout.
const LONG_PAUSE_RANGE_MS: u64 = 25_000;

/// A fault that can be injected.
#[derive(Clone, Copy)]
enum Fault {
    Crash,
    DiskLost,
    UnplannedReplacement,
    PlannedReplacement,
    PlannedRestart,
    RollingRestart,
    AllKilled,
    AllLosePower,
    Partition,
    PartialPartition,
    LongPartition,
    Split,
    IngressPartition,
    Pause,
    LongPause,
    SlowDisk,
    FullDisk,
    IngressRestart,
}

/// Faults and their weights in an ordinary schedule.
const FAULTS: [(Fault, u64); 18] = [
    (Fault::Crash, 4),
    (Fault::DiskLost, 4),
    (Fault::UnplannedReplacement, 3),
    (Fault::PlannedReplacement, 3),
    (Fault::PlannedRestart, 3),
    (Fault::RollingRestart, 1),
    (Fault::AllKilled, 1),
    (Fault::AllLosePower, 1),
    (Fault::Partition, 2),
    (Fault::PartialPartition, 3),
    (Fault::LongPartition, 1),
    (Fault::Split, 2),
    (Fault::IngressPartition, 2),
    (Fault::Pause, 2),
    (Fault::LongPause, 1),
    (Fault::SlowDisk, 2),
    (Fault::FullDisk, 2),
    (Fault::IngressRestart, 2),
];

/// Faults and their weights in a schedule of replacements; they leave room for replacements in the loss budget.
const REPLACEMENT_FAULTS: [(Fault, u64); 8] = [
    (Fault::DiskLost, 4),
    (Fault::UnplannedReplacement, 4),
    (Fault::PlannedReplacement, 6),
    (Fault::PlannedRestart, 2),
    (Fault::RollingRestart, 1),
    (Fault::AllLosePower, 1),
    (Fault::PartialPartition, 1),
    (Fault::IngressRestart, 1),
];

impl World {
    fn draw_fault(&mut self) -> Fault {
        let faults: &[(Fault, u64)] = if self.plan.only_replacements {
            &REPLACEMENT_FAULTS
        } else {
            &FAULTS
        };
        let weights = faults.iter().map(|(_, weight)| weight).sum();
        let mut position = self.random.below(weights);
        for (fault, weight) in faults {
            if position < *weight {
                return *fault;
            }
            position -= weight;
        }
        Fault::Crash
    }

    /// Injects a fault at a random machine, and schedules the next fault.
    pub(super) fn inject_fault(&mut self) {
        if self.is_healed() {
            return;
        }
        let gap = MIN_GAP + self.random.millis_below(self.plan.fault_gap_ms);
        self.push_in(gap, Event::InjectFault);
        let fault = self.draw_fault();
        let node = self.random_machine();
        if self.machines[node].decommissioned {
            return;
        }
        self.trace(&format!("fault at {node}"));
        match fault {
            Fault::Crash => self.crash_one(node),
            Fault::DiskLost => self.lose_one_disk(node),
            Fault::UnplannedReplacement => self.replace_unplanned(node),
            Fault::PlannedReplacement => self.replace_planned(node),
            Fault::PlannedRestart => self.restart_planned(node),
            Fault::RollingRestart => self.begin_rolling_restart(),
            Fault::AllKilled => self.end_all(ProcessEnd::Killed, FaultKind::AllProcessesKilled),
            Fault::AllLosePower => {
                self.end_all(ProcessEnd::PowerLost, FaultKind::AllMachinesLosePower);
            }
            Fault::Partition => self.partition_node(node),
            Fault::PartialPartition => self.partition_partly(node),
            Fault::LongPartition => self.partition_long(node),
            Fault::Split => self.split_in_halves(),
            Fault::IngressPartition => self.partition_ingress(node),
            Fault::Pause => self.pause(node, PAUSE_RANGE_MS, FaultKind::Pause),
            Fault::LongPause => self.pause(node, LONG_PAUSE_RANGE_MS, FaultKind::LongPause),
            Fault::SlowDisk => self.slow_disk(node),
            Fault::FullDisk => self.fill_disk(node),
            Fault::IngressRestart => self.restart_ingress(),
        }
    }
}
