//! The listeners of the frontends.

use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket};

/// Connections that the system holds until they are accepted.
const LISTEN_BACKLOG: u32 = 1024;

/// Opens a listener.
///
/// # Errors
///
/// What the system says.
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
