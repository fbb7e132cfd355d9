//! The messages of the protocol and their encoding.
//!
//! A frame consists of its length in four bytes, one byte for its kind, and its fields. Numbers are big-endian. A text
//! is preceded by its length in two bytes; the text of a call and the value of an outcome by a length in four bytes.
//! Options may follow the fields, each with its kind in one byte, its length in two, and its content; unknown options
//! are skipped. `docs/link.md` has worked examples, which the tests compare with the encoding.

mod call;
mod error;
mod handshake;
mod member;

use linenthread_frames::{self as frames, DecodeError, Decoder, Encoder};

use crate::id::{CallNumber, ProbeId};

pub use call::{Call, CallOutcome, CallRequest, ProbeOutcome};
pub use error::FrameError;
use error::UnknownKindSnafu;
pub use handshake::{Challenge, Hello, Welcome};
pub use member::{Member, MembersUpdate};

/// The protocol version that this crate implements.
pub const VERSION: u8 = 1;
/// The maximum length of a frame in bytes, without its length field; a longer one ends the connection.
pub const MAX_FRAME_LENGTH: usize = 128 * 1024;
/// The maximum number of replicas in a [`MembersUpdate`]; further ones are not sent.
pub const MAX_MEMBERS: usize = 4_096;

/// The byte that encodes the kind of a frame.
mod kind {
    pub(super) const CHALLENGE: u8 = 1;
    pub(super) const HELLO: u8 = 2;
    pub(super) const WELCOME: u8 = 3;
    pub(super) const REFUSE: u8 = 4;
    pub(super) const CALL: u8 = 5;
    pub(super) const WITHDRAW: u8 = 6;
    pub(super) const OUTCOME: u8 = 7;
    pub(super) const ACK: u8 = 8;
    pub(super) const CREDIT: u8 = 9;
    pub(super) const PING: u8 = 10;
    pub(super) const PONG: u8 = 11;
    pub(super) const MEMBERS: u8 = 12;
    pub(super) const PROBE: u8 = 13;
    pub(super) const PROBED: u8 = 14;
    pub(super) const GOODBYE: u8 = 15;
}

/// One message of the protocol.
#[derive(Clone, Debug, PartialEq)]
pub enum Frame {
    /// Sent by the server as the first frame on a connection.
    Challenge(Challenge),
    /// Sent by the client in reply to the challenge.
    Hello(Hello),
    /// Sent by the server in reply to the hello; the connection is established.
    Welcome(Welcome),
    /// Sent by either end when it refuses the connection or closes it because of an error.
    Refuse {
        /// The reason, for the peer's log.
        reason: String,
    },
    /// Sent by the client to run a call.
    Call(CallRequest),
    /// Sent by the client when it no longer needs the outcome of a call.
    Withdraw {
        /// The call.
        number: CallNumber,
    },
    /// Sent by the server when a call has ended.
    Outcome(CallOutcome),
    /// Sent by the client to acknowledge outcomes, which the server then need not retain.
    Ack {
        /// The calls; only the first 65,535 are sent.
        numbers: Vec<CallNumber>,
    },
    /// Sent by the server for flow control. Both limits count from the session's start.
    Credit(Credit),
    /// Sent by either end to request a pong.
    Ping {
        /// Returned in the pong.
        sequence: u64,
    },
    /// Sent in reply to a ping.
    Pong {
        /// The ping's sequence number.
        sequence: u64,
    },
    /// Sent by the server to list the replicas that it can reach.
    Members(MembersUpdate),
    /// Sent by the client to check a replica's health.
    Probe {
        /// Returned with the outcome.
        id: ProbeId,
        /// The replica's id, as the server lists it.
        replica: String,
    },
    /// Sent by the server with the outcome of a probe.
    Probed(ProbeOutcome),
    /// Sent by either end when it drains: it starts and accepts nothing new, but running calls complete.
    Goodbye,
}

/// The limits of what a client may send in a session, counted from the session's start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Credit {
    /// The last call that may be sent.
    pub last_call: CallNumber,
    /// The bytes of calls that may be sent; see [`Call::credit_bytes`].
    pub bytes: u64,
}

impl Frame {
    /// Encodes the frame, with its length in front.
    pub fn encode(&self) -> Vec<u8> {
        frames::encode_frame(self.kind(), |encoder| self.encode_fields(encoder))
    }

    /// Decodes the first frame in the bytes read, and returns it with the number of bytes that it occupies; `None` if
    /// it is incomplete.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a valid frame; the connection can no longer be used.
    pub fn decode(read: &[u8]) -> Result<Option<(Frame, usize)>, FrameError> {
        let Some(first) = frames::first_frame(read, MAX_FRAME_LENGTH)? else {
            return Ok(None);
        };
        Ok(Some((
            Frame::decode_fields(first.fields)?,
            first.encoded_bytes,
        )))
    }

    /// Removes all complete frames from the front of `read` and passes each to `receive`, in order.
    ///
    /// # Errors
    ///
    /// Fails at the first invalid frame; `receive` has been called for the frames before it.
    pub fn drain(read: &mut Vec<u8>, mut receive: impl FnMut(Frame)) -> Result<(), FrameError> {
        frames::drain_frames(read, MAX_FRAME_LENGTH, |fields| {
            receive(Frame::decode_fields(fields)?);
            Ok(())
        })
    }

    fn kind(&self) -> u8 {
        match self {
            Frame::Challenge(_) => kind::CHALLENGE,
            Frame::Hello(_) => kind::HELLO,
            Frame::Welcome(_) => kind::WELCOME,
            Frame::Refuse { .. } => kind::REFUSE,
            Frame::Call(_) => kind::CALL,
            Frame::Withdraw { .. } => kind::WITHDRAW,
            Frame::Outcome(_) => kind::OUTCOME,
            Frame::Ack { .. } => kind::ACK,
            Frame::Credit(_) => kind::CREDIT,
            Frame::Ping { .. } => kind::PING,
            Frame::Pong { .. } => kind::PONG,
            Frame::Members(_) => kind::MEMBERS,
            Frame::Probe { .. } => kind::PROBE,
            Frame::Probed(_) => kind::PROBED,
            Frame::Goodbye => kind::GOODBYE,
        }
    }

    fn encode_fields(&self, encoder: &mut Encoder) {
        match self {
            Frame::Challenge(challenge) => challenge.encode(encoder),
            Frame::Hello(hello) => hello.encode(encoder),
            Frame::Welcome(welcome) => welcome.encode(encoder),
            Frame::Refuse { reason } => encoder.text(reason),
            Frame::Call(request) => request.encode(encoder),
            Frame::Withdraw { number } => encoder.u64(number.0),
            Frame::Outcome(outcome) => outcome.encode(encoder),
            Frame::Ack { numbers } => encode_ack(numbers, encoder),
            Frame::Credit(credit) => {
                encoder.u64(credit.last_call.0);
                encoder.u64(credit.bytes);
            }
            Frame::Ping { sequence } | Frame::Pong { sequence } => encoder.u64(*sequence),
            Frame::Members(update) => update.encode(encoder),
            Frame::Probe { id, replica } => {
                encoder.u64(id.0);
                encoder.text(replica);
            }
            Frame::Probed(outcome) => outcome.encode(encoder),
            Frame::Goodbye => {}
        }
    }

    fn decode_fields(fields: &[u8]) -> Result<Frame, FrameError> {
        let mut decoder = Decoder::new(fields);
        let frame = match decoder.u8()? {
            kind::CHALLENGE => Frame::Challenge(Challenge::decode(&mut decoder)?),
            kind::HELLO => Frame::Hello(Hello::decode(&mut decoder)?),
            kind::WELCOME => Frame::Welcome(Welcome::decode(&mut decoder)?),
            kind::REFUSE => Frame::Refuse {
                reason: decoder.text()?,
            },
            kind::CALL => Frame::Call(CallRequest::decode(&mut decoder)?),
            kind::WITHDRAW => Frame::Withdraw {
                number: CallNumber(decoder.u64()?),
            },
            kind::OUTCOME => Frame::Outcome(CallOutcome::decode(&mut decoder)?),
            kind::ACK => Frame::Ack {
                numbers: decode_ack(&mut decoder)?,
            },
            kind::CREDIT => Frame::Credit(Credit {
                last_call: CallNumber(decoder.u64()?),
                bytes: decoder.u64()?,
            }),
            kind::PING => Frame::Ping {
                sequence: decoder.u64()?,
            },
            kind::PONG => Frame::Pong {
                sequence: decoder.u64()?,
            },
            kind::MEMBERS => Frame::Members(MembersUpdate::decode(&mut decoder)?),
            kind::PROBE => Frame::Probe {
                id: ProbeId(decoder.u64()?),
                replica: decoder.text()?,
            },
            kind::PROBED => Frame::Probed(ProbeOutcome::decode(&mut decoder)?),
            kind::GOODBYE => Frame::Goodbye,
            kind => return UnknownKindSnafu { kind }.fail(),
        };
        decoder.skip_options()?;
        Ok(frame)
    }
}

fn encode_ack(numbers: &[CallNumber], encoder: &mut Encoder) {
    // The count is two bytes wide, so that no more numbers can be sent.
    encoder.count(numbers.len());
    for number in numbers.iter().take(usize::from(u16::MAX)) {
        encoder.u64(number.0);
    }
}

fn decode_ack(decoder: &mut Decoder<'_>) -> Result<Vec<CallNumber>, DecodeError> {
    let count = decoder.u16()?;
    (0..count).map(|_| decoder.u64().map(CallNumber)).collect()
}
