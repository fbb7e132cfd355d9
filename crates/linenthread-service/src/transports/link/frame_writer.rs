//! Tracks how much of a link's frame is written.

use linenthread_link::{CallNumber, Frame};

/// A frame that is being written.
pub(super) struct FrameWriter {
    bytes: Vec<u8>,
    /// Bytes written so far.
    position: usize,
    /// The call that the frame starts, if it does.
    pub(super) call: Option<CallNumber>,
}

impl FrameWriter {
    pub(super) fn new(frame: &Frame) -> Self {
        let call = match frame {
            Frame::Call(request) => Some(request.number),
            _ => None,
        };
        FrameWriter {
            bytes: frame.encode(),
            position: 0,
            call,
        }
    }

    pub(super) fn rest(&self) -> &[u8] {
        &self.bytes[self.position..]
    }

    /// Counts written bytes; returns whether the frame is written completely.
    pub(super) fn advance(&mut self, written: usize) -> bool {
        self.position += written;
        self.position == self.bytes.len()
    }
}
