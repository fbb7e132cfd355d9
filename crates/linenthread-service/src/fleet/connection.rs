//! The sending side of one connection between members: a bounded queue of bytes.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;

use snafu::Snafu;
use tokio::sync::Notify;

/// Bytes that may wait for one connection; beyond that it is closed.
const MAX_QUEUED_BYTES: usize = 4 * 1024 * 1024;

/// Why a connection ended. The text goes to the log.
#[derive(Debug, Snafu)]
pub(super) enum ConnectionEnd {
    #[snafu(display("closed by the peer"))]
    ClosedByPeer,
    #[snafu(display("the peer reads too slowly"))]
    SlowPeer,
    #[snafu(display("the peer has stopped reading"))]
    StalledPeer,
    #[snafu(display("{reason}"))]
    ClosedHere { reason: String },
    #[snafu(display("{source}"))]
    Io { source: io::Error },
}

/// Bytes that are being written.
pub(super) struct PartlyWritten {
    bytes: Vec<u8>,
    written: usize,
}

impl PartlyWritten {
    pub(super) fn new(bytes: Vec<u8>) -> PartlyWritten {
        PartlyWritten { bytes, written: 0 }
    }

    pub(super) fn rest(&self) -> &[u8] {
        &self.bytes[self.written..]
    }

    /// Counts written bytes; returns whether these were the last.
    pub(super) fn advance(&mut self, count: usize) -> bool {
        self.written += count;
        self.written >= self.bytes.len()
    }
}

/// The sending side of one connection.
pub(super) struct Connection {
    /// Bytes that wait to be written.
    pub(super) queue: RefCell<VecDeque<Vec<u8>>>,
    /// How many bytes wait.
    pub(super) queued_bytes: Cell<usize>,
    /// Why the connection is to be closed, once it is.
    pub(super) close: RefCell<Option<ConnectionEnd>>,
    /// Wakes the task that serves the connection.
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

    /// Queues bytes; a peer that lets too many of them wait is disconnected.
    pub(super) fn write(&self, bytes: Vec<u8>) {
        self.queued_bytes.set(self.queued_bytes.get() + bytes.len());
        if self.is_overfull() {
            self.close.replace(Some(ConnectionEnd::SlowPeer));
        }
        self.queue.borrow_mut().push_back(bytes);
        self.changed.notify_one();
    }

    /// Closes the connection once the queue is written.
    pub(super) fn close(&self, reason: String) {
        self.close
            .replace(Some(ConnectionEnd::ClosedHere { reason }));
        self.changed.notify_one();
    }

    pub(super) fn is_overfull(&self) -> bool {
        self.queued_bytes.get() > MAX_QUEUED_BYTES
    }
}
