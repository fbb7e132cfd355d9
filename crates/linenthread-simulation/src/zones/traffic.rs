//! The traffic between zones, as coordinators observe it.

use linenthread_core::interface::AttemptOutcome;
use linenthread_zones::loads;

use super::STEP_SECONDS;
use super::world::World;
use crate::number;
use crate::random;

/// The factor by which a slow zone is slower than usual.
const SLOWDOWN: f64 = 6.0;
/// The ratio of the demand in a burst to the usual demand.
const BURST_FACTOR: f64 = 1.3;
/// The mean number of steps between bursts.
const STEPS_PER_BURST: u64 = 20;
/// The share of requests that fail without any fault.
const BASE_FAILURE_RATE: f64 = 0.05;
/// The utilization above which queueing doesn't increase further.
const MAX_QUEUED_UTILIZATION: f64 = 0.9;
/// The maximum number of outcomes that a coordinator observes on a route in a step.
const MAX_OUTCOMES: u32 = 400;
/// The mean above which a Poisson distribution is approximated by a normal distribution.
const MAX_EXACT_MEAN: f64 = 30.0;
/// The upper bound of a number drawn exactly from a Poisson distribution.
const MAX_POISSON: u32 = 200;
/// The distance between the first replica numbers of consecutive zones.
const REPLICAS_PER_ZONE: usize = 100;
const TENTHS_PER_MS: f64 = 10.0;

impl World {
    /// Draws a number from a Poisson distribution.
    fn poisson(&mut self, mean: f64) -> u32 {
        if mean > MAX_EXACT_MEAN {
            let normal: f64 = (0..12).map(|_| self.rng.rand_float()).sum::<f64>() - 6.0;
            return number::truncate_to_u32(mean + normal * mean.sqrt());
        }
        let (mut number, limit) = (0, (-mean).exp());
        let mut product = self.rng.rand_float();
        while product > limit && number < MAX_POISSON {
            product *= self.rng.rand_float();
            number += 1;
        }
        number
    }

    /// Simulates the traffic of one step and feeds the observations to all coordinators.
    pub(super) fn run_traffic(&mut self) {
        let zones = self.topology.zones.len();
        let coordinators_per_zone = number::to_f64(self.coordinators.len() / zones);
        let burst = if self.rng.rand_range(0..STEPS_PER_BURST) == 0 {
            BURST_FACTOR
        } else {
            1.0
        };
        // The true load of each zone: each coordinator routes by the table that it has.
        let mut load = vec![0.0; zones];
        let mut flows = Vec::new();
        for coordinator in &self.coordinators {
            let zone = coordinator.zone;
            let mut demand = vec![0.0; zones];
            demand[zone] = self.demand[zone] / coordinators_per_zone * burst;
            let flow = loads(&self.topology, &demand, &coordinator.table.rows);
            let flow = flow.from_clients(zone).to_vec();
            for (load, flow) in load.iter_mut().zip(&flow) {
                *load += flow;
            }
            flows.push(flow);
        }
        for (index, flow) in flows.iter().enumerate() {
            let demand = self.demand[self.coordinators[index].zone];
            let mean = demand / coordinators_per_zone * STEP_SECONDS * burst;
            let sub_requests = self.poisson(mean);
            self.coordinators[index]
                .observer
                .on_query(number::to_usize(sub_requests.into()));
            for to in 0..zones {
                self.observe(index, to, flow[to], load[to]);
            }
        }
    }

    /// Draws the outcomes of a coordinator's requests to a zone: `flow` requests per second, of the total `load` on the
    /// zone.
    fn observe(&mut self, coordinator: usize, to: usize, flow: f64, load: f64) {
        let completed = self.poisson(flow * STEP_SECONDS).min(MAX_OUTCOMES);
        let slowdown = if self.fault_is_active && self.fault.is_slow(to) {
            SLOWDOWN
        } else {
            1.0
        };
        let utilization = load / (self.capacity[to] / slowdown);
        // The requests that exceed the zone's capacity fail, too.
        let failures = if self.is_broken(coordinator, to) {
            1.0
        } else {
            BASE_FAILURE_RATE + (1.0 - 1.0 / utilization.max(1.0))
        };
        let queueing = 1.0 / (1.0 - utilization.min(MAX_QUEUED_UTILIZATION));
        let latency_ms = self.service_ms * queueing * slowdown;
        for _ in 0..completed {
            let outcome = if self.rng.rand_float() < failures {
                [AttemptOutcome::ConnectionLost, AttemptOutcome::TimedOut]
                    [random::index(&mut self.rng, 2)]
            } else {
                AttemptOutcome::Success
            };
            let elapsed = latency_ms * (0.5 + self.rng.rand_float()) * TENTHS_PER_MS;
            let replicas = self.topology.replicas[to].into();
            let replica =
                REPLICAS_PER_ZONE * to + random::within::<usize>(&mut self.rng, 0..replicas);
            self.coordinators[coordinator].observer.on_outcome(
                number::zone_index(to),
                replica,
                outcome,
                number::time_from_f64(elapsed),
            );
        }
    }
}
