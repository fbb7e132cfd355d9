//! The failover decisions for the whole fleet, which its leader makes once per interval.
//!
//! | state of a zone | routes to it | next state and its condition |
//! | --- | --- | --- |
//! | healthy | open | ejected, if majorities find it down in two consecutive evaluations; slow, if they find it slow in as many |
//! | slow | open as far as its capacity at its current latency allows | ejected, as above; healthy, if it is not found slow again for the duration of a first ejection |
//! | ejected | closed | returning, after the ejection time; that doubles with each recent ejection, up to a maximum |
//! | returning | open to 5, 15, then 40 % of keys, each for the duration of a step, or until no earlier failures count against it | healthy, after the last step; ejected, if found down and sub-requests failed in the interval |
//! | drained | closed | returning, when the operator ends the drain |
//!
//! A pair of zones is partitioned if the remote zone is serving but a majority of the local coordinators find it down;
//! the route between the two then goes through the same states on its own. So an observer that is itself cut off is
//! outvoted in its own zone, and a zone that only one other zone cannot reach is not ejected for all.
//!
//! Modules in the order in which [`FailoverController::decide`] uses them: `measurements`, `evidence`, the states in
//! [`crate::health`], `routes`, and `adoption`; `restoration` sets the initial state of a new leader.

mod adoption;
mod evidence;
mod measurements;
mod restoration;
mod routes;

use std::collections::{BTreeMap, BTreeSet};

use linenthread_core::interface::TenthMillis;

use crate::MAX_ZONES;
use crate::config::{ConfigError, FailoverConfig};
use crate::health::{Finding, Health, State};
use crate::report::Report;
use crate::table::{RoutingTable, Row};
use crate::topology::{Topology, Zone};
use crate::zone_index::{ZoneIndex, ZonePair};
use adoption::OpeningBudget;
use evidence::{Evidence, Opinion};
use measurements::Measurements;

/// The interval for which evidence is collected before it is evaluated.
pub const EVALUATION_INTERVAL: TenthMillis = 10_000;
const TENTHS_PER_SECOND: f64 = 10_000.0;

/// Makes the routing table for the whole fleet from its coordinators' reports; used by the fleet's leader.
#[derive(Clone, Debug)]
pub struct FailoverController {
    config: FailoverConfig,
    zone_names: Vec<String>,
    /// The health of each zone.
    health: Vec<Health>,
    /// The health of routes between pairs of zones that are, or recently were, partitioned.
    pairs: BTreeMap<ZonePair, Health>,
    /// The sum of the reports of the current interval.
    report: Report,
    interval_started_at: TenthMillis,
    measurements: Measurements,
    /// The rows of the current table.
    rows: Vec<Row>,
    budget: OpeningBudget,
}

impl FailoverController {
    /// Creates the controller of a new leader from the last table of the former one. Zones and pairs that were ejected
    /// there are ejected for a first ejection from now on; returns continue from their step.
    ///
    /// # Errors
    /// The configuration is invalid.
    pub fn new(
        config: FailoverConfig,
        zones: Vec<Zone>,
        former: Option<&RoutingTable>,
        now: TenthMillis,
    ) -> Result<FailoverController, ConfigError> {
        config.validate()?;
        let zones = zones.into_iter().take(MAX_ZONES);
        let zone_names: Vec<String> = zones.map(|zone| zone.name).collect();
        let count = zone_names.len();
        let is_usable =
            |table: &&RoutingTable| table.zones == zone_names && table.rows.len() == count;
        let rows = match former.filter(is_usable) {
            Some(table) => table.rows.clone(),
            None => RoutingTable::open(zone_names.clone()).rows,
        };
        let mut controller = FailoverController {
            config,
            zone_names,
            health: vec![Health::new(State::Healthy, now); count],
            pairs: BTreeMap::new(),
            report: Report::default(),
            interval_started_at: now,
            measurements: Measurements::new(count),
            rows,
            budget: OpeningBudget::new(now),
        };
        controller.restore_health(now);
        Ok(controller)
    }

    fn zones(&self) -> impl Iterator<Item = ZoneIndex> {
        ZoneIndex::all(self.zone_names.len())
    }

    /// Adds a report to the current interval.
    pub fn add_report(&mut self, report: &Report) {
        self.report.add(report);
    }

    /// Returns the end of the current interval, when [`FailoverController::decide`] should next be called.
    pub fn wake_at(&self) -> TenthMillis {
        self.interval_started_at + EVALUATION_INTERVAL
    }

    /// Returns the current routes, by zone of clients.
    pub fn rows(&self) -> &[Row] {
        &self.rows
    }

    /// Sets the zones that operators have drained; the return of those no longer among them begins.
    pub fn set_drained(&mut self, drained: &BTreeSet<String>, now: TenthMillis) {
        for (name, health) in self.zone_names.iter().zip(&mut self.health) {
            if drained.contains(name) {
                health.drain();
            } else if health.end_drain(now, &self.config) {
                self.budget.allow_ordered_return();
            }
        }
    }

    /// Evaluates the interval if it is over, and returns the table to replicate if the routes have changed.
    pub fn decide(
        &mut self,
        now: TenthMillis,
        valid_from_ms: u64,
        topology: &Topology,
    ) -> Option<RoutingTable> {
        if now < self.wake_at() || topology.zones.len() != self.zone_names.len() {
            return None;
        }
        let report = std::mem::take(&mut self.report);
        let seconds = (now - self.interval_started_at) as f64 / TENTHS_PER_SECOND;
        self.interval_started_at = now;
        self.measurements.update(&report, seconds);
        self.evaluate(&report, now);
        let rows = self.routes(topology);
        self.adopt(rows, now).then(|| self.table(valid_from_ms))
    }

    /// Returns the current routes as a table.
    pub fn table(&self, valid_from_ms: u64) -> RoutingTable {
        RoutingTable {
            valid_from_ms,
            zones: self.zone_names.clone(),
            rows: self.rows.clone(),
        }
    }

    /// Updates the health of each zone and of each pair of zones.
    fn evaluate(&mut self, report: &Report, now: TenthMillis) {
        let count = self.zone_names.len();
        let evidence = Evidence::new(report, count);
        for to in ZoneIndex::all(count) {
            let votes = evidence.votes(to);
            let is_down = evidence.is_down(to, votes);
            let health = &mut self.health[to.position()];
            let finding = Finding::new(is_down, evidence.has_failures_to(to));
            health.evaluate(now, finding, &self.config);
            health.evaluate_latency(now, evidence.is_slow(to), &self.config);
            let is_serving = health.state.is_serving() && !is_down;
            for from in ZoneIndex::all(count) {
                let pair = ZonePair { from, to };
                // A zone counts as partitioned from itself only if other zones outvote its own coordinators.
                let may_be_partitioned = from != to || votes.reachable > votes.down;
                let is_partitioned =
                    is_serving && may_be_partitioned && evidence.opinion(pair) == Opinion::Down;
                let finding = Finding::new(is_partitioned, evidence.has_failures(pair));
                self.evaluate_pair(pair, finding, now);
            }
        }
    }

    fn evaluate_pair(&mut self, pair: ZonePair, finding: Finding, now: TenthMillis) {
        if !finding.is_down() && !self.pairs.contains_key(&pair) {
            return;
        }
        let healthy = Health::new(State::Healthy, now);
        let health = self.pairs.entry(pair).or_insert(healthy);
        health.evaluate(now, finding, &self.config);
        if health.is_fully_recovered() {
            self.pairs.remove(&pair);
        }
    }
}
