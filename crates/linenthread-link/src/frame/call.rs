//! Calls, their outcomes, and health checks.

use linenthread_core::interface::AttemptOutcome;
use linenthread_frames::{Decoder, Encoder};

use crate::id::{CallNumber, ProbeId};

/// Bytes that a call counts against the credit beside its texts, for its record at the server.
const CALL_OVERHEAD_BYTES: usize = 64;

/// A sub-request to a replica behind the link.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// The replica's id, as the server lists it.
    pub replica: String,
    /// The id of the query that the sub-request belongs to.
    pub query: String,
    /// The shard that is queried.
    pub shard: u32,
    /// How many times the shard was queried before for the same query, for further results.
    pub continuation: u32,
    /// The sub-request's text.
    pub text: String,
}

impl Call {
    /// The bytes that count against the credit.
    pub fn credit_bytes(&self) -> u64 {
        let bytes = self.replica.len() + self.query.len() + self.text.len() + CALL_OVERHEAD_BYTES;
        bytes as u64
    }
}

/// A call as it is sent.
#[derive(Clone, Debug, PartialEq)]
pub struct CallRequest {
    /// The call's number in its session.
    pub number: CallNumber,
    /// Milliseconds until the caller gives up, less the way to the server.
    pub remaining_ms: u32,
    /// The call.
    pub call: Call,
}

impl CallRequest {
    pub(super) fn encode(&self, put: &mut Encoder) {
        put.u64(self.number.0);
        put.u32(self.remaining_ms);
        put.text(&self.call.replica);
        put.text(&self.call.query);
        put.u32(self.call.shard);
        put.u32(self.call.continuation);
        put.long_text(&self.call.text);
    }

    pub(super) fn decode(take: &mut Decoder<'_>) -> Result<CallRequest, String> {
        Ok(CallRequest {
            number: CallNumber(take.u64()?),
            remaining_ms: take.u32()?,
            call: Call {
                replica: take.text()?,
                query: take.text()?,
                shard: take.u32()?,
                continuation: take.u32()?,
                text: take.long_text()?,
            },
        })
    }
}

/// How a call ended at the server.
#[derive(Clone, Debug, PartialEq)]
pub struct CallOutcome {
    /// The call's number in its session.
    pub number: CallNumber,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// Sub-requests that the replica says it has queued, where it does.
    pub queue_depth: Option<f64>,
    /// The response; empty if there is none.
    pub value: String,
}

impl CallOutcome {
    pub(super) fn encode(&self, put: &mut Encoder) {
        put.u64(self.number.0);
        put.u8(outcome_code(self.outcome));
        put.optional_f64(self.queue_depth);
        put.long_text(&self.value);
    }

    pub(super) fn decode(take: &mut Decoder<'_>) -> Result<CallOutcome, String> {
        Ok(CallOutcome {
            number: CallNumber(take.u64()?),
            outcome: decode_outcome(take)?,
            queue_depth: take.optional_f64()?,
            value: take.long_text()?,
        })
    }
}

/// How a health check ended at the server.
#[derive(Clone, Debug, PartialEq)]
pub struct ProbeOutcome {
    /// The probe's id.
    pub id: ProbeId,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// Sub-requests that the replica says it has queued, where it does.
    pub queue_depth: Option<f64>,
}

impl ProbeOutcome {
    pub(super) fn encode(&self, put: &mut Encoder) {
        put.u64(self.id.0);
        put.u8(outcome_code(self.outcome));
        put.optional_f64(self.queue_depth);
    }

    pub(super) fn decode(take: &mut Decoder<'_>) -> Result<ProbeOutcome, String> {
        Ok(ProbeOutcome {
            id: ProbeId(take.u64()?),
            outcome: decode_outcome(take)?,
            queue_depth: take.optional_f64()?,
        })
    }
}

/// The outcome as a byte of a frame.
fn outcome_code(outcome: AttemptOutcome) -> u8 {
    match outcome {
        AttemptOutcome::Success => 0,
        AttemptOutcome::Error => 1,
        AttemptOutcome::Rejected => 2,
        AttemptOutcome::TimedOut => 3,
        AttemptOutcome::ConnectFailed => 4,
        AttemptOutcome::ConnectionLost => 5,
        AttemptOutcome::Cancelled => 6,
        AttemptOutcome::NotSent => 7,
    }
}

fn decode_outcome(take: &mut Decoder<'_>) -> Result<AttemptOutcome, String> {
    Ok(match take.u8()? {
        0 => AttemptOutcome::Success,
        1 => AttemptOutcome::Error,
        2 => AttemptOutcome::Rejected,
        3 => AttemptOutcome::TimedOut,
        4 => AttemptOutcome::ConnectFailed,
        5 => AttemptOutcome::ConnectionLost,
        6 => AttemptOutcome::Cancelled,
        7 => AttemptOutcome::NotSent,
        code => return Err(format!("an ending cannot be {code}")),
    })
}
