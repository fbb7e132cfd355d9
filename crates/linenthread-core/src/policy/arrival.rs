//! How queries and their sub-requests are recorded as they arrive, are continued and are cancelled by their clients.

use super::Coordinator;
use super::windows::LONG_TERM;
use crate::interface::{
    Continuation, Idempotency, NewQuery, NewSubRequest, QueryIndex, TenthMillis,
};
use crate::state::{Query, QueryStage, SubRequest, hash_ids};

/// How long before its deadline a response leaves.
///
/// Unit: 0.1 ms (15 ms). Reason: the response has to be at the client by then.
const DEADLINE_MARGIN: TenthMillis = 150;

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
            queries.record(self.now, LONG_TERM, 1.0);
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

    /// A sub-request that has succeeded is wanted once more: only where it may run again.
    pub(super) fn on_continuation(&mut self, wanted: Continuation) {
        if let Some(Some(query)) = self.queries.get_mut(wanted.query.0)
            && self.config.indexes[query.search_index.0].idempotency == Idempotency::Idempotent
            && let Some(sub_request) = query.sub_requests.get_mut(wanted.sub_request.0)
            && sub_request.succeeded
        {
            sub_request.continued_from = Some(sub_request.attempts.len());
        }
    }

    /// The client of a query has left: nothing more is sent or responded.
    pub(super) fn on_cancelled(&mut self, query_index: QueryIndex) {
        if let Some(query) = self.query_mut(query_index) {
            query.stage = QueryStage::Finished;
        }
    }
}
