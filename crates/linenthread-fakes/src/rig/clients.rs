//! Clients of a rig, each of which queries one process, and the outcomes of their queries.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::{Duration, Instant};

use linenthread_hash::fnv1a_64;
use oorandom::Rand64;
use serde_json::{Value, json};

use super::layout::SHARDS;
use crate::program::{FIND, ORDER};
use crate::random::random_index;
use crate::sync::lock;
use crate::{Client, ClientResponse, request};

/// The placement key in requests created by [`request`].
const DEFAULT_PLACEMENT_KEY: &str = "7f3a9c21e0b4d655";
/// The number of shards of an idempotent query.
const SHARDS_PER_QUERY: usize = 3;
/// The distance between the shards of an idempotent query.
const SHARD_STRIDE: usize = 5;
/// On average, one in this many queries is non-idempotent.
const QUERIES_PER_NON_IDEMPOTENT: u64 = 4;

/// The outcome of one query of a client.
#[derive(Clone, Debug, PartialEq)]
pub struct QueryOutcome {
    /// The trace id.
    pub id: String,
    /// The zone of the process that was queried.
    pub zone: usize,
    /// Whether the query must be executed at most once.
    pub non_idempotent: bool,
    /// The shards that were queried.
    pub shards: Vec<usize>,
    /// The HTTP status; `None` if the connection ended without a response.
    pub status: Option<u16>,
    /// How long the client waited.
    pub latency: Duration,
    /// When the query was sent.
    pub sent_at: Instant,
    /// Whether the response is reported as complete.
    pub complete: bool,
    /// The shards of which the response has a value.
    pub answered_shards: Vec<usize>,
    /// Whether the process was up both before and after the query.
    pub process_stayed_up: bool,
}

impl QueryOutcome {
    /// Reports whether the query succeeded.
    pub fn succeeded(&self) -> bool {
        self.status == Some(200)
    }

    fn read_response(&mut self, response: &ClientResponse) {
        self.status = Some(response.status);
        let body: Value = serde_json::from_str(&response.body).unwrap_or_default();
        self.complete = body["finished"] == json!(true);
        let found = body["found"].as_array().into_iter().flatten();
        self.answered_shards = found.filter_map(found_shard).collect();
    }
}

/// Returns the shard of a value in a response, or `None` if the value belongs to another shard.
fn found_shard(value: &Value) -> Option<usize> {
    let shard = usize::try_from(value["bucket"].as_u64()?).ok()?;
    value
        .to_string()
        .contains(&format!("v{shard}"))
        .then_some(shard)
}

/// The state that the rig shares with the threads of all clients.
#[derive(Clone, Default)]
pub(super) struct SharedState {
    pub(super) outcomes: Arc<Mutex<Vec<QueryOutcome>>>,
    pub(super) stopping: Arc<AtomicBool>,
    /// Whether each process is expected to respond.
    pub(super) up: Arc<Mutex<Vec<bool>>>,
}

/// A client that queries one process.
pub(super) struct QueryLoop {
    pub(super) process: usize,
    pub(super) zone: usize,
    pub(super) http: SocketAddr,
    pub(super) rng: Rand64,
    pub(super) interval: Duration,
    pub(super) shared: SharedState,
}

impl QueryLoop {
    /// Starts a thread that sends queries one after another until the rig stops.
    pub(super) fn start(mut self) -> JoinHandle<()> {
        spawn(move || {
            let mut number = 0;
            while !self.shared.stopping.load(Ordering::SeqCst) {
                sleep(self.interval);
                if !self.is_up() {
                    continue;
                }
                number += 1;
                let id = format!("c{}x{number}", self.process);
                let outcome = self.query(id);
                lock(&self.shared.outcomes).push(outcome);
            }
        })
    }

    fn is_up(&self) -> bool {
        lock(&self.shared.up)[self.process]
    }

    /// Sends a random query on a new connection and waits for its outcome.
    fn query(&mut self, id: String) -> QueryOutcome {
        let non_idempotent = self.rng.rand_range(0..QUERIES_PER_NON_IDEMPOTENT) == 0;
        let first = random_index(&mut self.rng, SHARDS);
        let shards = if non_idempotent {
            vec![first]
        } else {
            (0..SHARDS_PER_QUERY)
                .map(|k| (first + k * SHARD_STRIDE) % SHARDS)
                .collect()
        };
        let sent_at = Instant::now();
        let mut outcome = QueryOutcome {
            id,
            zone: self.zone,
            non_idempotent,
            shards,
            status: None,
            latency: Duration::ZERO,
            sent_at,
            complete: false,
            answered_shards: Vec::new(),
            process_stayed_up: true,
        };
        self.exchange(&mut outcome);
        outcome.latency = sent_at.elapsed();
        outcome.process_stayed_up = self.is_up();
        outcome
    }

    fn exchange(&self, outcome: &mut QueryOutcome) {
        let Some(mut client) = Client::try_connect(self.http) else {
            return;
        };
        let index = if outcome.non_idempotent { ORDER } else { FIND };
        // Each query has its own placement key, so that all replicas are used.
        let key = format!("{:016x}", fnv1a_64(outcome.id.as_bytes()));
        let request =
            request(index, &outcome.id, &outcome.shards).replace(DEFAULT_PLACEMENT_KEY, &key);
        if client.try_send(&request)
            && let Some(response) = client.read_response()
        {
            outcome.read_response(&response);
        }
    }
}
