//! Connections from other sites: accepts them, and reads and writes each in a task of its own.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use linenthread_link::{ConnectionId, Frame, FrameError, ServerCloseReason};
use snafu::Snafu;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::WriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};
use tracing::{info, warn};

use super::Gateway;

/// The size of one read, in bytes.
const READ_BYTES: usize = 32 * 1024;
/// Maximum number of open connections. Higher than the number of sessions, since the old connection of a session is
/// closed only when a new one arrives.
const MAX_CONNECTIONS: usize = 64;
/// How long the peer may take to accept one frame.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of bytes queued on one connection. Beyond that, the connection is closed; its session may be resumed.
const MAX_QUEUED_BYTES: usize = 16 * 1024 * 1024;
/// Delay after a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// The reason why a connection ended. The text is logged.
#[derive(Debug, Snafu)]
enum ConnectionEnd {
    #[snafu(display("closed by the peer"))]
    ClosedByPeer,
    #[snafu(display("the peer reads too slowly"))]
    SlowPeer,
    #[snafu(display("{reason}"))]
    ClosedLocally { reason: ServerCloseReason },
    #[snafu(display("{source}"))]
    Io { source: io::Error },
    #[snafu(display("{source}"))]
    Frame { source: FrameError },
}

/// The sending side of one connection.
pub(super) struct Connection {
    outgoing: RefCell<VecDeque<Vec<u8>>>,
    /// Bytes in `outgoing` and in the frame that is being written.
    queued_bytes: Cell<usize>,
    /// Why the connection is to be closed once all frames are written, if it is.
    close: RefCell<Option<ConnectionEnd>>,
    /// Wakes the connection's task.
    wake: Notify,
}

impl Connection {
    fn new() -> Self {
        Connection {
            outgoing: RefCell::default(),
            queued_bytes: Cell::default(),
            close: RefCell::default(),
            wake: Notify::new(),
        }
    }

    /// Queues a frame. A peer with more than [`MAX_QUEUED_BYTES`] queued is disconnected.
    fn queue(&self, bytes: Vec<u8>) {
        let queued_bytes = self.queued_bytes.get() + bytes.len();
        self.queued_bytes.set(queued_bytes);
        if queued_bytes > MAX_QUEUED_BYTES {
            self.close.replace(Some(ConnectionEnd::SlowPeer));
        }
        self.outgoing.borrow_mut().push_back(bytes);
        self.wake.notify_one();
    }

    /// Closes the connection once all frames are written.
    pub(super) fn close(&self, reason: ServerCloseReason) {
        self.close
            .replace(Some(ConnectionEnd::ClosedLocally { reason }));
        self.wake.notify_one();
    }

    /// Writes all queued frames.
    async fn write_queued(&self, output: &mut WriteHalf<'_>) -> Result<(), ConnectionEnd> {
        loop {
            let next = self.outgoing.borrow_mut().pop_front();
            let Some(bytes) = next else {
                return Ok(());
            };
            match timeout(WRITE_TIMEOUT, output.write_all(&bytes)).await {
                Ok(Ok(())) => {
                    let queued_bytes = self.queued_bytes.get() - bytes.len();
                    self.queued_bytes.set(queued_bytes);
                }
                Ok(Err(source)) => return Err(ConnectionEnd::Io { source }),
                Err(_) => return Err(ConnectionEnd::SlowPeer),
            }
        }
    }
}

impl Gateway {
    /// Accepts connections for as long as it is polled.
    pub(super) async fn accept(&self, listener: &TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, address)) if self.0.connections.borrow().len() < MAX_CONNECTIONS => {
                    actix_rt::spawn(self.clone().serve(stream, address));
                }
                Ok(_) => {
                    if let Some(suppressed) = self.0.log_limit.admit() {
                        warn!(suppressed, "too many link connections, closing the new one");
                    }
                }
                Err(_) => sleep(ACCEPT_BACKOFF).await,
            }
        }
    }

    /// Serves one connection until it ends.
    async fn serve(self, mut stream: TcpStream, address: SocketAddr) {
        stream.set_nodelay(true).ok();
        let number = self.0.last_connection_number.get() + 1;
        self.0.last_connection_number.set(number);
        let id = ConnectionId(number);
        let connection = Rc::new(Connection::new());
        self.0
            .connections
            .borrow_mut()
            .insert(id, connection.clone());
        self.step(|server, now, actions| server.on_accepted(now, id, actions));
        let cause = self.exchange(&mut stream, id, &connection).await;
        // Connections are removed only here.
        self.0.connections.borrow_mut().remove(&id);
        self.step(|server, now, _| server.on_disconnected(now, id));
        if let Some(suppressed) = self.0.log_limit.admit() {
            info!(%address, suppressed, "link connection ended: {cause}");
        }
    }

    /// Writes and reads frames until the connection ends; returns the reason.
    async fn exchange(
        &self,
        stream: &mut TcpStream,
        id: ConnectionId,
        connection: &Connection,
    ) -> ConnectionEnd {
        let (mut input, mut output) = stream.split();
        let mut received = Vec::new();
        let mut buffer = vec![0; READ_BYTES];
        loop {
            // All frames are written before the connection is closed, including the one that states the reason.
            if let Err(end) = connection.write_queued(&mut output).await {
                return end;
            }
            if let Some(end) = connection.close.take() {
                return end;
            }
            tokio::select! {
                count = input.read(&mut buffer) => match count {
                    Ok(0) => return ConnectionEnd::ClosedByPeer,
                    Ok(count) => {
                        received.extend_from_slice(&buffer[..count]);
                        self.on_received(id, connection, &mut received);
                    }
                    Err(source) => return ConnectionEnd::Io { source },
                },
                () = connection.wake.notified() => {}
            }
        }
    }

    /// Passes the complete frames in `received` to the state machine. If a frame cannot be decoded, the peer is sent
    /// the reason and the connection is closed.
    fn on_received(&self, id: ConnectionId, connection: &Connection, received: &mut Vec<u8>) {
        let on_frame = |frame| {
            self.step(|server, now, actions| server.on_frame(now, id, frame, actions));
        };
        if let Err(source) = Frame::drain(received, on_frame) {
            let reason = source.to_string();
            self.send(id, &Frame::Refuse { reason });
            connection
                .close
                .replace(Some(ConnectionEnd::Frame { source }));
        }
    }

    /// Queues a frame on a connection, unless the connection has ended.
    pub(super) fn send(&self, id: ConnectionId, frame: &Frame) {
        if let Some(connection) = self.0.connections.borrow().get(&id) {
            connection.queue(frame.encode());
        }
    }
}
