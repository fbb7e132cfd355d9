//! A client that reads on, page by page.

use linenthread_core::interface::SubRequestIndex;
use linenthread_fakes::checker::{PagedRead, ShardWeight};
use linenthread_fakes::row_store::{Donation, RowStore};
use oorandom::Rand64;

use super::plans::{GROUPS, ROWS, TOTALS};
use super::settings::SHARDS;
use super::world::draw_below;

/// The most rows that a shard has at first.
pub(super) const MAX_SHARD_ROWS: u64 = 14;

/// A client that reads on, page by page.
pub(super) struct Client {
    /// The data of all shards.
    pub(super) rows: RowStore,
    /// The queried shards with their weights.
    pub(super) shards: Vec<ShardWeight>,
    /// The index that it reads.
    pub(super) plan: usize,
    pub(super) reading: PagedRead,
    /// Rows added since the first page.
    pub(super) added: Vec<Donation>,
    pub(super) cursor: Option<String>,
    /// The most rows that its replicas give at once.
    pub(super) max_rows: usize,
}

impl Client {
    /// Chooses an index and shards at random, and now and then other data.
    pub(super) fn begin_reading(&mut self, rng: &mut Rand64) {
        let mut shards: Vec<usize> = (0..SHARDS).filter(|_| draw_below(rng, 3) > 0).collect();
        if shards.is_empty() {
            shards.push(draw_below(rng, SHARDS));
        }
        let first = draw_below(rng, shards.len());
        shards.rotate_left(first);
        let weights: Vec<f64> = shards
            .iter()
            .map(|_| 1.0 + draw_below(rng, 4) as f64)
            .collect();
        let all: f64 = weights.iter().sum();
        let shares = weights.iter().map(|weight| weight / all);
        self.shards = shards
            .into_iter()
            .zip(shares)
            .map(|(shard, weight)| ShardWeight { shard, weight })
            .collect();
        // Rows are read as often as the others together.
        self.plan = [ROWS, ROWS, TOTALS, GROUPS][draw_below(rng, 4)];
        self.reading = PagedRead::new(&self.shards);
        self.added.clear();
        self.max_rows = 1 + draw_below(rng, 8);
        if draw_below(rng, 20) == 0 {
            self.rows = RowStore::new(rng, SHARDS, MAX_SHARD_ROWS);
        }
    }

    /// Adds a row to one of the queried shards.
    pub(super) fn add_row(&mut self, rng: &mut Rand64) {
        let shard = self.shards[draw_below(rng, self.shards.len())].shard;
        let row = self.rows.add(rng, shard);
        self.added.push(row);
    }

    /// A replica's response to a sub-request.
    pub(super) fn respond(
        &self,
        SubRequestIndex(sub_request): SubRequestIndex,
        text: &str,
    ) -> String {
        let shard = self.shards[sub_request].shard;
        self.rows.respond(shard, text, self.max_rows)
    }
}
