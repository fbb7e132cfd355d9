//! The sending side of a connection between members: a bounded queue of bytes.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;

use snafu::Snafu;
use tokio::sync::Notify;

/// Maximum bytes that may be queued for one connection; beyond that it is closed.
const MAX_QUEUED_BYTES: usize = 4 * 1024 * 1024;

/// The reason why a connection ended, as written to the log.
#[derive(Debug, Snafu)]
pub(super) enum ConnectionEnd {
    #[snafu(display("closed by the peer"))]
    ClosedByPeer,
    #[snafu(display("the peer reads too slowly"))]
    SlowPeer,
    #[snafu(display("the peer has stopped reading"))]
    StalledPeer,
    #[snafu(display("{reason}"))]
    ClosedLocally { reason: String },
    #[snafu(display("{source}"))]
    Io { source: io::Error },
}

/// A message of which a part has been written.
pub(super) struct PartialWrite {
    bytes: Vec<u8>,
    written: usize,
}

impl PartialWrite {
    pub(super) fn new(bytes: Vec<u8>) -> PartialWrite {
        PartialWrite { bytes, written: 0 }
    }

    pub(super) fn remaining(&self) -> &[u8] {
        &self.bytes[self.written..]
    }

    /// Counts written bytes; returns whether the message is written completely.
    pub(super) fn advance(&mut self, count: usize) -> bool {
        self.written += count;
        self.written >= self.bytes.len()
    }
}

/// The sending side of one connection.
pub(super) struct Connection {
    /// Messages that wait to be written.
    pub(super) queue: RefCell<VecDeque<Vec<u8>>>,
    /// The number of bytes that are queued or being written.
    pub(super) queued_bytes: Cell<usize>,
    /// Set if the connection is to be closed: the reason.
    pub(super) close: RefCell<Option<ConnectionEnd>>,
    /// Wakes the task that reads and writes the connection.
    pub(super) changed: Notify,
}

impl Connection {
    pub(super) fn new() -> Connection {
        Connection {
            queue: RefCell::default(),
            queued_bytes: Cell::new(0),
            close: RefCell::default(),
            changed: Notify::new(),
        }
    }

    /// Queues bytes. Closes the connection if more than [`MAX_QUEUED_BYTES`] are queued.
    pub(super) fn write(&self, bytes: Vec<u8>) {
        self.queued_bytes.set(self.queued_bytes.get() + bytes.len());
        if self.exceeds_limit() {
            self.close.replace(Some(ConnectionEnd::SlowPeer));
        }
        self.queue.borrow_mut().push_back(bytes);
        self.changed.notify_one();
    }

    /// Closes the connection once the queued bytes are written.
    pub(super) fn close(&self, reason: String) {
        self.close
            .replace(Some(ConnectionEnd::ClosedLocally { reason }));
        self.changed.notify_one();
    }

    pub(super) fn exceeds_limit(&self) -> bool {
        self.queued_bytes.get() > MAX_QUEUED_BYTES
    }
}
