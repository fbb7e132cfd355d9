use bytes::{Buf, BytesMut};

use crate::Refusal;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    Length(u64),
    Chunked,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Bytes(u64),
    Size,
    Chunk(u64),
    ChunkEnd,
    Trailers,
    Done,
}

/// A body that is being read.
#[derive(Debug)]
pub struct Body {
    state: State,
    most: usize,
    pub read: Vec<u8>,
}

/// A chunk's size line and a trailer line are never longer than this.
const LINE: usize = 4_096;

impl Body {
    pub fn new(framing: Framing, most: usize) -> Body {
        let (state, room) = match framing {
            Framing::Length(0) => (State::Done, 0),
            Framing::Length(n) => (State::Bytes(n), n.min(65_536) as usize),
            Framing::Chunked => (State::Size, 0),
        };
        Body {
            state,
            most,
            read: Vec::with_capacity(room),
        }
    }

    /// Takes what belongs to the body off the buffer; true when it is whole.
    ///
    /// # Errors
    /// Chunks that are none, or more bytes than allowed.
    pub fn take(&mut self, buffer: &mut BytesMut) -> Result<bool, Refusal> {
        loop {
            match self.state {
                State::Done => return Ok(true),
                State::Bytes(left) | State::Chunk(left) => {
                    let n = left.min(buffer.len() as u64) as usize;
                    if self.read.len() + n > self.most || left > self.most as u64 {
                        return Err(Refusal::BodyTooLong);
                    }
                    self.read.extend_from_slice(&buffer[..n]);
                    buffer.advance(n);
                    let left = left - n as u64;
                    self.state = match (self.state, left) {
                        (State::Bytes(_), 0) => State::Done,
                        (State::Bytes(_), left) => State::Bytes(left),
                        (_, 0) => State::ChunkEnd,
                        (_, left) => State::Chunk(left),
                    };
                    if left > 0 {
                        return Ok(false);
                    }
                }
                State::Size => match httparse::parse_chunk_size(buffer) {
                    Ok(httparse::Status::Complete((used, size))) => {
                        buffer.advance(used);
                        self.state = if size == 0 {
                            State::Trailers
                        } else {
                            State::Chunk(size)
                        };
                    }
                    Ok(_) if buffer.len() > LINE => return Err(Refusal::Malformed),
                    Ok(_) => return Ok(false),
                    Err(_) => return Err(Refusal::Malformed),
                },
                State::ChunkEnd => {
                    if buffer.len() < 2 {
                        return Ok(false);
                    }
                    if &buffer[..2] != b"\r\n" {
                        return Err(Refusal::Malformed);
                    }
                    buffer.advance(2);
                    self.state = State::Size;
                }
                State::Trailers => {
                    let Some(end) = buffer.windows(2).position(|w| w == b"\r\n") else {
                        return if buffer.len() > LINE {
                            Err(Refusal::Malformed)
                        } else {
                            Ok(false)
                        };
                    };
                    buffer.advance(end + 2);
                    if end == 0 {
                        self.state = State::Done;
                    }
                }
            }
        }
    }
}
