//! Maps ids on the wire to the indices of replicas, queries and sub-requests, and back.

use std::collections::HashMap;

use linenthread_core::interface::{QueryIndex, ReplicaIndex, SubRequestIndex};

/// The ids of one query.
#[derive(Default)]
pub(crate) struct QueryIds {
    pub(crate) query: u64,
    /// The number that links sub-requests to their query on the wire.
    number: u32,
    pub(crate) sub_requests: Vec<u64>,
}

/// The query or sub-request that an id on the wire refers to.
#[derive(Clone, Copy)]
pub(crate) enum Target {
    Query(QueryIndex),
    SubRequest {
        query: QueryIndex,
        sub_request: SubRequestIndex,
    },
}

/// The ids known to one instance.
#[derive(Default)]
pub(crate) struct IdTable {
    /// Indexed by [`ReplicaIndex`].
    replicas: Vec<u32>,
    replica_indices: HashMap<u32, ReplicaIndex>,
    /// Indexed by [`QueryIndex`].
    queries: Vec<QueryIds>,
    /// Query indices available for reuse.
    free_queries: Vec<QueryIndex>,
    queries_by_number: HashMap<u32, QueryIndex>,
    targets: HashMap<u64, Target>,
}

impl IdTable {
    /// Returns the index of a replica, and assigns one if it has none.
    pub(crate) fn replica_index(&mut self, id: u32) -> ReplicaIndex {
        let replicas = &mut self.replicas;
        *self.replica_indices.entry(id).or_insert_with(|| {
            replicas.push(id);
            ReplicaIndex(replicas.len() - 1)
        })
    }

    pub(crate) fn replica_id(&self, index: ReplicaIndex) -> u32 {
        self.replicas[index.0]
    }

    pub(crate) fn query_ids(&self, index: QueryIndex) -> &QueryIds {
        &self.queries[index.0]
    }

    pub(crate) fn target(&self, id: u64) -> Option<Target> {
        self.targets.get(&id).copied()
    }

    /// Adds a query and assigns it an index.
    pub(crate) fn add_query(&mut self, id: u64, number: u32) -> QueryIndex {
        let ids = QueryIds {
            query: id,
            number,
            sub_requests: Vec::new(),
        };
        let query = if let Some(index) = self.free_queries.pop() {
            self.queries[index.0] = ids;
            index
        } else {
            self.queries.push(ids);
            QueryIndex(self.queries.len() - 1)
        };
        self.queries_by_number.insert(number, query);
        self.targets.insert(id, Target::Query(query));
        query
    }

    /// Adds a sub-request to the query with this number. Returns that query's index, or `None` if the number is
    /// unknown.
    pub(crate) fn add_sub_request(&mut self, id: u64, number: u32) -> Option<QueryIndex> {
        let query = *self.queries_by_number.get(&number)?;
        let sub_requests = &mut self.queries[query.0].sub_requests;
        let target = Target::SubRequest {
            query,
            sub_request: SubRequestIndex(sub_requests.len()),
        };
        sub_requests.push(id);
        self.targets.insert(id, target);
        Some(query)
    }

    /// Removes a query; its index may be reused.
    pub(crate) fn release_query(&mut self, index: QueryIndex) {
        let ids = std::mem::take(&mut self.queries[index.0]);
        for id in ids.sub_requests.iter().chain([&ids.query]) {
            self.targets.remove(id);
        }
        if self.queries_by_number.get(&ids.number) == Some(&index) {
            self.queries_by_number.remove(&ids.number);
        }
        self.free_queries.push(index);
    }
}
