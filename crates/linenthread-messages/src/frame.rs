//! Framing: each frame is a length and one message.

use bytes::{Buf, BufMut, BytesMut};
use prost::Message;
use snafu::Snafu;

use crate::{Envelope, PeerMessage};

/// The maximum length of a frame, in bytes. A snapshot of thousands of replicas and a configuration of thousands of
/// routes fit.
pub const MAX_FRAME_LENGTH: usize = 16 << 20;

/// The size of the length prefix, in bytes.
const LENGTH_BYTES: usize = 4;

/// The reason why bytes are not a valid frame. The connection cannot be used any further.
#[derive(Debug, Snafu)]
pub enum FrameError {
    /// The length is over [`MAX_FRAME_LENGTH`].
    #[snafu(display("frame of {length} bytes exceeds the limit of {MAX_FRAME_LENGTH}"))]
    TooLong {
        /// The stated length, in bytes.
        length: usize,
    },
    /// The content does not decode as an [`Envelope`].
    #[snafu(display("cannot decode frame: {source}"))]
    Malformed {
        /// The error of the decoder.
        source: prost::DecodeError,
    },
    /// The envelope contains no message that this version knows.
    #[snafu(display("frame contains no known message"))]
    Empty,
}

/// Appends a message to the buffer as a frame. Receivers reject frames longer than [`MAX_FRAME_LENGTH`].
///
/// # Panics
/// Panics if the buffer would exceed the address space.
pub fn encode(message: PeerMessage, buffer: &mut BytesMut) {
    let envelope = Envelope {
        message: Some(message),
    };
    let length = envelope.encoded_len();
    buffer.reserve(length + LENGTH_BYTES);
    buffer.put_u32(u32::try_from(length).unwrap_or(u32::MAX));
    envelope.encode(buffer).expect("the buffer grows as needed");
}

/// Removes one complete frame from the start of the buffer and decodes it. Returns `None` if the frame is incomplete.
///
/// # Errors
/// Fails if the frame is over the limit or contains no valid message. The connection cannot be used any further.
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
