//! A schedule from start to end, step by step.

use linenthread_core::interface::TenthMillis;

use super::fault::Fault;
use super::invariant::Invariant;
use super::world::{MAX_VIOLATIONS, World};
use super::{Outcome, SECOND, STEP};
use crate::failover_config::failover_config;
use crate::random;

/// The mean number of steps between changes of the leader.
const LEADER_CHANGE_STEPS: u64 = 60;
/// The number of steps before the fault.
const HEALTHY_STEPS: usize = 40;
/// The time within which a fault must be handled.
const MAX_REACTION_TIME: TenthMillis = 8 * SECOND;

impl World {
    /// Runs the schedule and returns its outcome.
    pub(super) fn run(mut self) -> Outcome {
        for _ in 0..HEALTHY_STEPS {
            self.step();
        }
        if self.tables > 0 && self.fault != Fault::HostileReports {
            self.record_violation(
                Invariant::LocalWhileHealthy,
                "a table before anything is wrong",
            );
        }
        let drain_accepted = self.run_fault();
        let must_be_handled = self.must_be_handled(drain_accepted);
        let is_late = |after: TenthMillis| after > MAX_REACTION_TIME;
        if must_be_handled && self.handled_after.is_none_or(is_late) {
            let after = self.handled_after;
            self.record_violation(
                Invariant::HandledInTime,
                &format!("handled after {after:?}"),
            );
        }
        self.run_recovery();
        self.check_openings();
        Outcome {
            violations: self.violations,
            handled_after: self.handled_after.filter(|_| must_be_handled),
        }
    }

    /// Runs the schedule while the fault is active. Returns false if the fault is a drain that was rejected.
    fn run_fault(&mut self) -> bool {
        self.fault_is_active = true;
        let started_at = self.now;
        let mut drain_accepted = true;
        if let Fault::Drain(zone) = self.fault {
            // The drain is rejected if some shards are placed only in this zone.
            let name = format!("z{zone}");
            drain_accepted = self.topology.check_drain(&name, &self.drained).is_ok();
            self.drained.extend(drain_accepted.then_some(name));
        }
        let steps = 40 + random::index(&mut self.rng, 120);
        for _ in 0..steps {
            self.step();
            if self.handled_after.is_none() && self.is_handled() {
                self.handled_after = Some(self.now - started_at);
            }
            if self.violations.len() > MAX_VIOLATIONS {
                break;
            }
        }
        drain_accepted
    }

    /// Runs the schedule after the fault. All routes must be open again after the longest ejection and all return
    /// steps, with twice that time plus 20 s allowed because of noise.
    fn run_recovery(&mut self) {
        self.fault_is_active = false;
        self.drained.clear();
        if self.fault == Fault::HostileReports || !self.violations.is_empty() {
            return;
        }
        let config = failover_config();
        let recovery = 2 * (config.max_ejection_time + 6 * config.return_step) + 20 * SECOND;
        let end = self.now + recovery;
        while self.now < end && !self.all_routes_open() {
            self.step();
        }
        if !self.all_routes_open() {
            let rows = self.table.as_ref().map(|table| table.rows.clone());
            self.record_violation(
                Invariant::Recovers,
                &format!("not all open again: {rows:?}"),
            );
        }
    }

    /// Advances time by one step: tables arrive, requests are sent, reports are collected, and the leader decides.
    fn step(&mut self) {
        self.now += STEP;
        self.deliver_tables();
        self.run_traffic();
        let mut report = self.collect_reports();
        if self.fault == Fault::HostileReports {
            report.add(&self.hostile_report());
        }
        self.controller.add_report(&report);
        if self.rng.rand_range(0..LEADER_CHANGE_STEPS) == 0 {
            self.change_leader();
        }
        self.controller.set_drained(&self.drained, self.now);
        if let Some(table) = self.controller.decide(self.now, 0, &self.topology) {
            self.on_new_table(&table);
        }
    }
}
