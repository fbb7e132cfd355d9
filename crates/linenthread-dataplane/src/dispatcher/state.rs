//! The state of a dispatcher: the decision module, the open queries and the replicas they may be sent to.

use linenthread_config::Settings;
use linenthread_core::Coordinator;
use linenthread_core::interface::{IndexConfig, Inputs, QueryIndex, SearchIndex};

use super::decisions::{Decision, Decisions};
use super::pass_through::PassThrough;
use super::policy_inputs;
use super::query::{OpenQuery, QueryId};
use super::replica_slots::ReplicaSlots;
use crate::clock;
use crate::transport::Connector;

pub(super) struct State<C: Connector> {
    pub(super) coordinator: Coordinator,
    /// Replaces the coordinator, to measure the coordinator's cost.
    pass_through: Option<PassThrough>,
    /// The kinds of queries, each at the position of its search index in the coordinator.
    query_kinds: Vec<IndexConfig>,
    /// Inputs since the last step.
    pub(super) inputs: Inputs,
    pub(super) replicas: ReplicaSlots<C>,
    queries: Vec<Option<OpenQuery>>,
    free_queries: Vec<QueryIndex>,
    pub(super) decisions: Decisions,
}

impl<C: Connector> State<C> {
    pub(super) fn new(
        backend_count: usize,
        max_attempts: usize,
        settings: &Settings,
        seed: u64,
    ) -> State<C> {
        let deployment = policy_inputs::coordinator_config(backend_count, max_attempts, settings);
        State {
            coordinator: Coordinator::new(deployment, seed),
            pass_through: settings.pass_through.then(PassThrough::default),
            query_kinds: Vec::new(),
            inputs: Inputs::default(),
            replicas: ReplicaSlots::new(),
            queries: Vec::new(),
            free_queries: Vec::new(),
            decisions: Decisions::default(),
        }
    }

    /// Runs one step of the decision module on the collected inputs and returns its decisions.
    pub(super) fn decide(&mut self) -> Vec<Decision> {
        self.inputs.now = clock::now_tenth_millis();
        let inputs = std::mem::take(&mut self.inputs);
        self.decisions.wake_at = None;
        match &mut self.pass_through {
            None => self.coordinator.step(&inputs, &mut self.decisions),
            Some(pass_through) => pass_through.step(&inputs, &mut self.decisions),
        }
        std::mem::take(&mut self.decisions.list)
    }

    /// Returns the search index that represents a kind of query, and adds one for a new kind.
    pub(super) fn search_index_for(&mut self, kind: IndexConfig) -> SearchIndex {
        if let Some(known) = self.query_kinds.iter().position(|known| *known == kind) {
            return SearchIndex(known);
        }
        self.query_kinds.push(kind.clone());
        self.coordinator.add_index(kind)
    }

    /// Returns an index that no open query uses.
    pub(super) fn free_query_index(&mut self) -> QueryIndex {
        self.free_queries.pop().unwrap_or_else(|| {
            self.queries.push(None);
            QueryIndex(self.queries.len() - 1)
        })
    }

    pub(super) fn open_query(&mut self, index: QueryIndex, query: OpenQuery) {
        self.queries[index.0] = Some(query);
    }

    /// Returns the open query at an index, if there is one.
    pub(super) fn query_at(&mut self, index: QueryIndex) -> Option<&mut OpenQuery> {
        self.queries.get_mut(index.0)?.as_mut()
    }

    /// Applies `action` to the open query at an index, if there is one.
    pub(super) fn with_query(&mut self, index: QueryIndex, action: impl FnOnce(&mut OpenQuery)) {
        if let Some(query) = self.query_at(index) {
            action(query);
        }
    }

    /// Returns the query with this id, unless it has ended.
    pub(super) fn query(&mut self, id: QueryId) -> Option<&mut OpenQuery> {
        self.query_at(id.index)
            .filter(|query| query.sequence_number == id.sequence_number)
    }

    /// Ends a query and frees its index.
    pub(super) fn release_query(&mut self, index: QueryIndex) {
        if self.queries[index.0].take().is_some() {
            self.free_queries.push(index);
        }
    }

    /// Frees the indices of departed replicas that no open query can refer to any more.
    pub(super) fn free_departed_replicas(&mut self) {
        if !self.replicas.has_departed() {
            return;
        }
        let open_queries = self.queries.iter().flatten();
        let oldest_open = open_queries.map(|query| query.sequence_number).min();
        self.replicas.free_departed(oldest_open);
    }
}
