//! Which index stands for which id of the wire, one way and back.

use std::collections::HashMap;

use linenthread_core::interface::{QueryIndex, ReplicaIndex, SubRequestIndex};

/// The ids behind one query's index.
#[derive(Default)]
pub(crate) struct QueryIds {
    pub(crate) query: u64,
    /// The number by which the wire joins sub-requests to their query.
    number: u32,
    pub(crate) sub_requests: Vec<u64>,
}

/// What an id of the wire stands for.
#[derive(Clone, Copy)]
pub(crate) enum Target {
    Query(QueryIndex),
    SubRequest {
        query: QueryIndex,
        sub_request: SubRequestIndex,
    },
}

/// The ids that one instance knows.
#[derive(Default)]
pub(crate) struct IdTable {
    /// By the replicas' indices.
    replicas: Vec<u32>,
    replica_indices: HashMap<u32, ReplicaIndex>,
    /// By the queries' indices.
    queries: Vec<QueryIds>,
    /// Indices of queries that may be used again.
    free: Vec<QueryIndex>,
    queries_by_number: HashMap<u32, QueryIndex>,
    targets: HashMap<u64, Target>,
}

impl IdTable {
    /// The index of a replica, a new one if it has none.
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

    /// Gives a query an index.
    pub(crate) fn add_query(&mut self, id: u64, number: u32) -> QueryIndex {
        let ids = QueryIds {
            query: id,
            number,
            sub_requests: Vec::new(),
        };
        let query = if let Some(free) = self.free.pop() {
            self.queries[free.0] = ids;
            free
        } else {
            self.queries.push(ids);
            QueryIndex(self.queries.len() - 1)
        };
        self.queries_by_number.insert(number, query);
        self.targets.insert(id, Target::Query(query));
        query
    }

    /// Adds a sub-request to the query of a number and returns that query's index, where there is one.
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

    /// Forgets a query; its index may be used again.
    pub(crate) fn release_query(&mut self, index: QueryIndex) {
        let ids = std::mem::take(&mut self.queries[index.0]);
        for id in ids.sub_requests.iter().chain([&ids.query]) {
            self.targets.remove(id);
        }
        if self.queries_by_number.get(&ids.number) == Some(&index) {
            self.queries_by_number.remove(&ids.number);
        }
        self.free.push(index);
    }
}
