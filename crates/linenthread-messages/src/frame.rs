//! Frames: a length and one message.

use bytes::{Buf, BufMut, BytesMut};
use prost::Message;
use snafu::Snafu;

use crate::{Envelope, PeerMessage};

/// The longest frame in bytes: a snapshot of thousands of replicas and a configuration of thousands of routes fit.
pub const MAX_FRAME_LENGTH: usize = 16 << 20;

/// Bytes of a frame's length.
const LENGTH_BYTES: usize = 4;

/// Why bytes are no frame; the connection is of no more use.
#[derive(Debug, Snafu)]
pub enum FrameError {
    /// Its length is over [`MAX_FRAME_LENGTH`].
    #[snafu(display("a frame of {length} bytes is over the limit of {MAX_FRAME_LENGTH}"))]
    TooLong {
        /// The length that it states, in bytes.
        length: usize,
    },
    /// Its content is no [`Envelope`].
    #[snafu(display("a frame does not decode: {source}"))]
    Malformed {
        /// What the decoder found.
        source: prost::DecodeError,
    },
    /// The envelope holds no message that this version knows.
    #[snafu(display("a frame without a message"))]
    Empty,
}

/// Appends a message as a frame. Receivers reject one that is longer than [`MAX_FRAME_LENGTH`].
///
/// # Panics
/// Only where the buffer would be longer than the address space.
pub fn encode(message: PeerMessage, buffer: &mut BytesMut) {
    let envelope = Envelope {
        message: Some(message),
    };
    let length = envelope.encoded_len();
    buffer.reserve(length + LENGTH_BYTES);
    buffer.put_u32(u32::try_from(length).unwrap_or(u32::MAX));
    envelope
        .encode(buffer)
        .expect("a growing buffer has capacity for each message");
}

/// Takes one complete frame off the buffer, if one is there.
///
/// # Errors
/// A frame over the limit, or one that holds no message: the connection is of no more use.
pub fn decode(buffer: &mut BytesMut) -> Result<Option<PeerMessage>, FrameError> {
    let Some(prefix) = buffer.first_chunk::<LENGTH_BYTES>() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(*prefix) as usize;
    if length > MAX_FRAME_LENGTH {
        return TooLongSnafu { length }.fail();
    }
    if buffer.len() < LENGTH_BYTES + length {
        return Ok(None);
    }
    buffer.advance(LENGTH_BYTES);
    let frame = buffer.split_to(length);
    match Envelope::decode(&frame[..]) {
        Ok(Envelope {
            message: Some(message),
        }) => Ok(Some(message)),
        Ok(Envelope { message: None }) => EmptySnafu.fail(),
        Err(source) => Err(FrameError::Malformed { source }),
    }
}
