//! The routing decisions of each policy.

use linenthread_core::interface::TenthMillis;
use linenthread_zones::{Reason, Report, Route, RoutingTable, Topology, limit_to_capacity};

use super::coordinator::zone_routes;
use super::policy::Policy;
use super::topology::{controller, topology, zone_names};
use super::world::World;
use super::{
    CORES, FAULT_START, NODES_PER_ZONE, REPLICAS, SECOND, SERVICE_TIME, START,
    SUB_REQUESTS_PER_QUERY, ZONES,
};
use crate::number;
use crate::random;

/// How long it takes to elect a new leader; meanwhile the shared controller makes no decisions.
const LEADER_ELECTION_TIME: TenthMillis = 2 * SECOND;
/// The fraction of a zone's true capacity that the true-state policy uses.
const TRUE_STATE_MARGIN: f64 = 0.95;

impl World {
    /// Collects the coordinators' reports and distributes a new routing table, if the policy makes one.
    pub(super) fn decide(&mut self) {
        let topology = topology(&self.replicas);
        let report = self.collect_reports(&topology);
        let table = match self.policy {
            Policy::Shared => self.decide_shared(&report, &topology),
            Policy::TrueState => Some(self.table_from_true_state(&topology)),
            Policy::SelectionOnly | Policy::LocalPreference | Policy::Independent => None,
        };
        if let Some(table) = table {
            self.distribute(&table);
        }
    }

    /// Returns the sum of all reports except those from lost zones. Under [`Policy::Independent`], each coordinator
    /// decides on its own report.
    fn collect_reports(&mut self, topology: &Topology) -> Report {
        let mut sum = Report::default();
        for index in 0..self.coordinators.len() {
            let node = &mut self.coordinators[index];
            let report = node.observer.report(&topology.replicas);
            if self.policy == Policy::Independent {
                self.decide_independently(index, &report, topology);
            }
            if !self.is_lost(self.coordinators[index].zone) {
                sum.add(&report);
            }
        }
        sum
    }

    /// Lets a coordinator decide for itself, on its own report.
    fn decide_independently(&mut self, index: usize, report: &Report, topology: &Topology) {
        let now = self.now;
        let node = &mut self.coordinators[index];
        let local = node.controller.get_or_insert_with(|| controller(now));
        local.add_report(report);
        if let Some(table) = local.decide(now, 0, topology) {
            let routes = zone_routes(node.zone, table.rows.get(node.zone));
            node.arriving_routes.push_back((now, routes));
        }
    }

    /// Lets the leader decide on the reports of all coordinators. While there is no leader, the reports accumulate.
    fn decide_shared(&mut self, report: &Report, topology: &Topology) -> Option<RoutingTable> {
        self.pending_report.add(report);
        let elected_at = START + FAULT_START + LEADER_ELECTION_TIME;
        let has_no_leader =
            self.fault_is_active && self.fault.loses_leader() && self.now < elected_at;
        if has_no_leader {
            return None;
        }
        let report = std::mem::take(&mut self.pending_report);
        self.controller.add_report(&report);
        self.controller.decide(self.now, 0, topology)
    }

    /// Computes a table from the true state: which zones work, and how fast.
    fn table_from_true_state(&self, topology: &Topology) -> RoutingTable {
        let mut table = RoutingTable::open(zone_names());
        for (from, row) in table.rows.iter_mut().enumerate() {
            for (to, route) in row.routes.iter_mut().enumerate() {
                if self.is_lost(to) || self.is_partitioned(from, to) {
                    *route = Route::closed(Reason::ZoneDown);
                }
            }
        }
        if self.fault_is_active || self.fault_is_over {
            let demand = self.query_rate
                * number::to_f64(SUB_REQUESTS_PER_QUERY)
                * number::to_f64(NODES_PER_ZONE);
            let demand = vec![demand; ZONES];
            let capacity: Vec<f64> = (0..ZONES).map(|zone| self.true_capacity(zone)).collect();
            limit_to_capacity(topology, &demand, &capacity, &mut table.rows);
        }
        table
    }

    /// Returns how many sub-requests a zone is allotted per tenth of a millisecond: [`TRUE_STATE_MARGIN`] of what its
    /// running replicas can process.
    fn true_capacity(&self, zone: usize) -> f64 {
        let of_zone = (0..REPLICAS).filter(|index| index % ZONES == zone);
        let running = of_zone.filter(|index| self.replicas[*index].is_up);
        running
            .map(|index| {
                TRUE_STATE_MARGIN * self.speed(index) * number::to_f64(CORES) / SERVICE_TIME
            })
            .sum()
    }

    /// Sends a table to all coordinators.
    fn distribute(&mut self, table: &RoutingTable) {
        let closes_route = table.routes().any(|route| route.share == 0);
        if closes_route && self.fault_is_active && self.totals.reaction_time.is_none() {
            self.totals.reaction_time = Some(self.now - START - FAULT_START);
        }
        for node in &mut self.coordinators {
            let lag = if self.policy == Policy::TrueState {
                0
            } else {
                3_000 + random::time_below(&mut self.rng, 1_000)
            };
            let routes = zone_routes(node.zone, table.rows.get(node.zone));
            node.arriving_routes.push_back((self.now + lag, routes));
        }
    }
}
