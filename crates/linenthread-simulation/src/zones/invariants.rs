//! The checks of each new table, and those at the end of a schedule.

use linenthread_zones::{ALL_KEYS, Loads, Reason, RoutingTable, loads};

use super::fault::Fault;
use super::invariant::Invariant;
use super::world::World;
use super::{MINUTE, START};
use crate::number;

/// The factor by which a zone may exceed its capacity, since the measured demand is noisy.
const LOAD_TOLERANCE: f64 = 1.15;
/// The requests per second to a zone below which a coordinator may not notice the loss of the zone.
const MIN_NOTICED_RATE: f64 = 10.0;
/// The number of consecutive openings that the controller allows.
const MAX_OPENINGS: f64 = 20.0;
/// The number of additional openings allowed for each leader.
const OPENINGS_PER_LEADER: f64 = 5.0;

impl World {
    /// Returns the loads while all routes are open.
    pub(super) fn usual_loads(&self) -> Loads {
        let names = vec![String::new(); self.topology.zones.len()];
        loads(
            &self.topology,
            &self.demand,
            &RoutingTable::open(names).rows,
        )
    }

    /// Checks a new table.
    pub(super) fn check_table(&mut self, table: &RoutingTable) {
        self.check_capacity(table);
        let ejected = routes_closed_for(table, &[Reason::ZoneDown, Reason::Partitioned]);
        let fault = self.fault;
        let wrong: Vec<(usize, usize)> = ejected
            .into_iter()
            .filter(|(from, to)| !fault.may_eject(*from, *to))
            .collect();
        if !wrong.is_empty() {
            self.record_violation(
                Invariant::OnlyFaultyClosed,
                &format!("closed from and to: {wrong:?}"),
            );
        }
        let limited = routes_closed_for(table, &[Reason::Capacity, Reason::Slow]);
        if self.fault == Fault::Noise && !limited.is_empty() {
            self.record_violation(
                Invariant::LocalWhileHealthy,
                "routes are closed though nothing is wrong",
            );
        }
    }

    /// Checks *within-capacity*: a table sends no zone more than its true capacity or, if that is higher, its load
    /// while all routes are open.
    fn check_capacity(&mut self, table: &RoutingTable) {
        let load = loads(&self.topology, &self.demand, &table.rows);
        let usual = self.usual_loads();
        for to in 0..self.topology.zones.len() {
            let capacity = if self.fault.is_slow(to) {
                f64::INFINITY
            } else {
                self.capacity[to]
            };
            let (load, usual) = (load.on_replicas(to), usual.on_replicas(to));
            let is_configured = self.topology.zones[to].replica_capacity.is_some();
            if is_configured
                && self.fault != Fault::HostileReports
                && load > capacity.max(usual) * LOAD_TOLERANCE
            {
                self.record_violation(Invariant::WithinCapacity, &format!("zone {to} gets {load:.0}, can process {capacity:.0}, usually gets {usual:.0}"));
            }
        }
    }

    /// Reports whether the table has closed a route.
    fn is_closed(&self, from: usize, to: usize) -> bool {
        let table = self.table.as_ref();
        table.is_some_and(|table| table.rows[from].routes[to].share == 0)
    }

    /// Reports whether the table has closed the routes that the fault requires.
    pub(super) fn is_handled(&self) -> bool {
        let mut zones = 0..self.topology.zones.len();
        match self.fault {
            Fault::ZoneLost(lost) => zones.all(|from| from == lost || self.is_closed(from, lost)),
            Fault::TwoZonesLost(a, b) => zones.all(|from| {
                from == a || from == b || self.is_closed(from, a) && self.is_closed(from, b)
            }),
            Fault::PairPartitioned(a, b) => self.is_closed(a, b) || self.is_closed(b, a),
            Fault::Drain(drained) => zones.all(|from| self.is_closed(from, drained)),
            _ => true,
        }
    }

    /// Reports whether the fault must be handled: enough requests are affected for coordinators to notice it.
    pub(super) fn must_be_handled(&self, drain_accepted: bool) -> bool {
        let usual = self.usual_loads();
        let coordinators = number::to_f64(self.coordinators.len() / self.topology.zones.len());
        let is_used = |to: usize, except: usize| {
            (0..self.topology.zones.len()).any(|from| {
                let load = usual.between(from, to);
                from != to && from != except && load / coordinators >= MIN_NOTICED_RATE
            })
        };
        match self.fault {
            Fault::ZoneLost(lost) => is_used(lost, lost),
            Fault::TwoZonesLost(a, b) => is_used(a, b) && is_used(b, a),
            Fault::Drain(_) => drain_accepted,
            _ => false,
        }
    }

    /// Reports whether all routes are open.
    pub(super) fn all_routes_open(&self) -> bool {
        let table = self.table.as_ref();
        table.is_none_or(|table| table.routes().all(|route| route.share == ALL_KEYS))
    }

    /// Checks *no-flapping*: allows [`MAX_OPENINGS`], one more for each minute, and [`OPENINGS_PER_LEADER`] for each
    /// leader.
    pub(super) fn check_openings(&mut self) {
        let minutes = number::time_to_f64(self.now - START) / MINUTE;
        let bound = MAX_OPENINGS + minutes + OPENINGS_PER_LEADER * f64::from(self.leaders);
        if f64::from(self.openings) > bound {
            let openings = self.openings;
            self.record_violation(
                Invariant::NoFlapping,
                &format!("{openings} openings in {minutes:.1} minutes"),
            );
        }
    }
}

/// Returns the routes, as pairs of zones, that a table has closed or limited for one of the given reasons.
fn routes_closed_for(table: &RoutingTable, reasons: &[Reason]) -> Vec<(usize, usize)> {
    let mut closed = Vec::new();
    for (from, row) in table.rows.iter().enumerate() {
        for (to, route) in row.routes.iter().enumerate() {
            if reasons.contains(&route.reason) {
                closed.push((from, to));
            }
        }
    }
    closed
}
