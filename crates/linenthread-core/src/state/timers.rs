//! When periodic work is due.

use crate::interface::TenthMillis;

/// When the co-ordinator started, and when its periodic work is due next.
#[derive(Default)]
pub(crate) struct Timers {
    /// The first step.
    pub started_at: TenthMillis,
    /// Scores are updated then.
    pub next_score: TenthMillis,
    /// Observations of replicas are forgotten then; 0 before the first step.
    pub next_reset: TenthMillis,
    /// A step was requested for then.
    pub next_wake: TenthMillis,
    /// Service discovery is to be watched from then on.
    pub next_watch: Option<TenthMillis>,
    /// How often in a row service discovery was unavailable, up to the longest backoff.
    pub watch_failures: u32,
}
