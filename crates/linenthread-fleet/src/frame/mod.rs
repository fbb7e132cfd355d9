//! The messages between two processes of a fleet; byte by byte in `docs/fleet.md`.

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

/// The protocol version that this package speaks.
pub const VERSION: u8 = 1;
/// The longest frame in bytes; a longer one ends the connection.
pub const MAX_FRAME_BYTES: usize = 1024 * 1024;
/// The longest report in bytes.
pub const MAX_REPORT_BYTES: usize = 64 * 1024;

/// The byte of a frame that says what it is.
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
    /// The first frame of the side that accepts.
    Challenge {
        /// The lowest version that it speaks.
        min_version: u8,
        /// The highest one.
        max_version: u8,
        /// What the hello has to prove itself over.
        nonce: Nonce,
        /// Its name.
        name: String,
    },
    /// The reply to the challenge.
    Hello(Hello),
    /// The reply to the hello; the connection is established.
    Welcome {
        /// Proves the shared secret.
        proof: Proof,
    },
    /// From either: its sender closes the connection.
    Refuse {
        /// Why, for the peer's log.
        reason: String,
    },
    /// Between voters: how far the sender has come.
    Progress {
        /// How far.
        progress: Progress,
        /// The incarnation of its identity; a founder's where it has no identity.
        incarnation: VoterIncarnation,
        /// A digest of the founders' names, as the sender is configured.
        founders: FoundersDigest,
    },
    /// Between voters: a message of Raft.
    Raft(Box<Message>),
    /// From a voter to a process that is none: a committed value.
    Committed(CommittedValue),
    /// A report on its way to the leader.
    Report {
        /// The report.
        bytes: Vec<u8>,
    },
    /// Asks for a [`Frame::Pong`].
    Ping {
        /// Repeated in the pong.
        number: u64,
    },
    /// The answer to a [`Frame::Ping`].
    Pong {
        /// The ping's number.
        number: u64,
    },
}

impl Frame {
    /// The encoded frame, its length first.
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

    /// The frame of these fields, its kind first and without its length.
    ///
    /// # Errors
    /// The fields are no frame.
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

    /// Removes all complete frames from the buffer and hands them to `handle` in their order; an incomplete one stays.
    ///
    /// # Errors
    /// The bytes are no frame; those before it were handed over.
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
