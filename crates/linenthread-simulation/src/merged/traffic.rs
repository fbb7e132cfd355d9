//! Queries of clients, the attempts of their sub-requests, and the responses.

use std::collections::BTreeMap;

use linenthread_core::interface::{
    AttemptOutcome, Continuation, NewQuery, NewSubRequest, QueryIndex, SearchIndex,
    SubRequestIndex, TenthMillis,
};
use linenthread_fakes::checker::ShardWeight;
use linenthread_merge::{Aggregation, MergeQuery, Merger, PageRequest, QueriedShard};

use super::decision::Attempt;
use super::event::Event;
use super::fault::DrawnOutcome;
use super::invariant::{Invariant, Violation};
use super::open_query::{OpenQuery, Request};
use super::settings::{MAX_ATTEMPTS, SHARDS};
use super::world::{UNIX_SECONDS, World};
use crate::number;
use crate::random;

/// The hard deadline of a query relative to its start, in tenths of a millisecond.
const HARD_DEADLINE: TenthMillis = 9_000;
/// The value that a faulty replica returns.
const INVALID_VALUE: &str = "{\"rows\":[{}],\"totals\":1}";

impl<'p> World<'p> {
    /// Makes a client's next query: the next page, in half of the cases after a row was added, or the first page of a
    /// new read.
    pub(super) fn make_query(&mut self, client_index: usize) {
        let client = &mut self.clients[client_index];
        let rng = &mut self.replicas.rng;
        if client.cursor.is_none() {
            client.begin_reading(rng);
        } else if random::index(rng, 2) == 0 {
            client.add_row(rng);
        }
        let plans = self.plans;
        let plan = &plans[client.plan];
        let page_size = 1 + random::index(rng, 9);
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
            self.index_count += 1;
            QueryIndex(self.index_count - 1)
        });
        self.statistics.queries += 1;
        match Merger::new(plan, &merge_query, &page, Some(&self.signer), UNIX_SECONDS) {
            Ok(merger) => self.submit(query, client_index, merger, page_size),
            Err(error) => {
                client.cursor = None;
                let retry = Event::NextQuery {
                    client: client_index,
                };
                self.replicas.schedule(1, retry);
                let violation = Violation::new(Invariant::QueriesStart, error.to_string());
                self.report_violation(query, &violation);
            }
        }
    }

    /// Submits a query to the decision module.
    fn submit(&mut self, query: QueryIndex, client: usize, merger: Merger<'p>, page_size: usize) {
        let hard_deadline = self.replicas.now + HARD_DEADLINE;
        self.replicas.inputs.queries.push(NewQuery {
            query,
            search_index: SearchIndex(self.clients[client].plan),
            customer: 0,
            key: Some(number::to_u64(client)),
            sequence_number: number::to_u64(query.0),
            hard_deadline,
        });
        let sub_request = |&ShardWeight { shard, weight }: &ShardWeight| NewSubRequest {
            query,
            shard,
            weight,
        };
        let sub_requests = self.clients[client].shards.iter().map(sub_request);
        self.replicas.inputs.sub_requests.extend(sub_requests);
        let open_query = OpenQuery {
            merger,
            client,
            page_size,
            hard_deadline,
            is_completed: false,
            attempts: BTreeMap::new(),
            requests: BTreeMap::new(),
        };
        self.open_queries.insert(query, open_query);
    }

    /// Records an attempt that the decision module has sent, and checks *bounded-attempts*.
    pub(super) fn on_attempt_sent(&mut self, attempt: Attempt) {
        let Some(open_query) = self.open_queries.get_mut(&attempt.query) else {
            return;
        };
        let SubRequestIndex(sub_request) = attempt.sub_request;
        let request = Request {
            continuation: open_query.merger.continuation(sub_request),
            text: open_query.merger.request_text(sub_request),
        };
        open_query.requests.insert(attempt, request);
        let attempts = open_query.attempts.entry(attempt.sub_request).or_default();
        *attempts += 1;
        if *attempts > MAX_ATTEMPTS || open_query.is_completed {
            let violation = Violation::new(
                Invariant::BoundedAttempts,
                "a sub-request is sent too often, or after the response",
            );
            self.report_violation(attempt.query, &violation);
        }
    }

    /// Ends an attempt: passes its value to the merger and its outcome to the decision module.
    pub(super) fn on_attempt_completed(&mut self, attempt: Attempt, drawn: DrawnOutcome) {
        if !self.replicas.is_in_flight(&attempt) {
            return;
        }
        let Some(open_query) = self.open_queries.get_mut(&attempt.query) else {
            return;
        };
        let Attempt {
            query, sub_request, ..
        } = attempt;
        let request = open_query
            .requests
            .get(&attempt)
            .cloned()
            .unwrap_or_default();
        let mut violation = None;
        let is_accepted = match drawn {
            DrawnOutcome::Success | DrawnOutcome::DuplicateSuccess => {
                let value = self.clients[open_query.client].respond(sub_request, &request.text);
                let accepted = open_query.accept_valid(sub_request, &request, &value);
                violation = accepted.violation;
                if drawn == DrawnOutcome::DuplicateSuccess && violation.is_none() {
                    self.statistics.duplicates += 1;
                    violation = open_query.accept_duplicate(sub_request, &request);
                }
                accepted.is_accepted
            }
            DrawnOutcome::MalformedValue => {
                open_query.try_accept(sub_request, &request, INVALID_VALUE)
            }
            _ => {
                open_query.merger.fail(sub_request.0);
                false
            }
        };
        let outcome = if is_accepted {
            AttemptOutcome::Success
        } else {
            drawn.outcome()
        };
        self.continue_sub_requests(query);
        self.replicas.complete_attempt(attempt, outcome);
        if let Some(violation) = violation {
            self.report_violation(query, &violation);
        }
    }

    /// Requests continuations from the decision module for the sub-requests of which the merger needs more rows.
    fn continue_sub_requests(&mut self, query: QueryIndex) {
        let Some(open_query) = self.open_queries.get_mut(&query) else {
            return;
        };
        let continuations = open_query.merger.take_continuations();
        self.statistics.continuations += continuations.len();
        let continuations = continuations.into_iter().map(|index| Continuation {
            query,
            sub_request: SubRequestIndex(index),
        });
        self.replicas.inputs.continuations.extend(continuations);
    }

    /// Marks a query as completed and schedules its client's next one. Returns false if there is no such query.
    pub(super) fn on_completed(&mut self, query: QueryIndex) -> bool {
        let Some(open_query) = self.open_queries.get_mut(&query) else {
            return false;
        };
        let was_completed = std::mem::replace(&mut open_query.is_completed, true);
        let is_late = was_completed || self.replicas.now > open_query.hard_deadline;
        let client = open_query.client;
        let wait = 1 + random::time_below(&mut self.replicas.rng, 100);
        self.replicas.schedule(wait, Event::NextQuery { client });
        if is_late {
            let violation = Violation::new(
                Invariant::OneResponseInTime,
                "responded late or a second time",
            );
            self.report_violation(query, &violation);
        }
        true
    }
}
