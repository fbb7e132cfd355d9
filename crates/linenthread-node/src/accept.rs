//! Backoff after failed accepts, shared by all listeners.

use std::io;
use std::time::Duration;

/// How long a listener waits after a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Logs a failed accept and waits: its cause, such as a lack of file descriptors, is usually temporary.
pub(crate) async fn back_off(error: &io::Error) {
    log::warn!(cause = error.to_string(); "event=accept_failed");
    tokio::time::sleep(ACCEPT_BACKOFF).await;
}
