//! Clients' queries, the attempts of their sub-requests, and the responses.

use std::collections::BTreeMap;

use linenthread_core::interface::{
    AttemptOutcome, Continuation, NewQuery, NewSubRequest, QueryIndex, SubRequestIndex, TenthMillis,
};
use linenthread_merge::{Acceptance, Aggregation, MergeQuery, Merger, PageRequest, QueriedShard};

use super::event::Event;
use super::fault::AttemptFate;
use super::open_query::{OpenQuery, Request};
use super::settings::{MAX_ATTEMPTS, SHARDS};
use super::world::{UNIX_SECONDS, World, draw_below};

/// After so long, in tenths of a millisecond, a client gives its query up.
const HARD_DEADLINE: TenthMillis = 9_000;
/// What a replica with a fault responds.
const INVALID_VALUE: &str = "{\"rows\":[{}],\"totals\":1}";

impl<'p> World<'p> {
    /// A client's next query: the next page, perhaps after rows were added, or the first of another reading.
    pub(super) fn make_query(&mut self, index: usize) {
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
        let shards: Vec<QueriedShard> = client.shards.iter().copied().map(Into::into).collect();
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
                self.violated(query, &format!("not started: {error}"));
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
        let sub_request = |&(shard, weight): &(usize, f64)| NewSubRequest {
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

    pub(super) fn on_attempt(&mut self, query: usize, sub_request: usize, attempt: usize) {
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
            self.violated(
                query,
                "a sub-request is sent too often, or after the response",
            );
        }
    }

    pub(super) fn on_attempt_ended(
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
                    violation = Some(format!("a valid value is not accepted: {error}: {value}"));
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

    /// Marks a query as answered, and schedules its client's next one; false if there is no such query.
    pub(super) fn on_answered(&mut self, query: usize) -> bool {
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
            self.violated(query, "responded late or a second time");
        }
        true
    }
}
