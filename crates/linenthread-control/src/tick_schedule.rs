//! When the periodic work of a control node is due.

use linenthread_time::Instant;

use crate::timing::{BATCH_INTERVAL, RETRY_INTERVAL, TICK_INTERVAL};

/// When each kind of periodic work was last done.
pub(crate) struct TickSchedule {
    last_run: Instant,
    last_batch: Instant,
    last_full_tick: Instant,
}

impl TickSchedule {
    /// All is due at once.
    pub(crate) fn new() -> TickSchedule {
        TickSchedule {
            last_run: Instant::START,
            last_batch: Instant::START,
            last_full_tick: Instant::START,
        }
    }

    /// Makes all that is due at the next full tick due at once.
    pub(crate) fn expedite(&mut self) {
        self.last_full_tick = Instant::START;
        self.last_batch = Instant::START;
    }

    /// When the next run is due; `retries` if something waits for messages that may be lost.
    pub(crate) fn next_run_at(&self, retries: bool) -> Instant {
        let retry_at = if retries {
            self.last_run + RETRY_INTERVAL
        } else {
            Instant::NEVER
        };
        retry_at.min(self.last_batch + BATCH_INTERVAL)
    }

    /// Notes a run, of whatever is due.
    pub(crate) fn start_run(&mut self, now: Instant) {
        self.last_run = now;
    }

    /// Whether a batch is due; if so, it is noted as done.
    pub(crate) fn start_batch(&mut self, now: Instant) -> bool {
        let is_due = now >= self.last_batch + BATCH_INTERVAL;
        if is_due {
            self.last_batch = now;
        }
        is_due
    }

    /// Whether a full tick is due; if so, it is noted as done.
    pub(crate) fn start_full_tick(&mut self, now: Instant) -> bool {
        let is_due = now >= self.last_full_tick + TICK_INTERVAL;
        if is_due {
            self.last_full_tick = now;
        }
        is_due
    }
}
