//! Which index stands for which id of the wire, one way and back.

use std::collections::HashMap;

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
    Query(usize),
    SubRequest { query: usize, sub_request: usize },
}

/// The ids that one instance knows.
#[derive(Default)]
pub(crate) struct IdTable {
    /// By the replicas' indices.
    replicas: Vec<u32>,
    replica_indices: HashMap<u32, usize>,
    /// By the queries' indices.
    queries: Vec<QueryIds>,
    /// Indices of queries that may be used again.
    free: Vec<usize>,
    queries_by_number: HashMap<u32, usize>,
    targets: HashMap<u64, Target>,
}

impl IdTable {
    /// The index of a replica, a new one if it has none.
    pub(crate) fn replica_index(&mut self, id: u32) -> usize {
        let replicas = &mut self.replicas;
        *self.replica_indices.entry(id).or_insert_with(|| {
            replicas.push(id);
            replicas.len() - 1
        })
    }

    pub(crate) fn replica_id(&self, index: usize) -> u32 {
        self.replicas[index]
    }

    pub(crate) fn query_ids(&self, index: usize) -> &QueryIds {
        &self.queries[index]
    }

    pub(crate) fn target(&self, id: u64) -> Option<Target> {
        self.targets.get(&id).copied()
    }

    /// Gives a query an index.
    pub(crate) fn add_query(&mut self, id: u64, number: u32) -> usize {
        let ids = QueryIds {
            query: id,
            number,
            sub_requests: Vec::new(),
        };
        let query = if let Some(free) = self.free.pop() {
            self.queries[free] = ids;
            free
        } else {
            self.queries.push(ids);
            self.queries.len() - 1
        };
        self.queries_by_number.insert(number, query);
        self.targets.insert(id, Target::Query(query));
        query
    }

    /// Adds a sub-request to the query of a number and returns that query's index, where there is one.
    pub(crate) fn add_sub_request(&mut self, id: u64, number: u32) -> Option<usize> {
        let query = *self.queries_by_number.get(&number)?;
        let sub_requests = &mut self.queries[query].sub_requests;
        let target = Target::SubRequest {
            query,
            sub_request: sub_requests.len(),
        };
        sub_requests.push(id);
        self.targets.insert(id, target);
        Some(query)
    }

    /// Forgets a query; its index may be used again.
    pub(crate) fn release_query(&mut self, index: usize) {
        let ids = std::mem::take(&mut self.queries[index]);
        for id in ids.sub_requests.iter().chain([&ids.query]) {
            self.targets.remove(id);
        }
        if self.queries_by_number.get(&ids.number) == Some(&index) {
            self.queries_by_number.remove(&ids.number);
        }
        self.free.push(index);
    }
}
