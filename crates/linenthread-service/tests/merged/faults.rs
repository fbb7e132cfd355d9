//! Merged responses while replicas are slow or faulty and rows are added.

use std::time::Duration;

use linenthread_fakes::checker::{self, PagedRead};
use linenthread_fakes::row_store::{Donation, RowStore};
use linenthread_fakes::{Behavior, MergedResponse, ScriptedBehavior, SubRequest};
use oorandom::Rand64;
use serde_json::{Value, json};

use crate::cluster::Cluster;
use crate::{FLOOR, SHARDS, weights};

/// The indexes to choose from. "history" is listed twice, as only its responses have pages.
const INDEXES: [&str; 4] = ["history", "history", "pledges", "charities"];
/// Maximum number of rows that are requested for a page.
const MAX_LIMIT: usize = 8;
/// The statuses of queries that were rejected or failed.
const FAILURE_STATUSES: [u16; 2] = [502, 503];

/// Returns a random index of a list with `count` elements.
fn random_index(rng: &mut Rand64, count: usize) -> usize {
    let index = rng.rand_range(0..u64::try_from(count).unwrap());
    usize::try_from(index).unwrap()
}

/// Chooses for each sub-request a random delay, which rarely exceeds the time that a query waits, and sometimes a
/// fault.
fn faulty(mut rng: Rand64) -> impl FnMut(&SubRequest) -> ScriptedBehavior + Send {
    move |_| {
        let behavior = match rng.rand_range(0..100) {
            0..2 => Behavior::RespondTwice,
            2..5 => Behavior::UnreadableValue,
            5..6 => Behavior::MalformedFrame,
            6..9 => Behavior::Fault,
            9..11 => Behavior::Overload,
            11..12 => Behavior::Disconnect,
            12..14 => Behavior::NoResponse,
            _ => Behavior::Respond,
        };
        let delay = Duration::from_micros(rng.rand_range(0..8_000));
        ScriptedBehavior { delay, behavior }
    }
}

#[derive(Default)]
struct Counts {
    sent: usize,
    /// Queries that were neither rejected nor failed.
    answered: usize,
    /// Answered queries whose response lacks shards.
    partial: usize,
}

/// A client that queries a cluster with faults and checks every response of queries that are neither rejected nor
/// failed.
struct Reader {
    seed: u128,
    rng: Rand64,
    cluster: Cluster,
    max_queries: usize,
    counts: Counts,
}

impl Reader {
    fn start(seed: u128, max_queries: usize) -> Reader {
        let mut rng = Rand64::new(seed);
        let rows = RowStore::new(&mut rng, SHARDS, 14);
        let cluster = Cluster::start(rows, 4, faulty(Rand64::new(seed + 1)));
        Reader {
            seed,
            rng,
            cluster,
            max_queries,
            counts: Counts::default(),
        }
    }

    fn read_all(mut self) -> Counts {
        while self.counts.sent < self.max_queries {
            self.read_pages();
        }
        self.counts
    }

    /// Reads successive pages and adds rows between them, or, for an index without pages, sends one query.
    fn read_pages(&mut self) {
        let shards = self.random_shards();
        let index = INDEXES[random_index(&mut self.rng, INDEXES.len())];
        let mut read = PagedRead::new(&weights(&shards));
        let (mut added, mut cursor) = (Vec::new(), Value::Null);
        loop {
            let limit = 1 + random_index(&mut self.rng, MAX_LIMIT);
            let Some(response) = self.query(index, &shards, limit, &cursor) else {
                return;
            };
            self.check(index, &shards, limit, &mut read, &response);
            cursor = response["next"].clone();
            if index == "history" && cursor.is_null() {
                read.check_end(&self.cluster.rows(), &added).unwrap();
            }
            if cursor.is_null() || self.counts.sent >= self.max_queries {
                return;
            }
            if self.rng.rand_range(0..2) == 0 {
                added.push(self.add_row(&shards));
            }
        }
    }

    /// Returns each shard with a probability of two thirds, and at least one shard.
    fn random_shards(&mut self) -> Vec<usize> {
        let mut shards: Vec<usize> = (0..SHARDS)
            .filter(|_| self.rng.rand_range(0..3) > 0)
            .collect();
        if shards.is_empty() {
            shards.push(0);
        }
        shards
    }

    /// Sends one query and returns its response, or `None` if it was rejected or failed.
    fn query(
        &mut self,
        index: &str,
        shards: &[usize],
        limit: usize,
        cursor: &Value,
    ) -> Option<Value> {
        self.counts.sent += 1;
        let id = format!("m{}-{}", self.seed, self.counts.sent);
        let page = if index == "history" {
            json!({"rows": limit, "after": cursor})
        } else {
            Value::Null
        };
        let MergedResponse {
            status,
            body: answer,
        } = self.cluster.query(index, &id, shards, index, &page);
        if status == 200 {
            self.counts.answered += 1;
            self.counts.partial += usize::from(answer["finished"] == json!(false));
            return Some(answer);
        }
        assert!(
            FAILURE_STATUSES.contains(&status),
            "seed {}, query {}: {status} {answer}",
            self.seed,
            self.counts.sent
        );
        None
    }

    /// Checks a response against all rows of the replicas.
    fn check(
        &self,
        index: &str,
        shards: &[usize],
        limit: usize,
        read: &mut PagedRead,
        answer: &Value,
    ) {
        let rows = self.cluster.rows();
        let weights = weights(shards);
        let checked = match index {
            "history" => read.check_page(&rows, &weights, FLOOR, limit, answer),
            "pledges" => checker::check_totals(&rows, &weights, FLOOR, answer),
            _ => checker::check_groups(&rows, &weights, FLOOR, 3, answer),
        };
        checked.unwrap_or_else(|violation| {
            let Reader { seed, counts, .. } = self;
            panic!(
                "seed {seed}, query {}, {index}: {violation}\n{answer}",
                counts.sent
            )
        });
    }

    /// Adds a row to one of the shards.
    fn add_row(&mut self, shards: &[usize]) -> Donation {
        let shard = shards[random_index(&mut self.rng, shards.len())];
        let rng = &mut self.rng;
        self.cluster
            .change_rows(|rows| rows.add_random_row(rng, shard))
    }
}

#[test]
fn merged_responses_match_the_full_data_under_delays_and_faults() {
    let readers: Vec<_> = (0..4)
        .map(|n| std::thread::spawn(move || Reader::start(7 + 10 * n, 100).read_all()))
        .collect();
    let mut total = Counts::default();
    for reader in readers {
        let counts = reader.join().unwrap();
        total.answered += counts.answered;
        total.partial += counts.partial;
    }
    let Counts {
        answered, partial, ..
    } = total;
    assert!(
        answered > 300 && partial > 0,
        "{answered} of 400 answered, {partial} partial"
    );
}
