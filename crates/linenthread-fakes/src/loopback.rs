//! Loopback sockets and addresses, for tests that run at once.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU8, Ordering};

/// Listens on a free port of loopback.
pub(crate) fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("loopback has a free port")
}

/// Where a socket listens.
pub(crate) fn address_of(listener: &TcpListener) -> SocketAddr {
    listener
        .local_addr()
        .expect("a socket that listens has an address")
}

/// A second handle of a connection.
pub(crate) fn duplicate(connection: &TcpStream) -> TcpStream {
    connection
        .try_clone()
        .expect("a handle of a connection can be duplicated")
}

/// A loopback address by process and call: hardly any other process, and no recent call here, has it.
pub(crate) fn unused_loopback() -> Ipv4Addr {
    static NEXT: AtomicU8 = AtomicU8::new(2);
    let [.., middle, low] = std::process::id().to_be_bytes();
    let last = NEXT.fetch_add(1, Ordering::Relaxed).max(2);
    Ipv4Addr::new(127, middle, low, last)
}
