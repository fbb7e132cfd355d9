//! Transports to replicas: TCP in the daemon, memory in simulations and tests.

use std::future::Future;
use std::io;
use std::net::SocketAddr;

use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;

/// A connection to a replica.
pub trait ReplicaTransport: AsyncRead + AsyncWrite + Unpin + 'static {
    /// Reports whether nothing can be read at this moment: no byte is pending and the peer has not closed the
    /// connection. A connection for which this was once false is not used again, so the check may consume bytes.
    fn is_idle(&self) -> bool;
}

/// Opens connections to replicas.
pub trait Connector: Clone + 'static {
    /// The type of connection that is opened.
    type Transport: ReplicaTransport;

    /// Connects to a replica. The caller applies a timeout.
    ///
    /// # Errors
    /// Fails if no connection could be established.
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
