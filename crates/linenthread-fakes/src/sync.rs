//! Locking of state that is shared between threads of the fakes.

use std::sync::{Mutex, MutexGuard};

/// Locks a mutex.
///
/// # Panics
///
/// If a thread has panicked while it held the lock: the state may be inconsistent, so the test must fail.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .expect("no thread has panicked while it held the lock")
}
