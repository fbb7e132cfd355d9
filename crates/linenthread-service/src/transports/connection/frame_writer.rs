//! Writes frames, and delays the last byte of those that a dead connection must not lose.

use std::time::Duration;

use tokio::time::Instant;

/// How long the last byte of a request is held back on a connection that was idle.
const LAST_BYTE_DELAY: Duration = Duration::from_millis(2);

/// A frame to be written.
pub(super) struct OutgoingFrame {
    pub(super) bytes: Vec<u8>,
    /// The sub-request ids in it, with the numbers of their attempts.
    pub(super) attempts: Vec<(String, u64)>,
    pub(super) is_probe: bool,
}

/// A frame that is being written.
pub(super) struct FrameWriter {
    pub(super) frame: OutgoingFrame,
    /// Bytes written so far.
    position: usize,
    /// The last byte follows after a delay.
    delays_last_byte: bool,
    /// When the last byte may follow, once all others are written.
    last_byte_at: Option<Instant>,
}

impl FrameWriter {
    pub(super) fn new(frame: OutgoingFrame, delays_last_byte: bool) -> Self {
        FrameWriter {
            frame,
            position: 0,
            delays_last_byte,
            last_byte_at: None,
        }
    }

    /// What may be written now, or when there will be more.
    pub(super) fn next(&self) -> (&[u8], Option<Instant>) {
        let rest = &self.frame.bytes[self.position..];
        match self.last_byte_at {
            _ if !self.delays_last_byte => (rest, None),
            None => (&rest[..rest.len() - 1], None),
            Some(due) if due > Instant::now() => (&[], Some(due)),
            Some(_) => (rest, None),
        }
    }

    /// Counts written bytes; returns whether the frame is complete.
    pub(super) fn advance(&mut self, written: usize) -> bool {
        self.position += written;
        if self.position + 1 == self.frame.bytes.len() {
            self.last_byte_at = Some(Instant::now() + LAST_BYTE_DELAY);
        }
        self.position == self.frame.bytes.len()
    }
}
