//! The clients, their queries, and the checks of what they receive.

use std::collections::BTreeMap;
use std::time::Duration;

use linenthread_core::interface::{
    AttemptOutcome, Completeness, Continuation, NewQuery, NewSubRequest, QueryIndex,
    SubRequestIndex, TenthMillis,
};
use linenthread_fakes::checker::{self, PagedRead, ShardWeight};
use linenthread_fakes::row_store::{Donation, RowStore};
use linenthread_merge::{
    Acceptance, Aggregation, CursorSigner, MergeQuery, Merger, PageRequest, Plan, QueriedShard,
};
use oorandom::Rand64;
use serde_json::Value;

use super::Options;
use super::plans::{self, GROUPS, MAX_GROUPS, ROWS, TOTALS};
use super::simulated_replicas::{
    AttemptFate, Decision, Event, MAX_ATTEMPTS, ReplicaBehavior, SHARDS, SimulatedReplicas,
};

/// Clients at once, each with rows of its own.
const CLIENTS: usize = 6;
/// After so long, in tenths of a millisecond, a client gives its query up.
const HARD_DEADLINE: TenthMillis = 9_000;
/// The most rows that a shard has at first.
const MAX_SHARD_ROWS: u64 = 14;
/// The most violations that are printed.
const MAX_PRINTED: usize = 10;
/// The time of day for cursors, in seconds since 1970: it stands still.
const UNIX_SECONDS: u64 = 1_000;
/// Longer than the time of day ever moves.
const CURSOR_LIFETIME: Duration = Duration::from_secs(1 << 40);
/// What a replica with a fault responds.
const INVALID_VALUE: &str = "{\"rows\":[{}],\"totals\":1}";
/// What a second copy responds: it must not count.
const OTHER_VALUE: &str = "{\"rows\":[],\"more\":false}";

/// A query that has not been released.
struct OpenQuery<'p> {
    merger: Merger<'p>,
    client: usize,
    page_size: usize,
    hard_deadline: TenthMillis,
    answered: bool,
    /// How many attempts were made of each sub-request.
    attempts: BTreeMap<usize, usize>,
    /// What each attempt, by sub-request and number, has asked for.
    requests: BTreeMap<(usize, usize), Request>,
}

#[derive(Clone, Default)]
struct Request {
    continuation: u32,
    text: String,
}

/// A client that reads on, page by page.
struct Client {
    ledger: RowStore,
    /// The queried shards with their weights.
    shards: Vec<ShardWeight>,
    /// The index that it reads.
    plan: usize,
    reading: PagedRead,
    /// Rows added since the first page.
    added: Vec<Donation>,
    cursor: Option<String>,
    /// The most rows that its replicas give at once.
    max_rows: usize,
}

/// What became of all queries.
#[derive(Default)]
pub(super) struct Statistics {
    pub(super) queries: usize,
    pub(super) complete: usize,
    pub(super) partial: usize,
    pub(super) cut: usize,
    pub(super) refused: usize,
    pub(super) continuations: usize,
    pub(super) duplicates: usize,
    pub(super) violations: usize,
}

/// One run.
pub(super) struct Simulation<'p> {
    options: &'p Options,
    plans: &'p [Plan],
    signer: CursorSigner,
    fleet: SimulatedReplicas,
    open: BTreeMap<usize, OpenQuery<'p>>,
    clients: Vec<Client>,
    statistics: Statistics,
    /// Indices of released queries, which may be used again.
    free_indices: Vec<usize>,
    /// How many indices there are.
    indices: usize,
}

/// A random number below the bound, or 0.
fn draw_below(rng: &mut Rand64, bound: usize) -> usize {
    let drawn = rng.rand_range(0..bound.max(1) as u64);
    usize::try_from(drawn).unwrap_or_default()
}

impl<'p> Simulation<'p> {
    pub(super) fn new(
        options: &'p Options,
        plans: &'p [Plan],
        manner: ReplicaBehavior,
        rng: &mut Rand64,
    ) -> Simulation<'p> {
        let secret = b"a secret of the drill".to_vec();
        let mut client = || Client {
            ledger: RowStore::new(rng, SHARDS, MAX_SHARD_ROWS),
            shards: Vec::new(),
            plan: ROWS,
            reading: PagedRead::new(&[]),
            added: Vec::new(),
            cursor: None,
            max_rows: 4,
        };
        Simulation {
            options,
            plans,
            signer: CursorSigner::new(vec![secret], CURSOR_LIFETIME).expect("long enough"),
            clients: (0..CLIENTS).map(|_| client()).collect(),
            fleet: SimulatedReplicas::new(
                plans::index_configs(options.floor),
                options.seed,
                manner,
            ),
            open: BTreeMap::new(),
            statistics: Statistics::default(),
            free_indices: Vec::new(),
            indices: 0,
        }
    }

    pub(super) fn run(mut self) -> Statistics {
        let mut first_query_at = 0;
        for client in 0..CLIENTS {
            first_query_at += 1;
            self.fleet.schedule(first_query_at, Event::Client(client));
        }
        while self.statistics.queries < self.options.lookups || !self.open.is_empty() {
            self.step();
        }
        self.statistics
    }

    fn step(&mut self) {
        for event in self.fleet.next() {
            match event {
                Event::Client(client) if self.statistics.queries < self.options.lookups => {
                    self.make_query(client);
                }
                Event::AttemptEnded(query, sub_request, attempt, fate) => {
                    self.on_attempt_ended(query, sub_request, attempt, fate);
                }
                _ => {}
            }
        }
        for decision in self.fleet.step() {
            self.on_decision(&decision);
        }
    }

    fn violated(&mut self, query: usize, violation: &str) {
        self.statistics.violations += 1;
        if self.statistics.violations <= MAX_PRINTED {
            println!("breach at lookup {query}: {violation}");
            println!(
                "  again: linenthread-simulation merged {}",
                self.options.arguments()
            );
        }
    }

    /// A client's next query: the next page, perhaps after rows were added, or the first of another reading.
    fn make_query(&mut self, index: usize) {
        let client = &mut self.clients[index];
        let rng = &mut self.fleet.rng;
        if client.cursor.is_none() {
            client.begin_reading(rng);
        } else if draw_below(rng, 2) == 0 {
            client.add_row(rng);
        }
        let plans = self.plans;
        let plan = &plans[client.plan];
        let page_size = 1 + draw_below(rng, 9);
        let page = PageRequest {
            rows: matches!(plan.aggregation, Aggregation::Rows(_)).then_some(page_size),
            cursor: client.cursor.clone(),
        };
        let shards: Vec<QueriedShard> = client
            .shards
            .iter()
            .map(|&ShardWeight { shard, weight }| QueriedShard { shard, weight })
            .collect();
        let merge_query = MergeQuery {
            customer: None,
            key: None,
            text: &plan.index,
            shards: &shards,
            shard_count: SHARDS,
        };
        let query = self.free_indices.pop().unwrap_or_else(|| {
            self.indices += 1;
            self.indices - 1
        });
        self.statistics.queries += 1;
        match Merger::new(plan, &merge_query, &page, Some(&self.signer), UNIX_SECONDS) {
            Ok(merger) => self.submit(query, index, merger, page_size),
            Err(error) => {
                client.cursor = None;
                self.fleet.schedule(1, Event::Client(index));
                self.violated(query, &format!("not begun: {error}"));
            }
        }
    }

    fn submit(&mut self, query: usize, client: usize, merger: Merger<'p>, page_size: usize) {
        let hard_deadline = self.fleet.now + HARD_DEADLINE;
        self.fleet.inputs.queries.push(NewQuery {
            query: QueryIndex(query),
            index: self.clients[client].plan,
            customer: 0,
            key: Some(client as u64),
            sequence_number: query as u64,
            hard_deadline,
        });
        let sub_request = |&ShardWeight { shard, weight }: &ShardWeight| NewSubRequest {
            query: QueryIndex(query),
            shard,
            weight,
        };
        let sub_requests = self.clients[client].shards.iter().map(sub_request);
        self.fleet.inputs.sub_requests.extend(sub_requests);
        let open = OpenQuery {
            merger,
            client,
            page_size,
            hard_deadline,
            answered: false,
            attempts: BTreeMap::new(),
            requests: BTreeMap::new(),
        };
        self.open.insert(query, open);
    }

    fn on_attempt_ended(
        &mut self,
        query: usize,
        sub_request: usize,
        attempt: usize,
        fate: AttemptFate,
    ) {
        let Some(open) = self.open.get_mut(&query) else {
            return;
        };
        if !self.fleet.is_in_flight(query, sub_request, attempt) {
            return;
        }
        let client = &self.clients[open.client];
        let request = open.requests.get(&(sub_request, attempt));
        let request = request.cloned().unwrap_or_default();
        let mut violation = None;
        let outcome = match fate {
            AttemptFate::Success | AttemptFate::DuplicateSuccess | AttemptFate::MalformedValue => {
                let valid = client.respond(sub_request, &request.text);
                let value = if fate == AttemptFate::MalformedValue {
                    INVALID_VALUE
                } else {
                    &valid
                };
                let acceptance = open.merger.accept(sub_request, request.continuation, value);
                if fate != AttemptFate::MalformedValue
                    && let Acceptance::Invalid(error) = &acceptance
                {
                    violation = Some(format!("a good value is not read: {error}: {value}"));
                }
                if fate == AttemptFate::DuplicateSuccess && violation.is_none() {
                    self.statistics.duplicates += 1;
                    violation = open.accept_duplicate(sub_request, request.continuation);
                }
                match acceptance {
                    Acceptance::Invalid(_) => fate.outcome(),
                    Acceptance::Counted | Acceptance::Duplicate { .. } => AttemptOutcome::Success,
                }
            }
            _ => {
                open.merger.fail(sub_request);
                fate.outcome()
            }
        };
        let continuations = open.merger.take_continuations();
        self.statistics.continuations += continuations.len();
        let continuations = continuations.into_iter().map(|index| Continuation {
            query: QueryIndex(query),
            sub_request: SubRequestIndex(index),
        });
        self.fleet.inputs.continuations.extend(continuations);
        self.fleet.complete(query, sub_request, attempt, outcome);
        if let Some(violation) = violation {
            self.violated(query, &violation);
        }
    }

    fn on_decision(&mut self, decision: &Decision) {
        match *decision {
            Decision::Send {
                query,
                sub_request,
                attempt,
            } => self.on_attempt(query, sub_request, attempt),
            Decision::Release { query } => {
                self.free_indices.push(query);
                let open = self.open.remove(&query);
                if open.is_some_and(|open| !open.answered) {
                    self.violated(query, "released without an answer");
                }
            }
            Decision::Respond {
                query,
                completeness,
            } => {
                if self.on_answered(query) {
                    self.check_response(query, completeness);
                }
            }
            Decision::Reject { query } | Decision::Fail { query } => {
                if self.on_answered(query) {
                    self.statistics.refused += 1;
                    let client = self.open[&query].client;
                    self.clients[client].cursor = None;
                }
            }
        }
    }

    fn on_attempt(&mut self, query: usize, sub_request: usize, attempt: usize) {
        let Some(open) = self.open.get_mut(&query) else {
            return;
        };
        let request = Request {
            continuation: open.merger.continuation(sub_request),
            text: open.merger.request_text(sub_request),
        };
        open.requests.insert((sub_request, attempt), request);
        let attempts = open.attempts.entry(sub_request).or_default();
        *attempts += 1;
        if *attempts > MAX_ATTEMPTS || open.answered {
            self.violated(query, "a part is sent too often, or after the answer");
        }
    }

    /// Marks a query as answered, and schedules its client's next one; false if there is no such query.
    fn on_answered(&mut self, query: usize) -> bool {
        let Some(open) = self.open.get_mut(&query) else {
            return false;
        };
        let was_answered = std::mem::replace(&mut open.answered, true);
        let is_late = was_answered || self.fleet.now > open.hard_deadline;
        let client = open.client;
        let pause = 1 + draw_below(&mut self.fleet.rng, 100);
        let pause = TenthMillis::try_from(pause).unwrap_or(TenthMillis::MAX);
        self.fleet.schedule(pause, Event::Client(client));
        if is_late {
            self.violated(query, "answered late or a second time");
        }
        true
    }

    /// Checks a response against the full data; `completeness` is what the decision module says of it.
    fn check_response(&mut self, query: usize, completeness: Completeness) {
        let Some(open) = self.open.get(&query) else {
            return;
        };
        let client = &mut self.clients[open.client];
        let body = open
            .merger
            .response(completeness, Some(&self.signer), UNIX_SECONDS);
        let response: Value = serde_json::from_slice(&body).unwrap_or_default();
        let checked = client.check(&response, self.options.floor, open.page_size);
        client.cursor = response["next"].as_str().map(str::to_owned);
        let has_ended = client.plan == ROWS && client.cursor.is_none();
        let ended = if has_ended {
            client
                .reading
                .check_end(&client.ledger, &client.added)
                .map_err(|error| error.to_string())
        } else {
            Ok(())
        };
        let is_complete = response["finished"] == Value::Bool(true);
        self.statistics.complete += usize::from(is_complete);
        self.statistics.partial += usize::from(!is_complete);
        self.statistics.cut += usize::from(response["cut"].is_object());
        let is_marked_truly = completeness == Completeness::Complete || !is_complete;
        let is_bounded = open.merger.retained_rows() <= open.page_size;
        let result = checked.and(ended).and_then(|()| {
            if is_marked_truly && is_bounded {
                Ok(())
            } else {
                Err("whole beyond the module's word, or more held than a page".into())
            }
        });
        if let Err(violation) = result {
            client.cursor = None;
            self.violated(query, &format!("{violation}\n  {response}"));
        }
    }
}

impl OpenQuery<'_> {
    /// A second copy with another value must not count; the violation if it does.
    fn accept_duplicate(&mut self, sub_request: usize, continuation: u32) -> Option<String> {
        match self.merger.accept(sub_request, continuation, OTHER_VALUE) {
            Acceptance::Duplicate { .. } => None,
            other => Some(format!("a second answer is taken: {other:?}")),
        }
    }
}

impl Client {
    /// Chooses an index and shards at random, and now and then other data.
    fn begin_reading(&mut self, rng: &mut Rand64) {
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
            self.ledger = RowStore::new(rng, SHARDS, MAX_SHARD_ROWS);
        }
    }

    /// Adds a row to one of the queried shards.
    fn add_row(&mut self, rng: &mut Rand64) {
        let shard = self.shards[draw_below(rng, self.shards.len())].shard;
        let row = self.ledger.add(rng, shard);
        self.added.push(row);
    }

    /// A replica's response to a sub-request.
    fn respond(&self, sub_request: usize, text: &str) -> String {
        let shard = self.shards[sub_request].shard;
        self.ledger.respond(shard, text, self.max_rows)
    }

    /// Checks a response against the full data.
    fn check(&mut self, response: &Value, floor: f64, page_size: usize) -> Result<(), String> {
        let Client {
            ledger,
            shards,
            reading,
            ..
        } = self;
        match self.plan {
            ROWS => reading.check_page(ledger, shards, floor, page_size, response),
            TOTALS => checker::check_totals(ledger, shards, floor, response),
            _ => checker::check_groups(ledger, shards, floor, MAX_GROUPS, response),
        }
        .map_err(|error| error.to_string())
    }
}
