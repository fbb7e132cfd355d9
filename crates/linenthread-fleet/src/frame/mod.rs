//! The messages between two processes of a fleet, specified in `docs/fleet.md`.

mod handshake;
mod progress;
mod raft_message;

use linenthread_frames::{Decoder, Encoder, Nonce, Proof, drain_frames, encode_frame};
use raft::eraftpb::Message;
use snafu::ensure;

use crate::error::{RecordError, ReportTooLongSnafu, UnknownFrameSnafu};
use crate::identifiers::{FoundersDigest, VoterIncarnation};
use crate::state_table::CommittedValue;
pub use handshake::{Hello, Role};
pub use progress::Progress;
pub(crate) use raft_message::{decode_entry, decode_snapshot, encode_entry, encode_snapshot};

/// The protocol version that this package implements.
pub const VERSION: u8 = 1;
/// Maximum length of a frame, in bytes; a longer one ends the connection.
pub const MAX_FRAME_BYTES: usize = 1024 * 1024;
/// Maximum length of a report, in bytes.
pub const MAX_REPORT_BYTES: usize = 64 * 1024;

/// Values of a frame's kind byte.
mod kind {
    pub(super) const CHALLENGE: u8 = 1;
    pub(super) const HELLO: u8 = 2;
    pub(super) const WELCOME: u8 = 3;
    pub(super) const REFUSE: u8 = 4;
    pub(super) const PROGRESS: u8 = 5;
    pub(super) const RAFT: u8 = 6;
    pub(super) const COMMITTED: u8 = 7;
    pub(super) const REPORT: u8 = 8;
    pub(super) const PING: u8 = 9;
    pub(super) const PONG: u8 = 10;
}

/// One message of the protocol.
#[derive(Clone, Debug, PartialEq)]
pub enum Frame {
    /// The first frame of the accepting side.
    Challenge {
        /// The lowest version that it supports.
        min_version: u8,
        /// The highest version that it supports.
        max_version: u8,
        /// The nonce that the hello's proof must cover.
        nonce: Nonce,
        /// Its name.
        name: String,
    },
    /// The reply to the challenge.
    Hello(Hello),
    /// The reply to the hello, which establishes the connection.
    Welcome {
        /// Proves knowledge of the shared secret.
        proof: Proof,
    },
    /// From either side: the sender closes the connection.
    Refuse {
        /// Why, for the peer's log.
        reason: String,
    },
    /// Between voters: the sender's progress towards participating in Raft.
    Progress {
        /// The sender's progress.
        progress: Progress,
        /// The incarnation of the sender's identity; a founder's if it has no identity yet.
        incarnation: VoterIncarnation,
        /// Digest of the founders' names in the sender's configuration.
        founders: FoundersDigest,
    },
    /// Between voters: a Raft message.
    Raft(Box<Message>),
    /// From a voter to a follower: a committed value.
    Committed(CommittedValue),
    /// A report for the leader.
    Report {
        /// The report.
        bytes: Vec<u8>,
    },
    /// Requests a [`Frame::Pong`].
    Ping {
        /// The number that the pong repeats.
        number: u64,
    },
    /// The reply to a [`Frame::Ping`].
    Pong {
        /// The ping's number.
        number: u64,
    },
}

impl Frame {
    /// Encodes the frame, preceded by its length.
    pub fn encode(&self) -> Vec<u8> {
        encode_frame(self.kind(), |encoder| self.encode_fields(encoder))
    }

    fn kind(&self) -> u8 {
        match self {
            Frame::Challenge { .. } => kind::CHALLENGE,
            Frame::Hello(_) => kind::HELLO,
            Frame::Welcome { .. } => kind::WELCOME,
            Frame::Refuse { .. } => kind::REFUSE,
            Frame::Progress { .. } => kind::PROGRESS,
            Frame::Raft(_) => kind::RAFT,
            Frame::Committed(_) => kind::COMMITTED,
            Frame::Report { .. } => kind::REPORT,
            Frame::Ping { .. } => kind::PING,
            Frame::Pong { .. } => kind::PONG,
        }
    }

    fn encode_fields(&self, encoder: &mut Encoder) {
        match self {
            Frame::Challenge {
                min_version,
                max_version,
                nonce,
                name,
            } => {
                encoder.raw([*min_version, *max_version]);
                encoder.raw(nonce);
                encoder.text(name);
            }
            Frame::Hello(hello) => {
                hello.encode(encoder);
            }
            Frame::Welcome { proof } => encoder.raw(proof),
            Frame::Refuse { reason } => encoder.text(reason),
            Frame::Progress {
                progress,
                incarnation,
                founders,
            } => {
                progress.encode(encoder);
                encoder.u64(incarnation.0);
                encoder.u64(founders.0);
            }
            Frame::Raft(message) => raft_message::encode_message(message, encoder),
            Frame::Committed(committed) => {
                encoder.text(&committed.topic);
                encoder.u64(committed.number);
                encoder.bytes(&committed.value);
            }
            Frame::Report { bytes } => encoder.bytes(bytes),
            Frame::Ping { number } | Frame::Pong { number } => encoder.u64(*number),
        }
    }

    /// Decodes a frame from its kind and fields, without the length.
    ///
    /// # Errors
    /// The bytes are not a valid frame.
    pub fn decode(fields: &[u8]) -> Result<Frame, RecordError> {
        let mut decoder = Decoder::new(fields);
        let frame = match decoder.u8()? {
            kind::CHALLENGE => Frame::Challenge {
                min_version: decoder.u8()?,
                max_version: decoder.u8()?,
                nonce: decoder.array()?,
                name: decoder.text()?,
            },
            kind::HELLO => Frame::Hello(Hello::decode(&mut decoder)?),
            kind::WELCOME => Frame::Welcome {
                proof: decoder.array()?,
            },
            kind::REFUSE => Frame::Refuse {
                reason: decoder.text()?,
            },
            kind::PROGRESS => Frame::Progress {
                progress: Progress::decode(&mut decoder)?,
                incarnation: VoterIncarnation(decoder.u64()?),
                founders: FoundersDigest(decoder.u64()?),
            },
            kind::RAFT => Frame::Raft(Box::new(raft_message::decode_message(&mut decoder)?)),
            kind::COMMITTED => Frame::Committed(CommittedValue {
                topic: decoder.text()?,
                number: decoder.u64()?,
                value: decoder.bytes()?.to_vec(),
            }),
            kind::REPORT => Frame::Report {
                bytes: decode_report(&mut decoder)?,
            },
            kind::PING => Frame::Ping {
                number: decoder.u64()?,
            },
            kind::PONG => Frame::Pong {
                number: decoder.u64()?,
            },
            kind => return UnknownFrameSnafu { kind }.fail(),
        };
        decoder.finish()?;
        Ok(frame)
    }

    /// Removes all complete frames from the buffer and passes them to `handle` in order; an incomplete one stays.
    ///
    /// # Errors
    /// A frame is invalid; those before it have been passed to `handle`.
    pub fn drain(buffer: &mut Vec<u8>, mut handle: impl FnMut(Frame)) -> Result<(), RecordError> {
        drain_frames(buffer, MAX_FRAME_BYTES, |fields| {
            handle(Frame::decode(fields)?);
            Ok(())
        })
    }
}

fn decode_report(decoder: &mut Decoder) -> Result<Vec<u8>, RecordError> {
    let bytes = decoder.bytes()?;
    let length = bytes.len();
    ensure!(length <= MAX_REPORT_BYTES, ReportTooLongSnafu { length });
    Ok(bytes.to_vec())
}
