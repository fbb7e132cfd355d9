//! The wall-clock time of this machine, which may be wrong and may jump.

use std::time::{SystemTime, UNIX_EPOCH};

use linenthread_time::{WallTime, whole_millis};

/// Returns the machine's wall-clock time, or the start of 1970 if the clock shows an earlier time.
pub(crate) fn now() -> WallTime {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    WallTime::from_millis(whole_millis(since_epoch))
}
