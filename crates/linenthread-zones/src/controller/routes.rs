//! Derives the routes from the health of zones and pairs, and narrows them to each zone's capacity (*within-capacity*).

use super::FailoverController;
use crate::ALL_KEYS;
use crate::health::{Health, State};
use crate::load::{limit_to_capacity, loads};
use crate::table::{Reason, Route, RoutingTable, Row};
use crate::topology::Topology;
use crate::zone_index::{ZoneIndex, ZonePair};

impl FailoverController {
    /// Returns the routes that follow from the health of zones and pairs, narrowed as far as capacity requires. While
    /// all are healthy none is narrowed (*local-while-healthy*); each coordinator then handles peaks by itself.
    pub(super) fn routes(&self, topology: &Topology) -> Vec<Row> {
        let row = |from: ZoneIndex| Row {
            routes: self.zones().map(|to| self.route(from, to)).collect(),
        };
        let mut rows: Vec<Row> = self.zones().map(row).collect();
        let mut routes = rows.iter().flat_map(|row| &row.routes);
        if routes.any(|route| route.reason != Reason::Healthy) {
            let capacity = self.capacities(topology);
            limit_to_capacity(topology, self.measurements.demand(), &capacity, &mut rows);
        }
        rows
    }

    /// Returns the route that follows from the zone's health or, if the zone is serving, from the pair's.
    fn route(&self, from: ZoneIndex, to: ZoneIndex) -> Route {
        let zone = &self.health[to.position()];
        let pair = self.pairs.get(&ZonePair { from, to });
        let pair_share = pair.map_or(ALL_KEYS, Health::share);
        match zone.state {
            State::Drained => Route::closed(Reason::Drained),
            State::Ejected { .. } => Route::closed(Reason::ZoneDown),
            State::Returning { .. } => Route {
                share: zone.share(),
                reason: Reason::Returning,
            },
            State::Healthy | State::Slow { .. } if pair_share == 0 => {
                Route::closed(Reason::Partitioned)
            }
            State::Healthy | State::Slow { .. } if pair_share < ALL_KEYS => Route {
                share: pair_share,
                reason: Reason::Returning,
            },
            State::Slow { .. } => Route {
                share: ALL_KEYS,
                reason: Reason::Slow,
            },
            State::Healthy => Route::OPEN,
        }
    }

    /// Returns the capacity of each zone. Unless a zone is slow or its capacity is configured, it is assumed to have at
    /// least the capacity for the load that it gets while all zones are healthy.
    fn capacities(&self, topology: &Topology) -> Vec<f64> {
        let open = RoutingTable::open(self.zone_names.clone()).rows;
        let healthy_loads = loads(topology, self.measurements.demand(), &open);
        let capacity_of = |zone: ZoneIndex| {
            let capacity = self.capacity(topology, zone);
            let position = zone.position();
            let is_configured = topology.zones[position].replica_capacity.is_some();
            if self.health[position].state.is_slow() || is_configured {
                capacity
            } else {
                capacity.max(healthy_loads.on_replicas(position))
            }
        };
        self.zones().map(capacity_of).collect()
    }

    /// Returns the configured number of sub-requests per second that a zone can process; less if the zone is slow.
    ///
    /// Without a configured capacity no route is closed for it, and each coordinator sheds excess load by itself. An
    /// estimate from the shortest latencies and the highest throughput is too low for replicas with several cores: in
    /// the simulation of failover, rejecting by it cost a sixth of the value where all requests would have fitted.
    fn capacity(&self, topology: &Topology, zone: ZoneIndex) -> f64 {
        let position = zone.position();
        let configured = topology.zones[position].replica_capacity;
        let capacity = configured.map_or(f64::INFINITY, |per_replica| {
            per_replica * f64::from(topology.replicas[position]) * self.config.capacity_margin
        });
        if self.health[position].state.is_slow() {
            capacity * self.measurements.latency(zone).capacity_part()
        } else {
            capacity
        }
    }
}
