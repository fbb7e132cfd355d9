//! What is to be merged: the query with its shards, and which page is asked for.

use crate::cursor::{self, CursorScope};
use crate::plan::Plan;

/// A shard that is queried.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueriedShard {
    /// Its number.
    pub shard: usize,
    /// Its share of the query's weight.
    pub weight: f64,
}

/// What a client has asked, as far as merging is concerned.
#[derive(Clone, Debug)]
pub struct MergeQuery<'a> {
    /// The customer, if the query names one.
    pub customer: Option<&'a str>,
    /// The key, if the query has one.
    pub key: Option<&'a str>,
    /// The client's text for every shard.
    pub text: &'a str,
    /// The queried shards, in the client's order: each is a sub-request, numbered from 0.
    pub shards: &'a [QueriedShard],
    /// How many shards there are in all.
    pub shard_count: usize,
}

/// Which page is asked for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PageRequest {
    /// Rows on the page; `None` for the plan's default.
    pub rows: Option<usize>,
    /// The cursor in the response before; `None` for the first page.
    pub cursor: Option<String>,
}

impl MergeQuery<'_> {
    /// What a cursor of this query is valid for.
    pub(crate) fn cursor_scope(&self, plan: &Plan) -> CursorScope {
        // A text that is absent differs from one that is empty.
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

/// The indices of sub-requests in the order of their shards, in which a cursor lists them.
pub(crate) fn by_shard<T>(sub_requests: &[T], shard: impl Fn(&T) -> usize) -> Vec<usize> {
    let mut order: Vec<usize> = (0..sub_requests.len()).collect();
    order.sort_by_key(|&index| shard(&sub_requests[index]));
    order
}
