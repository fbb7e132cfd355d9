//! Computes the load that a table sends to each zone, and narrows routes so that no zone gets more than its capacity.

use linenthread_core::conversion::to_u64;

use crate::table::{Reason, Route, Row};
use crate::topology::{Distance, Placement, Topology};
use crate::{ALL_KEYS, MAX_ZONES};

/// The maximum number of rounds in which routes are narrowed.
const MAX_ROUNDS: usize = 64;
/// The round in which all routes from other zones to an overloaded one are closed, so that the last round only checks.
const CLOSING_ROUND: usize = MAX_ROUNDS - 2;
/// A load of up to this many times the capacity is attributed to rounding.
const ROUNDING_TOLERANCE: f64 = 1.001;

/// The distribution of one zone's clients over the zones of replicas at one distance.
struct Distribution<'a> {
    placement: &'a Placement,
    routes: &'a [Route],
    /// The zones at this distance that have replicas of the placement and whose routes are not closed.
    zones: Vec<usize>,
}

impl Distribution<'_> {
    /// Returns the probability that the route to the `n`-th zone is open to a key.
    fn open_probability(&self, n: usize) -> f64 {
        f64::from(self.routes[self.zones[n]].share) / f64::from(ALL_KEYS)
    }

    fn replicas(&self, n: usize) -> f64 {
        f64::from(self.placement.replicas[self.zones[n]])
    }

    /// Adds to each zone's load its part of `share`, and returns the probability that no route is open to a key.
    fn distribute(&self, share: f64, loads: &mut [f64]) -> f64 {
        let count = self.zones.len();
        let mut unserved = 0.0;
        // Each bit of a combination says whether one route is open to a key.
        for combination in 0..1_u32 << count.min(MAX_ZONES) {
            let is_open = |n: usize| combination >> n & 1 == 1;
            let probability: f64 = (0..count)
                .map(|n| match is_open(n) {
                    true => self.open_probability(n),
                    false => 1.0 - self.open_probability(n),
                })
                .product();
            let open = || (0..count).filter(|&n| is_open(n));
            let all: f64 = open().map(|n| self.replicas(n)).sum();
            if all == 0.0 {
                unserved += probability;
                continue;
            }
            for n in open() {
                loads[self.zones[n]] += share * probability * self.replicas(n) / all;
            }
        }
        unserved
    }
}

/// Returns the load on each zone of replicas from one zone of clients, per sub-request that its clients ask for.
///
/// A hash of the key and the route decides whether the route is open to the key. The key's sub-requests go to the
/// nearest zones that have its shard and whose routes are open to it, evenly to all their replicas; if none is open
/// they are rejected.
fn load_per_sub_request(topology: &Topology, from: usize, row: &Row) -> Vec<f64> {
    let count = topology.zones.len();
    let mut loads = vec![0.0; count];
    for placement in &topology.placements {
        let mut remaining = placement.share;
        for distance in Distance::ALL {
            let is_candidate = |&to: &usize| {
                placement.replicas[to] > 0
                    && topology.distance(from, to) == distance
                    && row.routes[to].share > 0
            };
            let distribution = Distribution {
                placement,
                routes: &row.routes,
                zones: (0..count).filter(is_candidate).collect(),
            };
            remaining *= distribution.distribute(remaining, &mut loads);
        }
    }
    loads
}

/// The load from each zone of clients on each zone of replicas, in sub-requests per second.
#[derive(Clone, Debug, PartialEq)]
pub struct Loads {
    /// By zone of clients, then by zone of replicas.
    by_clients: Vec<Vec<f64>>,
}

impl Loads {
    /// Returns the load from one zone of clients on one zone of replicas.
    pub fn between(&self, from: usize, to: usize) -> f64 {
        self.by_clients[from][to]
    }

    /// Returns the load from one zone of clients, by zone of replicas.
    pub fn from_clients(&self, from: usize) -> &[f64] {
        &self.by_clients[from]
    }

    /// Returns the load from all zones of clients on one zone of replicas.
    pub fn on_replicas(&self, to: usize) -> f64 {
        self.by_clients.iter().map(|from| from[to]).sum()
    }
}

/// Computes the loads that the rows of a table result in. `demand` is the number of sub-requests per second that the
/// clients of each zone ask for.
pub fn loads(topology: &Topology, demand: &[f64], rows: &[Row]) -> Loads {
    let from_zone = |from: usize| {
        let loads = load_per_sub_request(topology, from, &rows[from]);
        loads.into_iter().map(|load| load * demand[from]).collect()
    };
    Loads {
        by_clients: (0..topology.zones.len()).map(from_zone).collect(),
    }
}

/// The load on one zone of replicas.
#[derive(Clone, Copy)]
struct ZoneLoad {
    /// From the clients of the zone itself.
    local: f64,
    /// From the clients of all other zones.
    remote: f64,
}

impl ZoneLoad {
    fn new(loads: &Loads, to: usize) -> ZoneLoad {
        let others = (0..loads.by_clients.len()).filter(|from| *from != to);
        ZoneLoad {
            local: loads.between(to, to),
            remote: others.map(|from| loads.between(from, to)).sum(),
        }
    }

    fn fits(self, capacity: f64) -> bool {
        self.local + self.remote <= capacity * ROUNDING_TOLERANCE
    }

    /// Returns the part of the local clients' load for which there is capacity; they have priority.
    fn local_part(self, capacity: f64) -> f64 {
        (capacity / self.local.max(f64::MIN_POSITIVE)).min(1.0)
    }

    /// Returns the part of the remote clients' load for which the local clients leave capacity.
    fn remote_part(self, capacity: f64) -> f64 {
        let remaining = (capacity - self.local).max(0.0);
        (remaining / self.remote.max(f64::MIN_POSITIVE)).min(1.0)
    }
}

/// Narrows routes until no zone gets more than its capacity, in sub-requests per second. Clients of the zone itself
/// have priority over those of other zones. The load that is turned away from one zone may overload another, so this
/// takes several rounds; it terminates since shares only fall.
pub fn limit_to_capacity(topology: &Topology, demand: &[f64], capacity: &[f64], rows: &mut [Row]) {
    for round in 0..MAX_ROUNDS {
        let loads = loads(topology, demand, rows);
        let mut is_overloaded = false;
        for (to, &capacity) in capacity.iter().enumerate().take(topology.zones.len()) {
            let load = ZoneLoad::new(&loads, to);
            if load.fits(capacity) {
                continue;
            }
            is_overloaded = true;
            for (from, row) in rows.iter_mut().enumerate() {
                let route = &mut row.routes[to];
                if from == to {
                    narrow(route, load.local_part(capacity));
                } else {
                    narrow(route, load.remote_part(capacity));
                    if round == CLOSING_ROUND {
                        route.share = 0;
                    }
                }
            }
        }
        if !is_overloaded {
            return;
        }
    }
}

/// Reduces a route's share to a part of it, rounded down, and by at least one, so that each round makes progress.
fn narrow(route: &mut Route, part: f64) {
    if part < 1.0 && route.share > 0 {
        let kept = to_u64(f64::from(route.share) * part);
        let kept = u16::try_from(kept).unwrap_or(u16::MAX);
        route.share = kept.min(route.share - 1);
        if route.reason == Reason::Healthy {
            route.reason = Reason::Capacity;
        }
    }
}
