//! Frames to be written, and the delay of a request's last byte on a connection that may be dead.

use std::time::Duration;

use tokio::time::Instant;

use super::AttemptNumber;

/// How long the last byte of a request is delayed on a connection that was idle.
const LAST_BYTE_DELAY: Duration = Duration::from_millis(2);

/// A frame to be written.
pub(super) struct OutgoingFrame {
    pub(super) bytes: Vec<u8>,
    pub(super) contents: FrameContents,
}

pub(super) enum FrameContents {
    Requests(Vec<SentAttempt>),
    Cancellation,
    Probe,
}

/// An attempt in a frame.
pub(super) struct SentAttempt {
    /// The sub-request's id on the wire.
    pub(super) id: String,
    pub(super) number: AttemptNumber,
}

impl OutgoingFrame {
    /// Reports whether the frame contains only this attempt.
    pub(super) fn is_only_for(&self, number: AttemptNumber) -> bool {
        match &self.contents {
            FrameContents::Requests(sent) => sent.len() == 1 && sent[0].number == number,
            FrameContents::Cancellation | FrameContents::Probe => false,
        }
    }
}

/// The part of a frame that may be written.
pub(super) struct Writable<'a> {
    pub(super) bytes: &'a [u8],
    /// When the last byte may be written, while it is delayed.
    pub(super) last_byte_at: Option<Instant>,
}

impl<'a> Writable<'a> {
    pub(super) fn nothing() -> Self {
        Writable::now(&[])
    }

    fn now(bytes: &'a [u8]) -> Self {
        Writable {
            bytes,
            last_byte_at: None,
        }
    }
}

/// A frame that is being written.
pub(super) struct FrameWriter {
    pub(super) frame: OutgoingFrame,
    /// Bytes written so far.
    position: usize,
    /// Whether the last byte is delayed.
    delays_last_byte: bool,
    /// When a delayed last byte may be written; `None` until all others are written.
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

    /// Returns the part of the frame that may be written now.
    pub(super) fn writable(&self) -> Writable<'_> {
        let rest = &self.frame.bytes[self.position..];
        match self.last_byte_at {
            _ if !self.delays_last_byte => Writable::now(rest),
            None => Writable::now(&rest[..rest.len() - 1]),
            Some(due) if due > Instant::now() => Writable {
                bytes: &[],
                last_byte_at: Some(due),
            },
            Some(_) => Writable::now(rest),
        }
    }

    /// Counts written bytes; returns whether the frame is written completely.
    pub(super) fn advance(&mut self, written: usize) -> bool {
        self.position += written;
        if self.position + 1 == self.frame.bytes.len() {
            self.last_byte_at = Some(Instant::now() + LAST_BYTE_DELAY);
        }
        self.position == self.frame.bytes.len()
    }
}
