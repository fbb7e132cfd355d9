//! Incremental decoding of message bodies.

use bytes::{Buf, BytesMut};

use crate::{Framing, ParseError};

/// Maximum length of a chunk's size line or of a trailer line, in bytes. Only the size itself is used; chunk extensions
/// and trailers are ignored.
const MAX_LINE_BYTES: usize = 4_096;
/// Maximum initial capacity for a body with a stated length, in bytes. It is bounded because the peer may state any
/// length.
const MAX_RESERVED_BYTES: usize = 65_536;
const LINE_END: &[u8] = b"\r\n";

/// The part of the body that is expected next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// This many bytes of a body with a stated length.
    Bytes(u64),
    /// The size line of a chunk.
    ChunkSize,
    /// This many bytes of a chunk.
    Chunk(u64),
    /// The line end after a chunk.
    ChunkEnd,
    /// Trailer lines, up to an empty line.
    Trailers,
    /// All bytes until the connection is closed.
    UntilClose,
    /// Nothing: the body is complete.
    Complete,
}

/// A decoder for one body, which collects the bytes of the body.
#[derive(Debug)]
pub struct BodyReader {
    state: State,
    max_bytes: usize,
    bytes: Vec<u8>,
}

impl BodyReader {
    /// Returns a decoder for a body with this framing and at most `max_bytes` bytes.
    pub fn new(framing: Framing, max_bytes: usize) -> BodyReader {
        let (state, reserved) = match framing {
            Framing::Length(0) => (State::Complete, 0),
            Framing::Length(length) => (State::Bytes(length), bounded(length, MAX_RESERVED_BYTES)),
            Framing::Chunked => (State::ChunkSize, 0),
            Framing::UntilClose => (State::UntilClose, 0),
        };
        BodyReader {
            state,
            max_bytes,
            bytes: Vec::with_capacity(reserved),
        }
    }

    /// Consumes the bytes of the body from the buffer. Returns true once the body is complete.
    ///
    /// # Errors
    /// Fails if the chunks are malformed, or the body is longer than allowed.
    pub fn read_from(&mut self, buffer: &mut BytesMut) -> Result<bool, ParseError> {
        loop {
            let next = match self.state {
                State::Complete => return Ok(true),
                State::Bytes(left) => self.copy(left, buffer, State::Bytes, State::Complete)?,
                State::Chunk(left) => self.copy(left, buffer, State::Chunk, State::ChunkEnd)?,
                State::ChunkSize => read_chunk_size(buffer)?,
                State::ChunkEnd => read_chunk_end(buffer)?,
                State::Trailers => read_trailer(buffer)?,
                State::UntilClose => {
                    self.copy_all(buffer)?;
                    None
                }
            };
            match next {
                Some(state) => self.state = state,
                None => return Ok(false),
            }
        }
    }

    /// Handles an orderly close of the connection by the sender, after the bytes read so far. Returns true if the body
    /// is complete.
    pub fn on_close(&mut self) -> bool {
        if self.state == State::UntilClose {
            self.state = State::Complete;
        }
        self.state == State::Complete
    }

    /// Returns the bytes read so far, without the framing.
    pub fn into_bytes(self) -> Vec<u8> {
        self.bytes
    }

    /// Moves the whole buffer to the body.
    fn copy_all(&mut self, buffer: &mut BytesMut) -> Result<(), ParseError> {
        if self.bytes.len() + buffer.len() > self.max_bytes {
            return Err(ParseError::BodyTooLong);
        }
        self.bytes.extend_from_slice(buffer);
        buffer.clear();
        Ok(())
    }

    /// Moves up to `left` bytes from the buffer to the body. Returns the state `next` once none is missing; until then
    /// sets the state `unfinished` with the number of missing bytes and returns `None`.
    fn copy(
        &mut self,
        left: u64,
        buffer: &mut BytesMut,
        unfinished: impl FnOnce(u64) -> State,
        next: State,
    ) -> Result<Option<State>, ParseError> {
        let count = bounded(left, buffer.len());
        if self.bytes.len() + count > self.max_bytes || left > self.max_bytes as u64 {
            return Err(ParseError::BodyTooLong);
        }
        self.bytes.extend_from_slice(&buffer[..count]);
        buffer.advance(count);
        let left = left - count as u64;
        if left == 0 {
            return Ok(Some(next));
        }
        self.state = unfinished(left);
        Ok(None)
    }
}

/// Converts a length that a peer states to `usize`, limited to `limit`.
fn bounded(length: u64, limit: usize) -> usize {
    usize::try_from(length).map_or(limit, |length| length.min(limit))
}

/// Consumes the size line of a chunk, if it has arrived completely, and returns the next state.
fn read_chunk_size(buffer: &mut BytesMut) -> Result<Option<State>, ParseError> {
    match httparse::parse_chunk_size(buffer) {
        Ok(httparse::Status::Complete((length, size))) => {
            buffer.advance(length);
            Ok(Some(match size {
                0 => State::Trailers,
                size => State::Chunk(size),
            }))
        }
        Ok(httparse::Status::Partial) if buffer.len() <= MAX_LINE_BYTES => Ok(None),
        Ok(httparse::Status::Partial) | Err(_) => Err(ParseError::Malformed),
    }
}

/// Consumes the line end after a chunk, if it has arrived completely, and returns the next state.
fn read_chunk_end(buffer: &mut BytesMut) -> Result<Option<State>, ParseError> {
    if buffer.len() < LINE_END.len() {
        return Ok(None);
    }
    if !buffer.starts_with(LINE_END) {
        return Err(ParseError::Malformed);
    }
    buffer.advance(LINE_END.len());
    Ok(Some(State::ChunkSize))
}

/// Consumes a trailer line, if it has arrived completely, and returns the next state.
fn read_trailer(buffer: &mut BytesMut) -> Result<Option<State>, ParseError> {
    let Some(length) = buffer
        .windows(LINE_END.len())
        .position(|window| window == LINE_END)
    else {
        return if buffer.len() > MAX_LINE_BYTES {
            Err(ParseError::Malformed)
        } else {
            Ok(None)
        };
    };
    buffer.advance(length + LINE_END.len());
    Ok(Some(if length == 0 {
        State::Complete
    } else {
        State::Trailers
    }))
}
