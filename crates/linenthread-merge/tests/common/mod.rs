//! Queries shared by several tests.

use linenthread_merge::{MergeQuery, Merger, PageRequest, Plan, QueriedShard};

/// Returns the shards 0, 1, ... with equal weights.
pub(crate) fn equal_shards(count: usize) -> Vec<QueriedShard> {
    let weight = 1.0 / count as f64;
    (0..count)
        .map(|shard| QueriedShard { shard, weight })
        .collect()
}

/// Begins the merge of a query of all shards, for the first page if the plan has pages.
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
