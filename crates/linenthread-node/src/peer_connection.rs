//! Connections between the system's own processes: frames in both directions, and a bounded queue of outgoing messages.

use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::time::Duration;

use bytes::BytesMut;
use linenthread_dataplane::clock;
use linenthread_messages::{PeerMessage, decode, encode};
use snafu::ResultExt;
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;

use crate::connect_timeout::connect_timeout;
use crate::error::{Error, FrameSnafu, io_context};

/// The capacity of the queue of outgoing messages. If it is full, the connection is closed.
pub(crate) const MAX_QUEUED_MESSAGES: usize = 512;

/// How long sent bytes may stay unacknowledged before the connection is closed.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_600);

/// How long a connection is idle before the first keep-alive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(5);

/// The interval between keep-alive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// The initial capacity of the read buffer, in bytes.
const READ_BUFFER_BYTES: usize = 4_096;

/// A write buffer with a larger capacity is freed after use, in bytes.
const MAX_IDLE_WRITE_BUFFER_BYTES: usize = 65_536;

/// Sets the options of a stream, so that small messages are sent at once and the loss of a peer is detected. If the
/// system refuses an option, only latency suffers.
pub(crate) fn configure(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let socket = SockRef::from(stream);
    let _ = socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL);
    let _ = socket.set_tcp_keepalive(&keepalive);
}

/// Connects to a peer. The timeout is shorter during the start-up of this process.
///
/// # Errors
///
/// If the connection is refused, fails, or takes too long.
pub(crate) async fn connect(address: SocketAddr, timeout: Duration) -> Result<TcpStream, Error> {
    let timeout = connect_timeout(clock::uptime(), timeout);
    let connected = tokio::time::timeout(timeout, TcpStream::connect(address))
        .await
        .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
    let stream = connected.map_err(io_context("dialling", &address))?;
    configure(&stream);
    Ok(stream)
}

/// What happens after the queue of outgoing messages was closed and all messages are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AfterLastMessage {
    /// The connection is closed.
    Close,
    /// This direction is closed. The connection ends when the peer closes the other one, after it has read all
    /// messages.
    AwaitPeer,
}

/// Sends and receives messages until either side closes the connection. Each received message is passed to `receive`,
/// which may end the connection. `after_last_message` selects what happens when `outgoing` is closed.
///
/// # Errors
///
/// If the connection fails, or the received bytes are not a valid message.
pub(crate) async fn exchange(
    stream: TcpStream,
    peer: &str,
    outgoing: mpsc::Receiver<PeerMessage>,
    after_last_message: AfterLastMessage,
    receive: impl FnMut(PeerMessage) -> ControlFlow<()>,
) -> Result<(), Error> {
    let (reader, writer) = stream.into_split();
    // Dropping the write half closes the connection in that direction only.
    let write = async {
        write_messages(writer, peer, outgoing).await?;
        match after_last_message {
            AfterLastMessage::Close => Ok(()),
            AfterLastMessage::AwaitPeer => pending().await,
        }
    };
    tokio::select! {
        result = read_messages(reader, peer, receive) => result,
        result = write => result,
    }
}

async fn read_messages(
    mut reader: OwnedReadHalf,
    peer: &str,
    mut receive: impl FnMut(PeerMessage) -> ControlFlow<()>,
) -> Result<(), Error> {
    let mut buffer = BytesMut::with_capacity(READ_BUFFER_BYTES);
    loop {
        while let Some(message) = decode(&mut buffer).context(FrameSnafu { peer })? {
            if receive(message).is_break() {
                return Ok(());
            }
        }
        let received = reader
            .read_buf(&mut buffer)
            .await
            .map_err(io_context("reading from", peer))?;
        if received == 0 {
            return Ok(());
        }
    }
}

async fn write_messages(
    mut writer: OwnedWriteHalf,
    peer: &str,
    mut outgoing: mpsc::Receiver<PeerMessage>,
) -> Result<(), Error> {
    let (mut buffer, mut messages) = (BytesMut::new(), Vec::new());
    loop {
        if outgoing.recv_many(&mut messages, MAX_QUEUED_MESSAGES).await == 0 {
            return Ok(());
        }
        for message in messages.drain(..) {
            encode(message, &mut buffer);
        }
        writer
            .write_all(&buffer)
            .await
            .map_err(io_context("writing to", peer))?;
        buffer.clear();
        if buffer.capacity() > MAX_IDLE_WRITE_BUFFER_BYTES {
            buffer = BytesMut::new();
        }
    }
}
