//! What arrives at the leader of the coordinators' reports.

use linenthread_zones::{Demand, Report, RouteStats};

use super::world::World;

impl World {
    /// What arrives of all coordinators' reports: some are lost on the way, those of a lost zone all.
    pub(super) fn collect_reports(&mut self) -> Report {
        let mut sum = Report::default();
        for coordinator in &mut self.coordinators {
            let report = coordinator.observer.report(&self.topology.replicas);
            let is_cut_off = self.fault_is_active && self.fault.cuts_off(coordinator.zone);
            if !is_cut_off && self.rng.rand_range(0..10) > 0 {
                sum.add(&report);
            }
        }
        sum
    }

    /// A report of any content.
    pub(super) fn hostile_report(&mut self) -> Report {
        let mut report = Report::default();
        let count = self.topology.zones.len() as u64;
        for _ in 0..self.rng.rand_range(0..12) {
            let zones = (
                self.rng.rand_range(0..count) as u8,
                self.rng.rand_range(0..count) as u8,
            );
            let observers = self.rng.rand_range(0..9) as u32;
            let completed = self.rng.rand_range(0..1_000) as u32;
            let stats = RouteStats {
                observers,
                down: (self.rng.rand_range(0..2) as u32) * observers,
                slow: (self.rng.rand_range(0..2) as u32) * observers,
                completed,
                succeeded: self.rng.rand_range(0..u64::from(completed) + 1) as u32,
                latency_sum_ms: self.rng.rand_range(0..100_000),
            };
            report.routes.insert(zones, stats);
            let demand = Demand {
                observers: 3,
                sub_requests: self.rng.rand_range(0..5_000) as u32,
            };
            report.demand.insert(zones.0, demand);
        }
        Report::decode(&report.encode()).expect("a report of ours")
    }
}
