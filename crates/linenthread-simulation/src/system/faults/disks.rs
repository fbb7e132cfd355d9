//! Faults of disks: lost, slow and full disks.

use std::time::Duration;

use super::super::event::Event;
use super::super::fault::FaultKind;
use super::super::loss_budget::CATCH_UP_TIME;
use super::super::world::World;

/// Durations of a sync on a slow disk, in milliseconds; one is drawn.
const SLOW_SYNCS_MS: [u64; 3] = [120, 900, 4_000];

impl World {
    pub(super) fn lose_one_disk(&mut self, node: usize) {
        if !self.is_up(node) || !self.may_lose_one() {
            return;
        }
        self.count_fault(FaultKind::DiskLost);
        let restart_in = Duration::from_millis(200) + self.random.millis_below(2_000);
        self.draw_bootstrap_change(node);
        self.lose_disk(node, restart_in);
        self.draw_second_loss(self.now() + restart_in + CATCH_UP_TIME);
    }

    pub(super) fn slow_disk(&mut self, node: usize) {
        self.count_fault(FaultKind::DiskSlow);
        let ends = self.now() + Duration::from_millis(500) + self.random.millis_below(6_000);
        let sync_ms = SLOW_SYNCS_MS[self.random.index(SLOW_SYNCS_MS.len())];
        let sync_duration = Duration::from_millis(sync_ms);
        self.machines[node].disk.sync_duration = sync_duration;
        self.mark_lost(node, ends + sync_duration);
        self.queue.push_at(ends, Event::RepairDisk { node });
    }

    pub(super) fn fill_disk(&mut self, node: usize) {
        self.count_fault(FaultKind::DiskFull);
        let ends = self.now() + Duration::from_millis(500) + self.random.millis_below(8_000);
        self.machines[node].disk.set_full(true);
        self.mark_lost(node, ends);
        self.queue.push_at(ends, Event::RepairDisk { node });
    }
}
