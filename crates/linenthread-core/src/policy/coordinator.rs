//! The state machine, and the order of the decisions within a step.

use crate::conversion::to_tenth_millis;
use crate::interface::{
    CoordinatorConfig, DecisionSink, IndexConfig, Inputs, QueryIndex, ReplicaIndex, SearchIndex,
    TenthMillis, ZoneRoute,
};
use oorandom::Rand64;

use super::windows::{RESET_INTERVAL, SHORT_TIME_CONSTANT};
use crate::state::{DecayingSums, FleetStatistics, Observations, Query, Replica, Timers};

/// The longest time between two steps.
///
/// Unit: 0.1 ms (10 ms). Reason: hedging, deadlines and scores may become due when no input arrives.
const MAX_STEP_INTERVAL: TenthMillis = 100;

/// A co-ordinator: a deterministic state machine without I/O or clock. The dispatcher of an ingress node runs one, too.
///
/// Create it from a configuration and a seed, then call [`step`](Self::step) with the inputs that have arrived and a
/// sink for the decisions. It requests its own wake-ups through the sink.
pub struct Coordinator {
    pub(super) config: CoordinatorConfig,
    /// The shortest soft deadline of all search indexes, in tenths of a millisecond.
    pub(super) min_soft_deadline: f64,
    pub(super) rng: Rand64,
    /// The time of the current step.
    pub(super) now: TenthMillis,
    pub(super) fleet: FleetStatistics,
    /// Indexed by [`ReplicaIndex`].
    pub(super) replicas: Vec<Replica>,
    /// Indexed by zone.
    pub(super) zones: Vec<Observations>,
    /// Indexed by zone; empty while there is no routing table.
    pub(super) zone_routes: Vec<ZoneRoute>,
    /// Indexed by [`QueryIndex`]; `None` for unused indices.
    pub(super) queries: Vec<Option<Query>>,
    /// Queries that have not been released, oldest first.
    pub(super) open_queries: Vec<QueryIndex>,
    pub(super) timers: Timers,
    /// When all queries must have ended; `None` unless the process shuts down.
    pub(super) shutdown_at: Option<TenthMillis>,
}

impl Coordinator {
    /// Returns a co-ordinator that has received no inputs. The seed determines all of its random choices.
    pub fn new(mut config: CoordinatorConfig, seed: u64) -> Self {
        let indexes = std::mem::take(&mut config.indexes);
        let mut coordinator = Coordinator {
            min_soft_deadline: f64::INFINITY,
            fleet: FleetStatistics::new(config.customer_quotas.len(), SHORT_TIME_CONSTANT),
            config,
            rng: Rand64::new(u128::from(seed)),
            now: 0,
            replicas: Vec::new(),
            zones: Vec::new(),
            zone_routes: Vec::new(),
            queries: Vec::new(),
            open_queries: Vec::new(),
            timers: Timers::default(),
            shutdown_at: None,
        };
        for index in indexes {
            coordinator.add_index(index);
        }
        coordinator
    }

    /// Adds a search index for queries accepted from now on.
    pub fn add_index(&mut self, index: IndexConfig) -> SearchIndex {
        let soft_deadline = index.soft_deadline.max(1) as f64;
        self.min_soft_deadline = self.min_soft_deadline.min(soft_deadline);
        self.fleet.query_sizes.push(DecayingSums::default());
        self.config.indexes.push(index);
        SearchIndex(self.config.indexes.len() - 1)
    }

    /// Sets this co-ordinator's part of the retry budget: the attempts permitted regardless of the load, this
    /// co-ordinator's number, and the number of co-ordinators (in an ingress node, of ingress nodes).
    pub fn set_retry_quota(
        &mut self,
        reserve: f64,
        coordinator_number: usize,
        coordinator_count: usize,
    ) {
        self.config.coordinator_number = coordinator_number;
        self.config.coordinator_count = coordinator_count.max(1);
        if let Some(budget) = &mut self.config.retry_budget {
            budget.reserve = reserve;
        }
    }

    /// Applies the inputs and writes the resulting decisions to the sink.
    pub fn step(&mut self, inputs: &Inputs, sink: &mut impl DecisionSink) {
        self.now = inputs.now;
        self.start_timers();
        self.apply(inputs, sink);
        self.update_scores();
        for query_index in self.open_queries.clone() {
            self.resolve(query_index, sink);
        }
        self.release_finished(sink);
        self.probe_outages(sink);
        self.run_timers(sink);
    }

    /// Starts the timers at the first step.
    fn start_timers(&mut self) {
        let is_first_step = self.timers.next_reset == 0;
        if is_first_step {
            self.timers.started_at = self.now;
            self.timers.next_reset = self.now + RESET_INTERVAL;
        }
    }

    /// Records the inputs, kind by kind in a fixed order: a query is recorded before its sub-requests, and an attempt
    /// that has ended no longer counts as in flight.
    fn apply(&mut self, inputs: &Inputs, sink: &mut impl DecisionSink) {
        for update in &inputs.membership {
            self.on_membership_update(update);
        }
        if let Some(zone_routes) = &inputs.zone_routes {
            self.zone_routes.clone_from(zone_routes);
        }
        if let Some(shutdown_at) = inputs.shutdown_at {
            self.on_shutdown(shutdown_at);
        }
        self.count_accepted(inputs.queries.len() + inputs.sub_requests.len());
        for query in &inputs.queries {
            self.on_query(query);
        }
        for sub_request in &inputs.sub_requests {
            self.on_sub_request(sub_request);
        }
        for result in &inputs.results {
            self.on_attempt_result(result, sink);
        }
        for &continuation in &inputs.continuations {
            self.on_continuation(continuation);
        }
        for result in &inputs.probes {
            self.on_probe_result(result);
        }
        for &query_index in &inputs.cancelled {
            self.on_cancelled(query_index);
        }
    }

    fn run_timers(&mut self, sink: &mut impl DecisionSink) {
        let watch_due = self.timers.next_watch.take_if(|at| *at <= self.now);
        if watch_due.is_some() {
            sink.watch_membership();
        }
        if self.timers.next_wake <= self.now {
            self.timers.next_wake = self.now + MAX_STEP_INTERVAL;
            sink.wake_at(self.timers.next_wake);
        }
    }

    /// Returns a random time below a limit.
    pub(super) fn random_time(&mut self, limit: TenthMillis) -> TenthMillis {
        to_tenth_millis(self.rng.rand_float() * limit as f64)
    }

    /// Returns the indices of all replicas that have ever been listed.
    pub(super) fn replica_indices(&self) -> impl Iterator<Item = ReplicaIndex> + use<> {
        (0..self.replicas.len()).map(ReplicaIndex)
    }

    /// Returns a query, or `None` if it is unknown or has been released.
    pub(super) fn query_mut(&mut self, query_index: QueryIndex) -> Option<&mut Query> {
        self.queries.get_mut(query_index.0)?.as_mut()
    }

    /// Returns a query that has not been released.
    pub(super) fn open_query(&self, query_index: QueryIndex) -> &Query {
        self.queries[query_index]
            .as_ref()
            .expect("a query has its record until it is released")
    }

    /// Returns a query that has not been released.
    pub(super) fn open_query_mut(&mut self, query_index: QueryIndex) -> &mut Query {
        self.queries[query_index]
            .as_mut()
            .expect("a query has its record until it is released")
    }

    /// Returns the configuration of the search index that a query is for.
    pub(super) fn index_config(&self, query: &Query) -> &IndexConfig {
        &self.config.indexes[query.search_index.0]
    }
}
