//! A client that reads an index page by page.

use linenthread_core::interface::SubRequestIndex;
use linenthread_fakes::checker::{PagedRead, ShardWeight};
use linenthread_fakes::row_store::{Donation, RowStore};
use oorandom::Rand64;

use super::plans::{GROUPS, ROWS, TOTALS};
use super::settings::SHARDS;
use crate::number;
use crate::random;

/// The maximum number of rows that a shard has initially.
pub(super) const MAX_SHARD_ROWS: u64 = 14;

/// A client that reads an index page by page.
pub(super) struct Client {
    /// The data of all shards.
    pub(super) rows: RowStore,
    /// The queried shards with their weights.
    pub(super) shards: Vec<ShardWeight>,
    /// The position of its index in the plans.
    pub(super) plan: usize,
    pub(super) reading: PagedRead,
    /// The rows added since the first page.
    pub(super) added: Vec<Donation>,
    pub(super) cursor: Option<String>,
    /// The maximum number of rows in a response of its replicas.
    pub(super) max_rows: usize,
}

impl Client {
    /// Starts a new paged read: draws an index and shards, and in one of 20 cases replaces the data.
    pub(super) fn begin_reading(&mut self, rng: &mut Rand64) {
        let mut shards: Vec<usize> = (0..SHARDS).filter(|_| random::index(rng, 3) > 0).collect();
        if shards.is_empty() {
            shards.push(random::index(rng, SHARDS));
        }
        let first = random::index(rng, shards.len());
        shards.rotate_left(first);
        let weights: Vec<f64> = shards
            .iter()
            .map(|_| 1.0 + number::to_f64(random::index(rng, 4)))
            .collect();
        let all: f64 = weights.iter().sum();
        let normalized = weights.iter().map(|weight| weight / all);
        self.shards = shards
            .into_iter()
            .zip(normalized)
            .map(|(shard, weight)| ShardWeight { shard, weight })
            .collect();
        // Rows are read as often as totals and groups together.
        self.plan = [ROWS, ROWS, TOTALS, GROUPS][random::index(rng, 4)];
        self.reading = PagedRead::new(&self.shards);
        self.added.clear();
        self.max_rows = 1 + random::index(rng, 8);
        if random::index(rng, 20) == 0 {
            self.rows = RowStore::new(rng, SHARDS, MAX_SHARD_ROWS);
        }
    }

    /// Adds a row to one of the queried shards.
    pub(super) fn add_row(&mut self, rng: &mut Rand64) {
        let shard = self.shards[random::index(rng, self.shards.len())].shard;
        let row = self.rows.add_random_row(rng, shard);
        self.added.push(row);
    }

    /// Returns a replica's response to a sub-request.
    pub(super) fn respond(
        &self,
        SubRequestIndex(sub_request): SubRequestIndex,
        text: &str,
    ) -> String {
        let shard = self.shards[sub_request].shard;
        self.rows.respond(shard, text, self.max_rows)
    }
}
