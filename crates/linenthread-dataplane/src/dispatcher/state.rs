//! What a dispatcher owns: the decision module, the open queries and the replicas that they may go to.

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

/// A dispatcher's tables.
pub(super) struct State<C: Connector> {
    pub(super) coordinator: Coordinator,
    /// Decides in the coordinator's place where only its cost is to be measured.
    pass_through: Option<PassThrough>,
    /// The kinds of queries that the coordinator knows as its search indexes, in their order.
    query_kinds: Vec<IndexConfig>,
    /// What arrived since the last step.
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

    /// One step of the decision module on all that arrived; its decisions.
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

    /// The search index that stands for a kind of query; one is added if the kind is new.
    pub(super) fn search_index_for(&mut self, kind: IndexConfig) -> SearchIndex {
        if let Some(known) = self.query_kinds.iter().position(|known| *known == kind) {
            return SearchIndex(known);
        }
        self.query_kinds.push(kind.clone());
        self.coordinator.add_index(kind)
    }

    /// An index that no open query has.
    pub(super) fn free_query_index(&mut self) -> QueryIndex {
        self.free_queries.pop().unwrap_or_else(|| {
            self.queries.push(None);
            QueryIndex(self.queries.len() - 1)
        })
    }

    pub(super) fn open_query(&mut self, index: QueryIndex, query: OpenQuery) {
        self.queries[index.0] = Some(query);
    }

    /// The query that has an index now, if one is open.
    pub(super) fn query_at(&mut self, index: QueryIndex) -> Option<&mut OpenQuery> {
        self.queries.get_mut(index.0)?.as_mut()
    }

    /// Does this to the query that has an index now, if one is open.
    pub(super) fn with_query(&mut self, index: QueryIndex, act: impl FnOnce(&mut OpenQuery)) {
        if let Some(query) = self.query_at(index) {
            act(query);
        }
    }

    /// A query, unless it has ended.
    pub(super) fn query(&mut self, id: QueryId) -> Option<&mut OpenQuery> {
        self.query_at(id.index)
            .filter(|query| query.sequence_number == id.sequence_number)
    }

    /// Ends a query: its index is free.
    pub(super) fn release_query(&mut self, index: QueryIndex) {
        if self.queries[index.0].take().is_some() {
            self.free_queries.push(index);
        }
    }

    /// Frees the indices of replicas that no open query can name any more.
    pub(super) fn free_departed_replicas(&mut self) {
        if !self.replicas.has_departed() {
            return;
        }
        let open_queries = self.queries.iter().flatten();
        let oldest_open = open_queries.map(|query| query.sequence_number).min();
        self.replicas.free_departed(oldest_open);
    }
}
