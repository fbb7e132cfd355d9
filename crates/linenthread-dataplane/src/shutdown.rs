//! The steps of a graceful shutdown.

use std::cell::Cell;

use tokio::sync::watch;

/// How far the shutdown of this process has come.
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

    /// First step: requests are still served, connections end with their next response.
    pub(crate) fn begin_drain(&self) {
        self.is_draining.set(true);
    }

    /// Second step: nothing new is accepted, and connections between two requests end.
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
    /// Returns when nothing new may be accepted any more.
    pub async fn closing(&mut self) {
        // The sender's end is the end of the process, too.
        let _ = self.0.wait_for(|is_closing| *is_closing).await;
    }
}
