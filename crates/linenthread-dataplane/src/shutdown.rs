//! The steps of a graceful shutdown.

use std::cell::Cell;

use linenthread_core::interface::TenthMillis;
use tokio::sync::watch;

/// A step of a shutdown, in the order in which the steps are taken. Each includes the previous ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    /// No shutdown was requested.
    Serving,
    /// Requests are still served, but each connection closes after its next response.
    Draining,
    /// No new connections are accepted, and connections without a request in flight close.
    Closing,
    /// Connections on which a request has been read only in part close.
    Finishing,
}

/// The progress of this process's shutdown.
pub(crate) struct Shutdown {
    step: watch::Sender<Step>,
    respond_until: Cell<Option<TenthMillis>>,
}

impl Shutdown {
    pub(crate) fn new() -> Shutdown {
        Shutdown {
            step: watch::Sender::new(Step::Serving),
            respond_until: Cell::new(None),
        }
    }

    /// Begins to drain. All requests must have ended by `respond_until`.
    pub(crate) fn begin_drain(&self, respond_until: TenthMillis) {
        self.respond_until.set(Some(respond_until));
        self.advance(Step::Draining);
    }

    /// Begins to close connections without a request in flight.
    pub(crate) fn close(&self) {
        self.advance(Step::Closing);
    }

    /// Begins to close connections on which a request has been read only in part.
    pub(crate) fn finish(&self) {
        self.advance(Step::Finishing);
    }

    pub(crate) fn is_draining(&self) -> bool {
        *self.step.borrow() >= Step::Draining
    }

    /// Returns when all requests must have ended; `None` if no shutdown was requested.
    pub(crate) fn respond_until(&self) -> Option<TenthMillis> {
        self.respond_until.get()
    }

    pub(crate) fn watch(&self) -> ShutdownWatch {
        ShutdownWatch(self.step.subscribe())
    }

    /// A step is never taken back.
    fn advance(&self, next: Step) {
        self.step.send_if_modified(|step| {
            let advances = next > *step;
            *step = next.max(*step);
            advances
        });
    }
}

/// Waits for the steps of the shutdown.
pub struct ShutdownWatch(watch::Receiver<Step>);

impl ShutdownWatch {
    /// Returns once no new connections may be accepted.
    pub async fn wait_for_closing(&mut self) {
        self.wait_for(Step::Closing).await;
    }

    /// Returns once requests that have been read only in part must be given up.
    pub(crate) async fn wait_for_finishing(&mut self) {
        self.wait_for(Step::Finishing).await;
    }

    async fn wait_for(&mut self, step: Step) {
        // An error means that the sender was dropped: the process is exiting.
        let _ = self.0.wait_for(|current| *current >= step).await;
    }
}
