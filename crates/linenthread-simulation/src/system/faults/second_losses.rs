//! Losses right after another loss or an acknowledgement, when few disks hold what was acknowledged.

use std::time::Duration;

use linenthread_time::Instant;

use super::super::event::Event;
use super::super::fault::FaultKind;
use super::super::ingress_node::INGRESS_NODES;
use super::super::machine::ProcessEnd;
use super::super::world::World;

/// Exclusive upper bound of the delay of a second loss, in milliseconds.
const SECOND_LOSS_RANGE_MS: u64 = 3_000;

impl World {
    /// Schedules a second loss soon after `from`, with probability 1/2.
    pub(super) fn draw_second_loss(&mut self, from: Instant) {
        if self.random.one_in(2) {
            let at = from + self.random.millis_below(SECOND_LOSS_RANGE_MS);
            self.queue.push_at(at, Event::SecondLoss);
        }
    }

    /// Injects a loss right after a change of the voters: the loss of a disk within the budget, a power loss of all
    /// other machines or both, or a crash.
    pub(in super::super) fn inject_second_loss(&mut self) {
        let node = self.random_machine();
        if self.is_healed() || !self.is_up(node) {
            return;
        }
        let choice = self.random.below(4);
        if choice < 3 && self.may_lose_one() {
            self.count_fault(FaultKind::SecondDiskLost);
            let restart_in = Duration::from_millis(200) + self.random.millis_below(1_000);
            self.lose_disk(node, restart_in);
        }
        match choice {
            0 => self.end_all(ProcessEnd::PowerLost, FaultKind::AllOthersLosePower),
            3 => self.crash_one(node),
            _ => {}
        }
    }

    /// Injects the closing loss, soon after a change was sent: as many disks as the budget still permits are lost,
    /// those first that have lasted longest, and at the same time all other machines lose power and all ingress nodes
    /// restart. Returns false without a loss if [`World::all_vote`] does not hold.
    pub(in super::super) fn inject_closing_loss(&mut self) -> bool {
        if !self.all_vote() {
            return false;
        }
        self.count_fault(FaultKind::ClosingLoss);
        let mut by_disk_age: Vec<usize> = (0..self.machines.len())
            .filter(|node| self.is_up(*node))
            .collect();
        by_disk_age.sort_by_key(|node| self.machines[*node].erased_until);
        for node in by_disk_age {
            if self.may_lose_one() {
                let restart_in = Duration::from_millis(100) + self.random.millis_below(800);
                self.lose_disk(node, restart_in);
            }
        }
        self.end_all(ProcessEnd::PowerLost, FaultKind::AllMachinesLosePower);
        for _ in 0..INGRESS_NODES {
            self.restart_ingress();
        }
        true
    }

    /// Loses a disk right after an acknowledgement; another machine may lose power as well, or all of them.
    pub(in super::super) fn inject_loss_after_acknowledgement(&mut self, node: usize) {
        let may_lose = self.down_or_erased() < self.max_lost;
        if self.is_healed() || !self.is_up(node) || !may_lose || !self.all_vote() {
            return;
        }
        let others: Vec<usize> = (0..self.machines.len())
            .filter(|other| *other != node && self.is_up(*other))
            .collect();
        if others.is_empty() {
            return;
        }
        self.count_fault(FaultKind::DiskLostAfterAcknowledgement);
        let lost = if self.random.one_in(2) {
            node
        } else {
            others[self.random.index(others.len())]
        };
        let restart_in = Duration::from_millis(20) + self.random.millis_below(600);
        self.lose_disk(lost, restart_in);
        let second = others[self.random.index(others.len())];
        match self.random.below(4) {
            0 => self.end_all(
                ProcessEnd::PowerLost,
                FaultKind::AllMachinesLosePowerAfterAcknowledgement,
            ),
            1 if second != lost => {
                let restart_in = Duration::from_millis(500) + self.random.millis_below(3_000);
                self.end_process(second, ProcessEnd::PowerLost, Some(restart_in));
            }
            _ => {}
        }
    }

    /// Ends all processes after a drain was acknowledged, or loses a disk.
    pub(in super::super) fn inject_loss_after_drain(&mut self, node: usize) {
        if self.is_healed() {
            return;
        }
        match self.random.below(4) {
            0 | 1 => self.end_all(
                ProcessEnd::Killed,
                FaultKind::AllProcessesKilledAfterAcknowledgement,
            ),
            2 => self.end_all(
                ProcessEnd::PowerLost,
                FaultKind::AllMachinesLosePowerAfterAcknowledgement,
            ),
            _ => self.inject_loss_after_acknowledgement(node),
        }
    }
}
