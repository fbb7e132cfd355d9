//! Loopback addresses for tests that run at once.

use std::net::Ipv4Addr;
use std::sync::atomic::{AtomicU8, Ordering};

/// A loopback address by process and call: hardly any other process, and no recent call here, has it.
pub(crate) fn unused_loopback() -> Ipv4Addr {
    static NEXT: AtomicU8 = AtomicU8::new(2);
    let [.., middle, low] = std::process::id().to_be_bytes();
    let last = NEXT.fetch_add(1, Ordering::Relaxed).max(2);
    Ipv4Addr::new(127, middle, low, last)
}
