//! Records queries and sub-requests that arrive, continuations, and cancellations by clients.

use super::Coordinator;
use super::windows::LONG_TIME_CONSTANT;
use crate::interface::{
    Continuation, Idempotency, NewQuery, NewSubRequest, QueryIndex, TenthMillis,
};
use crate::state::{Query, QueryStage, SubRequest, hash_ids};

/// How long before its deadline a response is sent.
///
/// Unit: 0.1 ms (15 ms). Reason: the response has to reach the client by the deadline.
pub(super) const DEADLINE_MARGIN: TenthMillis = 150;

impl Coordinator {
    pub(super) fn on_query(&mut self, new: &NewQuery) {
        let query_count = self.queries.len().max(new.query.0 + 1);
        self.queries.resize_with(query_count, || None);
        let soft_deadline = self.now + self.config.indexes[new.search_index.0].soft_deadline;
        self.queries[new.query] = Some(Query {
            search_index: new.search_index,
            customer: new.customer,
            key: new
                .key
                .unwrap_or_else(|| hash_ids([new.sequence_number, 0, 1])),
            soft_deadline: soft_deadline - DEADLINE_MARGIN,
            hard_deadline: new.hard_deadline - DEADLINE_MARGIN,
            ..Query::default()
        });
        self.open_queries.push(new.query);
        if let Some(queries) = self.fleet.customer_queries.get_mut(new.customer) {
            queries.record(self.now, LONG_TIME_CONSTANT, 1.0);
        }
    }

    pub(super) fn on_sub_request(&mut self, new: &NewSubRequest) {
        if let Some(query) = self.query_mut(new.query) {
            query.sub_requests.push(SubRequest {
                shard: new.shard,
                weight: new.weight,
                ..SubRequest::default()
            });
        }
    }

    /// Marks a sub-request that has succeeded to be repeated, if its search index permits repeats.
    pub(super) fn on_continuation(&mut self, continuation: Continuation) {
        if let Some(Some(query)) = self.queries.get_mut(continuation.query.0)
            && self.config.indexes[query.search_index.0].idempotency == Idempotency::Idempotent
            && let Some(sub_request) = query.sub_requests.get_mut(continuation.sub_request.0)
            && sub_request.succeeded
        {
            sub_request.continued_from = Some(sub_request.attempts.len());
        }
    }

    /// Ends a query whose client no longer waits: nothing more is sent and no response is given.
    pub(super) fn on_cancelled(&mut self, query_index: QueryIndex) {
        if let Some(query) = self.query_mut(query_index) {
            query.stage = QueryStage::Finished;
        }
    }
}
