//! Loopback sockets and addresses for tests that run concurrently.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU8, Ordering};

/// Listens on a free port of 127.0.0.1.
pub(crate) fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("loopback has a free port")
}

/// Returns the address on which a socket listens.
pub(crate) fn address_of(listener: &TcpListener) -> SocketAddr {
    listener
        .local_addr()
        .expect("a listening socket has an address")
}

/// Returns a second handle to the same connection.
pub(crate) fn duplicate(connection: &TcpStream) -> TcpStream {
    connection
        .try_clone()
        .expect("the handle of a connection can be duplicated")
}

/// Returns a loopback address derived from the process id and a counter. Another process is unlikely to use it, and
/// this process has not returned it in recent calls.
pub(crate) fn unused_loopback() -> Ipv4Addr {
    static NEXT: AtomicU8 = AtomicU8::new(2);
    let [.., middle, low] = std::process::id().to_be_bytes();
    let last = NEXT.fetch_add(1, Ordering::Relaxed).max(2);
    Ipv4Addr::new(127, middle, low, last)
}
