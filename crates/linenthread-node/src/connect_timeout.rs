//! The timeout for connecting to a peer.

use std::time::Duration;

/// How long after its start a process assumes that its peers are starting as well.
const STARTUP_PERIOD: Duration = Duration::from_millis(3_000);

/// Timeout during [`STARTUP_PERIOD`]. A starting peer does not respond yet but will soon, so an early retry is faster
/// than a long wait.
const STARTUP_CONNECT_TIMEOUT: Duration = Duration::from_millis(120);

/// Returns the connect timeout for a process that has run for `uptime`. `timeout` is the timeout after start-up, and
/// the upper bound.
pub(crate) fn connect_timeout(uptime: Duration, timeout: Duration) -> Duration {
    if uptime < STARTUP_PERIOD {
        timeout.min(STARTUP_CONNECT_TIMEOUT)
    } else {
        timeout
    }
}
