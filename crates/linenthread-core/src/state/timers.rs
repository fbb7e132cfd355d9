//! Due times of periodic work.

use crate::interface::TenthMillis;

/// The start time of the co-ordinator and the due times of its periodic work.
#[derive(Default)]
pub(crate) struct Timers {
    /// The time of the first step.
    pub started_at: TenthMillis,
    /// When scores are next updated.
    pub next_score: TenthMillis,
    /// When observations of replicas are next reset; 0 before the first step.
    pub next_reset: TenthMillis,
    /// The time of the last requested wake-up.
    pub next_wake: TenthMillis,
    /// When to start watching service discovery; `None` if no watch is to be started.
    pub next_watch: Option<TenthMillis>,
    /// Number of consecutive failures of service discovery, limited to the number that gives the longest backoff.
    pub watch_failures: u32,
}
