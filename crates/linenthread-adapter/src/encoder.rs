//! Encodes the decisions of one co-ordinator.

use linenthread_core::DecisionSink;
use linenthread_core::interface::{
    Completeness, QueryIndex, ReplicaIndex, SubRequestIndex, TenthMillis,
};

use crate::ids::IdTable;
use crate::reply::{Reply, action};

/// A [`DecisionSink`] that writes the decisions of one instance to the reply.
pub(crate) struct Encoder<'a> {
    pub(crate) instance: u32,
    pub(crate) ids: &'a mut IdTable,
    pub(crate) reply: &'a mut Reply,
}

/// Units of [`TenthMillis`] in a millisecond.
const TENTHS_PER_MS: f64 = 10.0;

/// Encodes a time in milliseconds, the unit on the wire.
fn millis(time: TenthMillis) -> [u8; 8] {
    (time as f64 / TENTHS_PER_MS).to_be_bytes()
}

impl Encoder<'_> {
    fn query_record(&mut self, code: u8, query: QueryIndex) -> &mut Reply {
        let id = self.ids.query_ids(query).query;
        self.reply
            .record(code, self.instance)
            .put(&id.to_be_bytes())
    }

    fn sub_request_record(
        &mut self,
        code: u8,
        query: QueryIndex,
        sub_request: SubRequestIndex,
    ) -> &mut Reply {
        let id = self.ids.query_ids(query).sub_requests[sub_request.0];
        self.reply
            .record(code, self.instance)
            .put(&id.to_be_bytes())
    }

    fn replica_record(&mut self, code: u8, replica: ReplicaIndex) {
        let id = self.ids.replica_id(replica);
        self.reply
            .record(code, self.instance)
            .put(&id.to_be_bytes());
    }
}

impl DecisionSink for Encoder<'_> {
    fn send(
        &mut self,
        query: QueryIndex,
        sub_request: SubRequestIndex,
        replica: ReplicaIndex,
        timeout: TenthMillis,
    ) {
        let id = self.ids.replica_id(replica);
        self.sub_request_record(action::SEND, query, sub_request)
            .put(&id.to_be_bytes())
            .put(&millis(timeout));
    }

    fn cancel(&mut self, query: QueryIndex, sub_request: SubRequestIndex, attempt: usize) {
        let attempt = u8::try_from(attempt).unwrap_or(u8::MAX);
        self.sub_request_record(action::CANCEL, query, sub_request)
            .put(&[attempt]);
    }

    fn respond(&mut self, query: QueryIndex, completeness: Completeness) {
        self.query_record(action::RESPOND, query)
            .put(&[u8::from(completeness == Completeness::Complete)]);
    }

    fn reject(&mut self, query: QueryIndex, retry_after: Option<TenthMillis>) {
        self.query_record(action::REJECT, query)
            .put(&millis(retry_after.unwrap_or(0)));
    }

    fn fail(&mut self, query: QueryIndex) {
        self.query_record(action::FAIL, query);
    }

    fn release(&mut self, query: QueryIndex) {
        self.ids.release_query(query);
    }

    fn probe(&mut self, replica: ReplicaIndex) {
        self.replica_record(action::PROBE, replica);
    }

    fn close_idle(&mut self, replica: ReplicaIndex) {
        self.replica_record(action::CLOSE_IDLE, replica);
    }

    fn watch_membership(&mut self) {
        let subscribe = 1;
        self.reply
            .record(action::WATCH, self.instance)
            .put(&[subscribe]);
    }

    fn wake_at(&mut self, at: TenthMillis) {
        // Each instance has a single timer.
        let label: u64 = 0;
        self.reply
            .record(action::WAKE_AT, self.instance)
            .put(&label.to_be_bytes())
            .put(&millis(at));
    }
}
