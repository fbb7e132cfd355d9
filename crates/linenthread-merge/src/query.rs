//! The query to merge, with its shards and the requested page.

use crate::cursor::{self, CursorScope};
use crate::plan::Plan;

/// A shard that is queried.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueriedShard {
    /// The shard's number.
    pub shard: usize,
    /// The shard's share of the query's weight.
    pub weight: f64,
}

/// The parts of a client's query that matter for merging.
#[derive(Clone, Debug)]
pub struct MergeQuery<'a> {
    /// The customer, if the query names one.
    pub customer: Option<&'a str>,
    /// The routing key, if the query has one.
    pub key: Option<&'a str>,
    /// The client's text, sent to every shard.
    pub text: &'a str,
    /// The queried shards, in the client's order; the index in this list is the number of the sub-request.
    pub shards: &'a [QueriedShard],
    /// The total number of shards, queried or not.
    pub shard_count: usize,
}

/// The requested page.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PageRequest {
    /// The maximum number of rows on the page; `None` for the plan's default.
    pub rows: Option<usize>,
    /// The cursor from the response with the previous page; `None` for the first page.
    pub cursor: Option<String>,
}

impl MergeQuery<'_> {
    /// Returns the scope in which a cursor of this query is valid.
    pub(crate) fn cursor_scope(&self, plan: &Plan) -> CursorScope {
        // The prefix distinguishes an empty text from an absent one.
        let optional = |text: Option<&str>| {
            text.map_or_else(Vec::new, |text| [b"+", text.as_bytes()].concat())
        };
        let shards: Vec<u8> = by_shard(self.shards, |queried| queried.shard)
            .into_iter()
            .flat_map(|index| (self.shards[index].shard as u64).to_be_bytes())
            .collect();
        CursorScope {
            query: cursor::hash(&[
                plan.index.as_bytes(),
                plan.order_fingerprint().as_bytes(),
                &optional(self.customer),
                &optional(self.key),
                self.text.as_bytes(),
            ]),
            shards: cursor::hash(&[&(self.shard_count as u64).to_be_bytes(), &shards]),
        }
    }
}

/// Returns the indices of sub-requests in the order of their shards, in which a cursor lists positions.
pub(crate) fn by_shard<T>(sub_requests: &[T], shard: impl Fn(&T) -> usize) -> Vec<usize> {
    let mut order: Vec<usize> = (0..sub_requests.len()).collect();
    order.sort_by_key(|&index| shard(&sub_requests[index]));
    order
}
