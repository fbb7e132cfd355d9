//! The state of a schedule: zones, their coordinators, and the leader's controller.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use linenthread_core::interface::TenthMillis;
use linenthread_zones::{
    FailoverController, Placement, RoutingTable, Topology, Zone, ZoneObserver,
};
use oorandom::Rand64;

use super::START;
use super::fault::Fault;
use super::invariant::Invariant;
use crate::failover_config::failover_config;
use crate::number;
use crate::random;

/// The fault phase of a schedule ends early when there are more violations than this.
pub(super) const MAX_VIOLATIONS: usize = 3;
/// The service time that a replica provides per second, in milliseconds; it processes two requests concurrently.
const REPLICA_MS_PER_SECOND: f64 = 2_000.0;

/// A table in flight to a coordinator.
pub(super) struct ArrivingTable {
    pub(super) arrives_at: TenthMillis,
    pub(super) table: RoutingTable,
}

/// A coordinator and the zone it is in.
pub(super) struct Coordinator {
    pub(super) zone: usize,
    pub(super) observer: ZoneObserver,
    /// Tables in flight, in the order in which they arrive.
    pub(super) arriving: VecDeque<ArrivingTable>,
    /// The table that it routes by.
    pub(super) table: RoutingTable,
}

/// The state of a schedule.
pub(super) struct World {
    pub(super) now: TenthMillis,
    seed: u64,
    pub(super) rng: Rand64,
    pub(super) topology: Topology,
    /// Requests per second that the replicas of each zone can process.
    pub(super) capacity: Vec<f64>,
    /// Requests per second that the clients of each zone make.
    pub(super) demand: Vec<f64>,
    pub(super) service_ms: f64,
    pub(super) coordinators: Vec<Coordinator>,
    /// The replicated table; `None` until the first one is made.
    pub(super) table: Option<RoutingTable>,
    pub(super) controller: FailoverController,
    pub(super) fault: Fault,
    pub(super) fault_is_active: bool,
    /// The zones that operators drain.
    pub(super) drained: BTreeSet<String>,
    pub(super) violations: Vec<String>,
    pub(super) openings: u32,
    pub(super) leaders: u32,
    pub(super) tables: u32,
    /// How long after the fault's start it was handled.
    pub(super) handled_after: Option<TenthMillis>,
}

/// Returns a controller that continues from a table.
pub(super) fn controller(
    topology: &Topology,
    table: Option<&RoutingTable>,
    now: TenthMillis,
) -> FailoverController {
    FailoverController::new(failover_config(), topology.zones.clone(), table, now)
        .expect("the configuration is valid")
}

/// Places shards on a ring of replica groups: each shard is in `copies` consecutive groups, and consecutive groups are
/// in different zones.
fn placements(zones: usize, groups: usize, copies: usize) -> Vec<Placement> {
    let mut shares: BTreeMap<Vec<u16>, f64> = BTreeMap::new();
    for shard in 0..groups {
        let mut replicas = vec![0; zones];
        for copy in 0..copies {
            replicas[(shard + copy) % groups % zones] += 1;
        }
        *shares.entry(replicas).or_default() += 1.0 / number::to_f64(groups);
    }
    let shares = shares.into_iter();
    shares
        .map(|(replicas, share)| Placement { replicas, share })
        .collect()
}

impl World {
    /// Creates the state before the fault.
    pub(super) fn new(seed: u64) -> World {
        let mut rng = Rand64::new(u128::from(seed));
        let count = 2 + random::index(&mut rng, 4);
        let regions = 1 + random::index(&mut rng, 2);
        let replicas = 2 + random::index(&mut rng, 6);
        let service_ms = 5.0 + 40.0 * rng.rand_float();
        let is_configured = random::coin(&mut rng);
        let replica_capacity = REPLICA_MS_PER_SECOND / service_ms;
        let zone = |n: usize| Zone {
            name: format!("z{n}"),
            region: format!("r{}", n % regions),
            replica_capacity: is_configured.then_some(replica_capacity),
        };
        let copies = 2 + random::index(&mut rng, 2);
        let topology = Topology {
            zones: (0..count).map(zone).collect(),
            replicas: vec![number::to_u32(replicas); count],
            placements: placements(count, replicas * count, copies),
        };
        let capacity = vec![replica_capacity * number::to_f64(replicas); count];
        // From nearly idle to a high utilization.
        let utilization = 0.15 + 0.45 * rng.rand_float();
        let demand = capacity
            .iter()
            .map(|capacity| capacity * utilization * (0.8 + 0.4 * rng.rand_float()))
            .collect();
        let fault = Fault::random(count, &mut rng);
        let coordinators_per_zone = 3 + random::index(&mut rng, 8);
        let names = topology
            .zones
            .iter()
            .map(|zone| zone.name.clone())
            .collect();
        let open_table = RoutingTable::open(names);
        let coordinator = |n: usize| Coordinator {
            zone: n % count,
            observer: ZoneObserver::new(number::zone_index(n % count)),
            arriving: VecDeque::new(),
            table: open_table.clone(),
        };
        World {
            now: START,
            seed,
            controller: controller(&topology, None, START),
            coordinators: (0..count * coordinators_per_zone)
                .map(coordinator)
                .collect(),
            table: None,
            rng,
            topology,
            capacity,
            demand,
            service_ms,
            fault,
            fault_is_active: false,
            drained: BTreeSet::new(),
            violations: Vec::new(),
            openings: 0,
            leaders: 1,
            tables: 0,
            handled_after: None,
        }
    }

    /// Records a violation.
    pub(super) fn record_violation(&mut self, invariant: Invariant, details: &str) {
        let seconds = number::seconds(self.now);
        let (schedule, fault) = (self.seed, self.fault);
        self.violations.push(format!(
            "schedule {schedule}, {fault:?}, {seconds:.1} s: {invariant}: {details}"
        ));
    }

    /// Reports whether requests of a coordinator to a zone currently fail.
    pub(super) fn is_broken(&self, coordinator: usize, to: usize) -> bool {
        let from = self.coordinators[coordinator].zone;
        // The first coordinator of each zone is affected.
        let is_isolated = coordinator < self.topology.zones.len();
        self.fault_is_active && self.fault.breaks_route(from, to, is_isolated)
    }
}
