//! The reports that arrive at the leader.

use linenthread_zones::{Demand, Report, RouteStats, ZonePair};

use super::world::World;
use crate::number;
use crate::random;

impl World {
    /// Returns the sum of the reports that arrive: one in ten is lost, and all of a lost zone are.
    pub(super) fn collect_reports(&mut self) -> Report {
        let mut sum = Report::default();
        for coordinator in &mut self.coordinators {
            let report = coordinator.observer.report(&self.topology.replicas);
            let is_isolated_zone = self.fault_is_active && self.fault.isolates(coordinator.zone);
            if !is_isolated_zone && self.rng.rand_range(0..10) > 0 {
                sum.add(&report);
            }
        }
        sum
    }

    /// Returns a report with random content.
    pub(super) fn hostile_report(&mut self) -> Report {
        let mut report = Report::default();
        let zones = self.topology.zones.len();
        let rng = &mut self.rng;
        for _ in 0..rng.rand_range(0..12) {
            let route = ZonePair {
                from: number::zone_index(random::index(rng, zones)),
                to: number::zone_index(random::index(rng, zones)),
            };
            let observers = random::within(rng, 0..9);
            let completed = random::within(rng, 0..1_000);
            let stats = RouteStats {
                observers,
                down: observers * random::within::<u32>(rng, 0..2),
                slow: observers * random::within::<u32>(rng, 0..2),
                completed,
                succeeded: random::within(rng, 0..u64::from(completed) + 1),
                latency_sum_ms: rng.rand_range(0..100_000),
            };
            report.routes.insert(route, stats);
            let demand = Demand {
                observers: 3,
                sub_requests: random::within(rng, 0..5_000),
            };
            report.demand.insert(route.from, demand);
        }
        Report::decode(&report.encode()).expect("an encoded report can be decoded")
    }
}
