//! The module's time, made of the machine's: whole tenths of a millisecond that never go back.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use linenthread_core::interface::TenthMillis;
use tokio::time::Instant;

/// The clock starts this far from 0, which stands for long ago.
const EPOCH: TenthMillis = 36_000_000;

/// A length of the module's time.
pub(crate) fn span(tenths: TenthMillis) -> Duration {
    Duration::from_micros(tenths.max(0) as u64 * 100)
}

/// Monotonic time as the module has it, and the system's time on the same scale.
#[derive(Clone, Copy)]
pub(crate) struct Clock {
    start: Instant,
    unix_ms: f64,
}

impl Clock {
    pub(crate) fn new() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            start: Instant::now(),
            unix_ms: unix.as_secs_f64() * 1000.0,
        }
    }

    pub(crate) fn now(&self) -> TenthMillis {
        EPOCH + (self.start.elapsed().as_micros() / 100) as TenthMillis
    }

    pub(crate) fn at(&self, moment: TenthMillis) -> Instant {
        self.start + span(moment - EPOCH)
    }

    /// A moment of the system's time on the module's scale.
    pub(crate) fn of_unix(&self, ms: f64) -> TenthMillis {
        EPOCH + ((ms - self.unix_ms) * 10.0).round() as TenthMillis
    }
}
