//! Where connections come from: TCP in the daemon, memory in simulations and tests.

use std::future::Future;
use std::io;
use std::net::SocketAddr;

use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;

/// A connection to a replica.
pub trait ReplicaTransport: AsyncRead + AsyncWrite + Unpin + 'static {
    /// Nothing can be read from it at this moment: no byte waits and the other side has not closed. A
    /// connection on which this was once false is not used again, so it may take bytes off.
    fn is_quiet(&self) -> bool;
}

/// Opens connections to replicas.
pub trait Connector: Clone + 'static {
    /// Its connections.
    type Transport: ReplicaTransport;

    /// Connects; the caller bounds the time.
    fn connect(&self, address: SocketAddr) -> impl Future<Output = io::Result<Self::Transport>>;
}

/// Connections of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct TcpConnector;

impl ReplicaTransport for TcpStream {
    fn is_quiet(&self) -> bool {
        let mut one = [0; 1];
        matches!(self.try_read(&mut one), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }
}

impl Connector for TcpConnector {
    type Transport = TcpStream;

    async fn connect(&self, address: SocketAddr) -> io::Result<TcpStream> {
        let stream = TcpStream::connect(address).await?;
        let _ = stream.set_nodelay(true);
        Ok(stream)
    }
}
