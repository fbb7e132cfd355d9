//! Locks of state that threads of the fakes share.

use std::sync::{Mutex, MutexGuard};

/// Locks a mutex.
///
/// # Panics
///
/// If a thread has panicked while it held the lock: what it left behind proves nothing, and the test fails.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .expect("no thread has panicked while it held the lock")
}
