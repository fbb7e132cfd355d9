//! Queries and their sub-requests as they arrive.

use super::{QueryIndex, SearchIndex, TenthMillis};

/// A query that has arrived.
#[derive(Clone, Debug)]
pub struct NewQuery {
    /// The query's index at this co-ordinator.
    pub query: QueryIndex,
    /// The search index that the query is for.
    pub search_index: SearchIndex,
    /// The number of the customer that sent the query.
    pub customer: usize,
    /// The routing key; `None` if the query has none.
    pub key: Option<u64>,
    /// The query's own number, which replaces a missing routing key.
    pub sequence_number: u64,
    /// When the client stops waiting for the response.
    pub hard_deadline: TenthMillis,
}

/// A sub-request that has arrived.
#[derive(Clone, Debug)]
pub struct NewSubRequest {
    /// The query that the sub-request belongs to.
    pub query: QueryIndex,
    /// The shard that the sub-request is for.
    pub shard: usize,
    /// The sub-request's share of the query's total weight, above 0 and at most 1.
    pub weight: f64,
}
