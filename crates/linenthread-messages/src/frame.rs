use bytes::{Buf, BufMut, BytesMut};
use prost::Message;
use snafu::Snafu;

use crate::{Envelope, PeerMessage};

/// No frame is longer: a snapshot of thousands of replicas and a configuration of thousands of routes fit.
pub const LONGEST: usize = 16 << 20;

#[derive(Debug, Snafu)]
pub enum FrameFault {
    #[snafu(display("a frame of {length} bytes is over the bound"))]
    TooLong { length: usize },
    #[snafu(display("a frame does not decode: {source}"))]
    Malformed { source: prost::DecodeError },
    #[snafu(display("a frame without a word"))]
    Empty,
}

/// Writes a word as a frame.
pub fn encode(word: PeerMessage, to: &mut BytesMut) {
    let envelope = Envelope { word: Some(word) };
    let length = envelope.encoded_len();
    to.reserve(length + 4);
    to.put_u32(length as u32);
    envelope.encode(to).expect("room was made");
}

/// Takes one whole frame off the buffer, if one is there.
///
/// # Errors
/// A frame over the bound, or one that holds no word: the connection is of no more use.
pub fn decode(buffer: &mut BytesMut) -> Result<Option<PeerMessage>, FrameFault> {
    if buffer.len() < 4 {
        return Ok(None);
    }
    let length = u32::from_be_bytes([buffer[0], buffer[1], buffer[2], buffer[3]]) as usize;
    if length > LONGEST {
        return TooLongSnafu { length }.fail();
    }
    if buffer.len() < 4 + length {
        return Ok(None);
    }
    buffer.advance(4);
    let frame = buffer.split_to(length);
    match Envelope::decode(&frame[..]) {
        Ok(Envelope { word: Some(word) }) => Ok(Some(word)),
        Ok(_) => EmptySnafu.fail(),
        Err(source) => Err(FrameFault::Malformed { source }),
    }
}
