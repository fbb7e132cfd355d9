//! Queries and their sub-requests as they arrive.

use super::{QueryIndex, SearchIndex, TenthMillis};

/// A query that has arrived.
#[derive(Clone, Debug)]
pub struct NewQuery {
    /// The query's index at this co-ordinator.
    pub query: QueryIndex,
    /// The search index it is for.
    pub search_index: SearchIndex,
    /// The number of the customer it is from.
    pub customer: usize,
    /// The routing key; `None` where the query carries none.
    pub key: Option<u64>,
    /// The query's own number, which replaces a routing key that it lacks.
    pub sequence_number: u64,
    /// When the client stops waiting for the response.
    pub hard_deadline: TenthMillis,
}

/// One more sub-request of a query.
#[derive(Clone, Debug)]
pub struct NewSubRequest {
    /// The query it belongs to.
    pub query: QueryIndex,
    /// The shard it is for.
    pub shard: usize,
    /// Its share of the query's whole weight, above 0 and up to 1.
    pub weight: f64,
}
