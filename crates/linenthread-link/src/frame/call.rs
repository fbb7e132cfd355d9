//! Calls, their outcomes, and health checks.

use linenthread_core::interface::AttemptOutcome;
use linenthread_frames::{Decoder, Encoder};

use super::error::{FrameError, UnknownOutcomeSnafu};
use crate::id::{CallNumber, ProbeId};

/// The bytes that a call uses of the credit in addition to its texts, for its record at the server.
const CALL_OVERHEAD_BYTES: usize = 64;

/// A sub-request to a replica behind the link.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// The replica's id, as the server lists it.
    pub replica: String,
    /// The id of the sub-request's query.
    pub query: String,
    /// The queried shard.
    pub shard: u32,
    /// How many times the same query has queried the shard before, to get further results.
    pub continuation: u32,
    /// The sub-request's text.
    pub text: String,
}

impl Call {
    /// Returns how many bytes of the credit the call uses.
    pub fn credit_bytes(&self) -> u64 {
        let bytes = self.replica.len() + self.query.len() + self.text.len() + CALL_OVERHEAD_BYTES;
        bytes as u64
    }
}

/// A call with its number and remaining time, as sent to the server.
#[derive(Clone, Debug, PartialEq)]
pub struct CallRequest {
    /// The call's number in its session.
    pub number: CallNumber,
    /// Milliseconds until the caller's deadline, less the time that the frame takes to the server.
    pub remaining_ms: u32,
    /// The call.
    pub call: Call,
}

impl CallRequest {
    pub(super) fn encode(&self, encoder: &mut Encoder) {
        encoder.u64(self.number.0);
        encoder.u32(self.remaining_ms);
        encoder.text(&self.call.replica);
        encoder.text(&self.call.query);
        encoder.u32(self.call.shard);
        encoder.u32(self.call.continuation);
        encoder.long_text(&self.call.text);
    }

    pub(super) fn decode(decoder: &mut Decoder<'_>) -> Result<CallRequest, FrameError> {
        Ok(CallRequest {
            number: CallNumber(decoder.u64()?),
            remaining_ms: decoder.u32()?,
            call: Call {
                replica: decoder.text()?,
                query: decoder.text()?,
                shard: decoder.u32()?,
                continuation: decoder.u32()?,
                text: decoder.long_text()?,
            },
        })
    }
}

/// The outcome of a call at the server.
#[derive(Clone, Debug, PartialEq)]
pub struct CallOutcome {
    /// The call's number in its session.
    pub number: CallNumber,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// The number of sub-requests queued at the replica, if it reports it.
    pub queue_depth: Option<f64>,
    /// The response; empty if there is none.
    pub value: String,
}

impl CallOutcome {
    pub(super) fn encode(&self, encoder: &mut Encoder) {
        encoder.u64(self.number.0);
        encoder.u8(outcome_code(self.outcome));
        encoder.optional_f64(self.queue_depth);
        encoder.long_text(&self.value);
    }

    pub(super) fn decode(decoder: &mut Decoder<'_>) -> Result<CallOutcome, FrameError> {
        Ok(CallOutcome {
            number: CallNumber(decoder.u64()?),
            outcome: decode_outcome(decoder)?,
            queue_depth: decoder.optional_f64()?,
            value: decoder.long_text()?,
        })
    }
}

/// The outcome of a health check at the server.
#[derive(Clone, Debug, PartialEq)]
pub struct ProbeOutcome {
    /// The probe's id.
    pub id: ProbeId,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// The number of sub-requests queued at the replica, if it reports it.
    pub queue_depth: Option<f64>,
}

impl ProbeOutcome {
    pub(super) fn encode(&self, encoder: &mut Encoder) {
        encoder.u64(self.id.0);
        encoder.u8(outcome_code(self.outcome));
        encoder.optional_f64(self.queue_depth);
    }

    pub(super) fn decode(decoder: &mut Decoder<'_>) -> Result<ProbeOutcome, FrameError> {
        Ok(ProbeOutcome {
            id: ProbeId(decoder.u64()?),
            outcome: decode_outcome(decoder)?,
            queue_depth: decoder.optional_f64()?,
        })
    }
}

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

fn decode_outcome(decoder: &mut Decoder<'_>) -> Result<AttemptOutcome, FrameError> {
    Ok(match decoder.u8()? {
        0 => AttemptOutcome::Success,
        1 => AttemptOutcome::Error,
        2 => AttemptOutcome::Rejected,
        3 => AttemptOutcome::TimedOut,
        4 => AttemptOutcome::ConnectFailed,
        5 => AttemptOutcome::ConnectionLost,
        6 => AttemptOutcome::Cancelled,
        7 => AttemptOutcome::NotSent,
        code => return UnknownOutcomeSnafu { code }.fail(),
    })
}
