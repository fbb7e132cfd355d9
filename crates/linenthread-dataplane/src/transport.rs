//! Where connections to replicas come from: TCP in the daemon, memory in simulations and tests.

use std::future::Future;
use std::io;
use std::net::SocketAddr;

use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;

/// A connection to a replica.
pub trait ReplicaTransport: AsyncRead + AsyncWrite + Unpin + 'static {
    /// Whether nothing can be read from it at this moment: no byte waits and the other side has not closed it. A
    /// connection that was once not idle here is not used again, so the check may consume bytes.
    fn is_idle(&self) -> bool;
}

/// Opens connections to replicas.
pub trait Connector: Clone + 'static {
    /// The connections that it opens.
    type Transport: ReplicaTransport;

    /// Connects; the caller limits the time.
    ///
    /// # Errors
    /// No connection could be made.
    fn connect(&self, address: SocketAddr) -> impl Future<Output = io::Result<Self::Transport>>;
}

/// Opens TCP connections.
#[derive(Clone, Copy, Debug, Default)]
pub struct TcpConnector;

impl ReplicaTransport for TcpStream {
    fn is_idle(&self) -> bool {
        let mut byte = [0; 1];
        matches!(self.try_read(&mut byte), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
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
