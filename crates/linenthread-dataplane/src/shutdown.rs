//! The steps of a graceful shutdown.

use std::cell::Cell;

use tokio::sync::watch;

/// The progress of this process's shutdown.
pub(crate) struct Shutdown {
    is_draining: Cell<bool>,
    is_closing: watch::Sender<bool>,
}

impl Shutdown {
    pub(crate) fn new() -> Shutdown {
        Shutdown {
            is_draining: Cell::new(false),
            is_closing: watch::Sender::new(false),
        }
    }

    /// Begins the first step: requests are still served, but each connection closes after its next response.
    pub(crate) fn begin_drain(&self) {
        self.is_draining.set(true);
    }

    /// Begins the second step: no new connections are accepted, and connections without a request in flight close.
    pub(crate) fn close(&self) {
        self.is_closing.send_replace(true);
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.is_draining.get()
    }

    pub(crate) fn watch(&self) -> ClosingWatch {
        ClosingWatch(self.is_closing.subscribe())
    }
}

/// Waits for the second step of the shutdown.
pub struct ClosingWatch(watch::Receiver<bool>);

impl ClosingWatch {
    /// Returns once no new connections may be accepted.
    pub async fn wait_for_closing(&mut self) {
        // An error means that the sender was dropped: the process is exiting.
        let _ = self.0.wait_for(|is_closing| *is_closing).await;
    }
}
