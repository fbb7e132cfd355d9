//! A coordinator: the program's decision module with its inputs and configuration.

use std::collections::VecDeque;

use linenthread_core::Coordinator;
use linenthread_core::interface::{
    CoordinatorConfig, Idempotency, IndexConfig, Inputs, Permissions, QueryIndex, ShardLayout,
    SlowStart, TenthMillis, ValueGrowth, ZoneRoute,
};
use linenthread_zones::{ALL_KEYS, FailoverController, Row, ZoneObserver};

use super::decisions::Decisions;
use super::event::AttemptIndex;
use super::replica::{INITIAL_SPEED, WARM_UP};
use super::{NODES_PER_ZONE, REPLICAS, SECOND, SOFT_DEADLINE, START, ZONES};
use crate::number;

/// The id of the first zone; the value is arbitrary.
const FIRST_ZONE_ID: u64 = 77;

/// A query in flight.
pub(super) struct Query {
    pub(super) soft_deadline: TenthMillis,
    pub(super) attempts: Vec<AttemptIndex>,
}

/// A coordinator and the zone it is in.
pub(super) struct CoordinatorNode {
    pub(super) zone: usize,
    module: Coordinator,
    /// The inputs of the module's next step.
    pub(super) inputs: Inputs,
    pub(super) queries: Vec<Option<Query>>,
    free_queries: Vec<usize>,
    wake_at: TenthMillis,
    pub(super) observer: ZoneObserver,
    /// Its own controller, under [`Policy::Independent`](super::policy::Policy::Independent).
    pub(super) controller: Option<FailoverController>,
    /// Routes that have been sent to it, with the time of their arrival.
    pub(super) arriving_routes: VecDeque<(TenthMillis, Vec<ZoneRoute>)>,
}

impl CoordinatorNode {
    pub(super) fn new(number: usize, seed: u64) -> CoordinatorNode {
        let zone = number % ZONES;
        let module_seed = seed.wrapping_mul(31) + number::to_u64(number);
        CoordinatorNode {
            zone,
            module: Coordinator::new(config(number), module_seed),
            inputs: Inputs::default(),
            queries: Vec::new(),
            free_queries: Vec::new(),
            wake_at: START,
            observer: ZoneObserver::new(number::zone_index(zone)),
            controller: None,
            arriving_routes: VecDeque::new(),
        }
    }

    /// Adds a query and returns its index.
    pub(super) fn add_query(&mut self, query: Query) -> QueryIndex {
        let index = self.free_queries.pop().unwrap_or_else(|| {
            self.queries.push(None);
            self.queries.len() - 1
        });
        self.queries[index] = Some(query);
        QueryIndex(index)
    }

    pub(super) fn release_query(&mut self, QueryIndex(index): QueryIndex) {
        self.queries[index] = None;
        self.free_queries.push(index);
    }

    /// Returns the query with this index, if it is in flight.
    pub(super) fn query(&self, QueryIndex(index): QueryIndex) -> Option<&Query> {
        self.queries.get(index)?.as_ref()
    }

    /// Reports whether the module has inputs or an expired timer to handle.
    pub(super) fn has_work(&self, now: TenthMillis) -> bool {
        let inputs = &self.inputs;
        let has_inputs = !(inputs.queries.is_empty()
            && inputs.results.is_empty()
            && inputs.probes.is_empty()
            && inputs.membership.is_empty());
        has_inputs || self.wake_at <= now || !self.arriving_routes.is_empty()
    }

    /// Runs the module on all inputs that have arrived.
    pub(super) fn step(&mut self, now: TenthMillis) -> Decisions {
        while self
            .arriving_routes
            .front()
            .is_some_and(|(at, _)| *at <= now)
        {
            let arrived = self.arriving_routes.pop_front();
            self.inputs.zone_routes = arrived.map(|(_, routes)| routes);
        }
        let mut inputs = std::mem::take(&mut self.inputs);
        inputs.now = now;
        let mut decisions = Decisions::default();
        self.module.step(&inputs, &mut decisions);
        if let Some(wake_at) = decisions.wake_at {
            self.wake_at = wake_at;
        }
        decisions
    }
}

/// Converts a row of the routing table to the module's input; without a row, all routes are open.
pub(super) fn zone_routes(local: usize, row: Option<&Row>) -> Vec<ZoneRoute> {
    let route = |zone: usize| ZoneRoute {
        id: FIRST_ZONE_ID + number::to_u64(zone),
        distance: u8::from(zone != local),
        open_per_mille: row.map_or(ALL_KEYS, |row| row.routes[zone].share),
    };
    (0..ZONES).map(route).collect()
}

fn config(number: usize) -> CoordinatorConfig {
    let index = IndexConfig {
        idempotency: Idempotency::Idempotent,
        soft_deadline: SOFT_DEADLINE,
        value: 1.0,
        late_value_share: 0.0,
        complete_share: 1.0,
        min_share: 1.0,
        partial_value: 0.0,
        fetch_sub_requests: 0,
    };
    CoordinatorConfig {
        coordinator_number: number,
        coordinator_count: ZONES * NODES_PER_ZONE,
        indexes: vec![index],
        customer_quotas: Vec::new(),
        over_quota_value: 0.1,
        value_growth: ValueGrowth::Constant,
        layout: ShardLayout {
            replica_groups: REPLICAS,
            replication_factor: 2,
        },
        permissions: Permissions {
            max_attempts: 3,
            hedging: true,
            cancellation: true,
            health_probes: true,
            max_retry_after: None,
        },
        slow_start: SlowStart {
            initial_share: INITIAL_SPEED,
            duration: WARM_UP,
            budget_multiple: 2.0,
            window: SECOND,
        },
        reports_queue_depth: true,
        bounded_queues: false,
        drain_grace: 0,
        retry_budget: None,
        watch_membership: false,
    }
}
