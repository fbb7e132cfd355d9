//! The routes that follow from the states, narrowed to what each zone can bear (*within-capacity*).

use super::FailoverController;
use crate::ALL_KEYS;
use crate::health::{Health, State};
use crate::load::{limit_to_capacity, loads};
use crate::table::{Reason, Route, RoutingTable, Row};
use crate::topology::Topology;
use crate::zone_index::{ZoneIndex, ZonePair};

impl FailoverController {
    /// The routes as the states have them, narrowed as far as capacity requires. While all is healthy none is
    /// (*local-while-healthy*): peaks are then borne by each coordinator by itself.
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

    /// What is wrong with the zone counts before what is wrong with the pair.
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

    /// The capacity of each zone. What a zone bears while all is healthy it bears now, unless it is slow.
    fn capacities(&self, topology: &Topology) -> Vec<f64> {
        let open = RoutingTable::open(self.zone_names.clone()).rows;
        let usual = loads(topology, self.measurements.demand(), &open);
        let capacity_of = |zone: ZoneIndex| {
            let capacity = self.capacity(topology, zone);
            let position = zone.position();
            let is_configured = topology.zones[position].replica_capacity.is_some();
            if self.health[position].state.is_slow() || is_configured {
                capacity
            } else {
                capacity.max(usual.on_replicas(position))
            }
        };
        self.zones().map(capacity_of).collect()
    }

    /// The sub-requests a second that a zone can process, as configured; less for one that is slow. What could be
    /// measured instead, from the shortest latencies and the greatest throughput, is less than what replicas of several
    /// cores can process: rejecting by it cost a sixth of the value where all requests would have fitted (simulation
    /// of failover). So where capacity is not configured no route is closed for it, and each coordinator sheds by
    /// itself what is too much.
    fn capacity(&self, topology: &Topology, zone: ZoneIndex) -> f64 {
        let position = zone.position();
        let configured = topology.zones[position].replica_capacity;
        let capacity = configured.map_or(f64::INFINITY, |each| {
            each * f64::from(topology.replicas[position]) * self.config.capacity_margin
        });
        if self.health[position].state.is_slow() {
            capacity * self.measurements.latency(zone).capacity_part()
        } else {
            capacity
        }
    }
}
