//! Queries that several tests make.

use linenthread_merge::{MergeQuery, Merger, PageRequest, Plan, QueriedShard};

/// Shards 0, 1, ... of the same weight.
pub(crate) fn equal_shards(count: usize) -> Vec<QueriedShard> {
    let weight = 1.0 / count as f64;
    (0..count)
        .map(|shard| QueriedShard { shard, weight })
        .collect()
}

/// A query of all shards, and of the first page if it has pages.
pub(crate) fn begin<'p>(plan: &'p Plan, shards: &[QueriedShard]) -> Merger<'p> {
    let query = MergeQuery {
        customer: None,
        key: None,
        text: "q",
        shards,
        shard_count: shards.len(),
    };
    Merger::new(plan, &query, &PageRequest::default(), None, 0).unwrap()
}
