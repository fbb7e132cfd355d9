//! Merged responses while replicas are slow and faulty, and rows are added.

use std::time::Duration;

use linenthread_fakes::checker::{self, PagedRead};
use linenthread_fakes::row_store::{Donation, RowStore};
use linenthread_fakes::{Behavior, SubRequest};
use oorandom::Rand64;
use serde_json::{Value, json};

use crate::cluster::Cluster;
use crate::{FLOOR, SHARDS, weights};

/// The index "history" twice, as its pages are read in chains.
const INDEXES: [&str; 4] = ["history", "history", "pledges", "charities"];
/// The most rows that a page is requested with.
const MAX_LIMIT: usize = 8;
/// The statuses of a query that was rejected, or has failed.
const WITHOUT_RESPONSE: [u16; 2] = [502, 503];

/// A random index of a list.
fn random_index(rng: &mut Rand64, count: usize) -> usize {
    let index = rng.rand_range(0..u64::try_from(count).unwrap());
    usize::try_from(index).unwrap()
}

/// A fault, or a response after a random delay, which seldom exceeds the time that a query waits.
fn faulty(mut rng: Rand64) -> impl FnMut(&SubRequest) -> (Duration, Behavior) + Send {
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
        (Duration::from_micros(rng.rand_range(0..8_000)), behavior)
    }
}

/// How many queries were sent, had a response, and had one that lacks shards.
#[derive(Default)]
struct Counts {
    sent: usize,
    answered: usize,
    partial: usize,
}

/// A client that queries a cluster with faults and checks every response; rejected and failed queries have none.
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
            self.read_chain();
        }
        self.counts
    }

    /// Reads a chain of pages, with rows added between them, or queries totals or groups once.
    fn read_chain(&mut self) {
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

    /// About two thirds of the shards, and at least one.
    fn random_shards(&mut self) -> Vec<usize> {
        let mut shards: Vec<usize> = (0..SHARDS)
            .filter(|_| self.rng.rand_range(0..3) > 0)
            .collect();
        if shards.is_empty() {
            shards.push(0);
        }
        shards
    }

    /// Sends one query; `None` where it was rejected or has failed.
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
        let (status, answer) = self.cluster.query(index, &id, shards, index, &page);
        if status == 200 {
            self.counts.answered += 1;
            self.counts.partial += usize::from(answer["finished"] == json!(false));
            return Some(answer);
        }
        assert!(
            WITHOUT_RESPONSE.contains(&status),
            "seed {}, query {}: {status} {answer}",
            self.seed,
            self.counts.sent
        );
        None
    }

    /// Checks a response against all rows.
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
        self.cluster.change_rows(|rows| rows.add(rng, shard))
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
