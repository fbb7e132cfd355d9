//! The decisions for the whole fleet, made by its leader once per interval.
//!
//! | a zone is | effect on the routes there | next state when |
//! | --- | --- | --- |
//! | healthy | open | a majority of those who see it finds it down in two consecutive evaluations: ejected. It finds it slow: slow |
//! | slow | open as far as its capacity at its present latency goes | it is not found slow for the first ejection time: healthy |
//! | ejected | closed | its ejection time has passed: returning. That is twice the one before, up to a maximum |
//! | returning | open to 5, 15, 40 keys of a hundred, for the time of a step each | all steps are done: healthy. Found down: ejected |
//! | drained | closed by an operator | the operator ends it: returning |
//!
//! A pair of zones is partitioned while the remote one is not ejected and a majority in the local one finds it down:
//! the route between them goes through the same states by itself. So an observer that is itself cut off is outvoted in
//! its own zone, and a zone that only one other cannot reach is not ejected for all.
//!
//! Where to read what, in the order of [`FailoverController::decide`]: `measurements`, `evidence`, the states in
//! [`crate::health`], `routes`, and `adoption`; `restoration` is what a new leader begins with.

mod adoption;
mod evidence;
mod measurements;
mod restoration;
mod routes;

use std::collections::{BTreeMap, BTreeSet};

use linenthread_core::interface::TenthMillis;

use crate::MAX_ZONES;
use crate::config::{ConfigError, FailoverConfig};
use crate::health::{Health, State};
use crate::report::Report;
use crate::table::{RoutingTable, Row};
use crate::topology::{Topology, Zone};
use crate::zone_index::{ZoneIndex, ZonePair};
use adoption::OpeningBudget;
use evidence::{Evidence, Opinion};
use measurements::Measurements;

/// Evidence is collected for so long before it is evaluated.
pub const EVALUATION_INTERVAL: TenthMillis = 10_000;
const TENTHS_PER_SECOND: f64 = 10_000.0;

/// Decides for the whole fleet.
#[derive(Clone, Debug)]
pub struct FailoverController {
    config: FailoverConfig,
    zone_names: Vec<String>,
    /// By zone.
    health: Vec<Health>,
    /// Routes between pairs of zones that are, or were lately, partitioned.
    pairs: BTreeMap<ZonePair, Health>,
    /// What was reported in this interval.
    report: Report,
    interval_started_at: TenthMillis,
    measurements: Measurements,
    /// The current table's.
    rows: Vec<Row>,
    budget: OpeningBudget,
}

impl FailoverController {
    /// Takes over from a former leader: what its last table had ejected is ejected for the first ejection time from
    /// now on, and what was returning goes on from its step.
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

    /// Adds what others observed.
    pub fn add_report(&mut self, report: &Report) {
        self.report.add(report);
    }

    /// When [`FailoverController::decide`] has something to evaluate.
    pub fn wake_at(&self) -> TenthMillis {
        self.interval_started_at + EVALUATION_INTERVAL
    }

    /// The current routes, by zone of clients.
    pub fn rows(&self) -> &[Row] {
        &self.rows
    }

    /// Sets which zones operators drain; those that are no longer named return.
    pub fn set_drained(&mut self, drained: &BTreeSet<String>, now: TenthMillis) {
        for (name, health) in self.zone_names.iter().zip(&mut self.health) {
            if drained.contains(name) {
                health.drain();
            } else if health.end_drain(now, &self.config) {
                self.budget.allow_ordered_return();
            }
        }
    }

    /// Evaluates the interval if it is over, and returns the table to be replicated where that changes a route.
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
        self.measurements.measure(&report, seconds);
        self.evaluate(&report, now);
        let rows = self.routes(topology);
        self.adopt(rows, now).then(|| self.table(valid_from_ms))
    }

    /// The current routes as a table.
    pub fn table(&self, valid_from_ms: u64) -> RoutingTable {
        RoutingTable {
            valid_from_ms,
            zones: self.zone_names.clone(),
            rows: self.rows.clone(),
        }
    }

    /// Evaluates each zone and each pair.
    fn evaluate(&mut self, report: &Report, now: TenthMillis) {
        let count = self.zone_names.len();
        let evidence = Evidence::new(report, count);
        for to in ZoneIndex::all(count) {
            let votes = evidence.votes(to);
            let is_down = evidence.is_down(to, votes);
            let health = &mut self.health[to.position()];
            health.evaluate(now, is_down, &self.config);
            health.evaluate_latency(now, evidence.is_slow(to), &self.config);
            let is_serving = health.state.is_serving() && !is_down;
            for from in ZoneIndex::all(count) {
                let pair = ZonePair { from, to };
                // Its own coordinators alone do not make a zone partitioned from itself, unless others outvote them.
                let may_be_partitioned = from != to || votes.reachable > votes.down;
                let is_partitioned =
                    is_serving && may_be_partitioned && evidence.opinion(pair) == Opinion::Down;
                self.evaluate_pair(pair, is_partitioned, now);
            }
        }
    }

    fn evaluate_pair(&mut self, pair: ZonePair, is_partitioned: bool, now: TenthMillis) {
        if !is_partitioned && !self.pairs.contains_key(&pair) {
            return;
        }
        let healthy = Health::new(State::Healthy, now);
        let health = self.pairs.entry(pair).or_insert(healthy);
        health.evaluate(now, is_partitioned, &self.config);
        if health.is_unremarkable() {
            self.pairs.remove(&pair);
        }
    }
}
