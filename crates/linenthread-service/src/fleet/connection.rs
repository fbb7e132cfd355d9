//! The sending side of one connection between members: a bounded queue of bytes.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;

use tokio::sync::Notify;

/// Bytes that may wait for one connection; beyond that it is closed.
const MAX_QUEUED_BYTES: usize = 4 * 1024 * 1024;

/// The sending side of one connection.
pub(super) struct Connection {
    /// Bytes that wait to be written.
    pub(super) queue: RefCell<VecDeque<Vec<u8>>>,
    /// How many bytes wait.
    pub(super) queued_bytes: Cell<usize>,
    /// Why the connection is to be closed, once it is.
    pub(super) close: RefCell<Option<String>>,
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
            self.close
                .replace(Some("it does not take what it is told".into()));
        }
        self.queue.borrow_mut().push_back(bytes);
        self.changed.notify_one();
    }

    /// Closes the connection once the queue is written.
    pub(super) fn close(&self, reason: String) {
        self.close.replace(Some(reason));
        self.changed.notify_one();
    }

    pub(super) fn is_overfull(&self) -> bool {
        self.queued_bytes.get() > MAX_QUEUED_BYTES
    }
}
