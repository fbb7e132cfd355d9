//! Opens the frontends' listeners.

use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket};

/// Maximum number of connections that the operating system queues until they are accepted.
const LISTEN_BACKLOG: u32 = 1024;

/// Opens a listener with `SO_REUSEADDR`.
///
/// # Errors
///
/// Returns the operating system's error if the socket cannot be created, bound or listened on.
pub(crate) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}
