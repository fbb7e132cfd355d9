//! How long the connection to a peer may take.

use std::time::Duration;

/// How long from its start a process expects that its peers are being started as well.
const STARTUP: Duration = Duration::from_millis(3_000);

/// A peer that is being started does not respond at all, and will soon: trying again early beats waiting for it.
const STARTUP_TIMEOUT: Duration = Duration::from_millis(120);

/// The time-out for a connection by the age of this process, where `timeout` is the usual one.
pub(crate) fn connect_timeout(uptime: Duration, timeout: Duration) -> Duration {
    if uptime < STARTUP {
        timeout.min(STARTUP_TIMEOUT)
    } else {
        timeout
    }
}
