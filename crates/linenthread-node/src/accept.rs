//! Accepting connections.

use std::io;
use std::time::Duration;

/// How long nothing is accepted after a failure.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Waits after a failed accept: no file descriptor is left, or the like, which passes.
pub(crate) async fn back_off(error: &io::Error) {
    log::warn!(cause = error.to_string(); "event=accept_failed");
    tokio::time::sleep(ACCEPT_BACKOFF).await;
}
