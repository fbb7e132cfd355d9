//! How much load a table sends where, and how far routes must be closed so that no zone gets more than its capacity.

use linenthread_core::conversion::to_u64;

use crate::table::{Reason, Route, Row};
use crate::topology::{Distance, Placement, Topology};
use crate::{ALL_KEYS, MAX_ZONES};

/// Routes are narrowed in so many rounds at most.
const MAX_ROUNDS: usize = 64;
/// In this round all routes from other zones to an overloaded one are closed, so that the last round only checks.
const CLOSING_ROUND: usize = MAX_ROUNDS - 2;
/// A load this many times the capacity is a matter of rounding.
const ROUNDING_TOLERANCE: f64 = 1.001;

/// How the keys of a zone of clients meet the routes to one group of zones.
struct Spread<'a> {
    placement: &'a Placement,
    routes: &'a [Route],
    /// The zones of replicas at one distance whose routes are not closed.
    zones: Vec<usize>,
}

impl Spread<'_> {
    /// The probability that the route to the `n`-th zone is open to a key.
    fn open_probability(&self, n: usize) -> f64 {
        f64::from(self.routes[self.zones[n]].share) / f64::from(ALL_KEYS)
    }

    fn replicas(&self, n: usize) -> f64 {
        f64::from(self.placement.replicas[self.zones[n]])
    }

    /// Adds the part of `share` that each zone gets, and returns the part that finds no route open.
    fn distribute(&self, share: f64, loads: &mut [f64]) -> f64 {
        let count = self.zones.len();
        let mut unserved = 0.0;
        // Every combination of routes that are open or closed to a key.
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

/// The load on each zone of replicas from one zone of clients, for each sub-request that its clients ask for.
///
/// For each key each route is open or closed by a hash of both. The key goes to the nearest zones with its shard whose
/// route is open, to each of their replicas alike; where none is open it is rejected.
fn spread(topology: &Topology, from: usize, row: &Row) -> Vec<f64> {
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
            let spread = Spread {
                placement,
                routes: &row.routes,
                zones: (0..count).filter(is_candidate).collect(),
            };
            remaining *= spread.distribute(remaining, &mut loads);
        }
    }
    loads
}

/// Sub-requests a second from each zone of clients to each zone of replicas.
#[derive(Clone, Debug, PartialEq)]
pub struct Loads {
    /// By zone of clients, then by zone of replicas.
    by_clients: Vec<Vec<f64>>,
}

impl Loads {
    /// The load from one zone of clients on one zone of replicas.
    pub fn between(&self, from: usize, to: usize) -> f64 {
        self.by_clients[from][to]
    }

    /// The load from one zone of clients, by zone of replicas.
    pub fn from_clients(&self, from: usize) -> &[f64] {
        &self.by_clients[from]
    }

    /// The load from all zones of clients on one zone of replicas.
    pub fn on_replicas(&self, to: usize) -> f64 {
        self.by_clients.iter().map(|from| from[to]).sum()
    }
}

/// The loads by the rows of a table. `demand` is how many sub-requests a second the clients of each zone ask for.
pub fn loads(topology: &Topology, demand: &[f64], rows: &[Row]) -> Loads {
    let from_zone = |from: usize| {
        let spread = spread(topology, from, &rows[from]);
        spread.into_iter().map(|load| load * demand[from]).collect()
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
    /// From those of all others.
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

    /// The part of the load of the zone's own clients for which there is capacity: they come first.
    fn local_part(self, capacity: f64) -> f64 {
        (capacity / self.local.max(f64::MIN_POSITIVE)).min(1.0)
    }

    /// The part of the others' load for which there is capacity: what the zone's own clients leave over.
    fn remote_part(self, capacity: f64) -> f64 {
        let left_over = (capacity - self.local).max(0.0);
        (left_over / self.remote.max(f64::MIN_POSITIVE)).min(1.0)
    }
}

/// Narrows routes until no zone gets more than its capacity, in sub-requests a second. The clients of the zone itself
/// come first; those of others have what is left. What is closed here goes elsewhere, and may overload another zone:
/// so it takes several rounds. Shares only fall, so it comes to an end.
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

/// Keeps a part of a route's share. It is rounded down, and at least by one, so that each round makes progress.
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
