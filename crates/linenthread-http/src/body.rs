//! Reading a body off a buffer, piece by piece.

use bytes::{Buf, BytesMut};

use crate::{Framing, ParseError};

/// The longest size line of a chunk, or trailer line, in bytes: both are ignored but for the size itself.
const MAX_LINE_BYTES: usize = 4_096;
/// The most memory that is reserved in advance for a body of stated length, in bytes: the length is the peer's
/// claim.
const MAX_RESERVED_BYTES: usize = 65_536;
/// The end of a line.
const LINE_END: &[u8] = b"\r\n";

/// What is due next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// This many bytes of a body of stated length.
    Bytes(u64),
    /// The size line of a chunk.
    ChunkSize,
    /// This many bytes of a chunk.
    Chunk(u64),
    /// The line end behind a chunk.
    ChunkEnd,
    /// Trailer lines, up to an empty one.
    Trailers,
    /// All bytes up to the end of the connection.
    UntilClose,
    /// Nothing.
    Complete,
}

/// The decoder of one body. It owns the bytes of the body that have been read so far.
#[derive(Debug)]
pub struct BodyReader {
    state: State,
    max_bytes: usize,
    bytes: Vec<u8>,
}

impl BodyReader {
    /// A body of this framing, of at most `max_bytes` bytes.
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

    /// Takes what belongs to the body off the buffer; true once the body is complete.
    ///
    /// # Errors
    /// Malformed chunks, or more bytes than allowed.
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

    /// Notes that the sender closed the connection, in order, behind what was read; true if that completes the body.
    pub fn on_close(&mut self) -> bool {
        if self.state == State::UntilClose {
            self.state = State::Complete;
        }
        self.state == State::Complete
    }

    /// The bytes read so far, without the framing.
    pub fn into_bytes(self) -> Vec<u8> {
        self.bytes
    }

    /// Copies the whole buffer to the body.
    fn copy_all(&mut self, buffer: &mut BytesMut) -> Result<(), ParseError> {
        if self.bytes.len() + buffer.len() > self.max_bytes {
            return Err(ParseError::BodyTooLong);
        }
        self.bytes.extend_from_slice(buffer);
        buffer.clear();
        Ok(())
    }

    /// Copies up to `left` bytes of the buffer to the body. Once none is missing it goes on with `next`; until then it
    /// stays in the state `unfinished`, with what is missing.
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

/// A length that a peer states, as a length in memory of at most `limit`.
fn bounded(length: u64, limit: usize) -> usize {
    usize::try_from(length).map_or(limit, |length| length.min(limit))
}

/// Takes the size line of a chunk off the buffer, if all of it has arrived; what follows it.
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

/// Takes the line end behind a chunk off the buffer, if all of it has arrived; what follows it.
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

/// Takes one trailer line off the buffer, if all of it has arrived; what follows it.
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
