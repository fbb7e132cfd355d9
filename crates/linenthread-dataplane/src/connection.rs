//! One HTTP/1.1 connection, from which complete heads and bodies are read and to which complete messages are written.

use std::io;
use std::time::Duration;

use bytes::BytesMut;
use linenthread_http::{BodyReader, Framing, Head, ParseError};
use snafu::Snafu;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};

use crate::transport::ReplicaTransport;

/// Buffer space reserved for each read, in bytes.
const READ_BYTES: usize = 2_048;
/// An empty buffer larger than this is freed after a message, and at most this much of a following message is read
/// ahead, in bytes.
const MAX_IDLE_BUFFER_BYTES: usize = 16_384;

/// Why a message could not be read or written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum ConnectionError {
    /// The peer closed or reset the connection before any byte of the message arrived.
    #[snafu(display("the connection was closed"))]
    Closed,
    /// The connection failed, or was closed, in the middle of a message.
    #[snafu(display("the connection broke within a message"))]
    Broken,
    /// The message did not arrive, or was not accepted by the peer, in time.
    #[snafu(display("timed out"))]
    TimedOut,
    /// The received bytes are not valid HTTP, or exceed a size limit.
    #[snafu(display("{source}"))]
    Invalid {
        /// The parse error.
        source: ParseError,
    },
}

impl From<ParseError> for ConnectionError {
    fn from(source: ParseError) -> ConnectionError {
        ConnectionError::Invalid { source }
    }
}

/// A message was not written completely.
#[derive(Debug, PartialEq, Eq, Snafu)]
#[snafu(display("write failed after {written} bytes: {source}"))]
pub struct WriteError {
    /// The number of bytes passed to the transport. All of them may have reached the peer.
    pub written: usize,
    /// Why the rest was not written.
    pub source: ConnectionError,
}

/// The result of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadProgress {
    /// At least one byte was read.
    Bytes,
    /// The peer closed the connection gracefully.
    Closed,
}

/// A connection, with the bytes that were read from it and not yet consumed.
pub struct HttpConnection<S = TcpStream> {
    stream: S,
    buffer: BytesMut,
}

impl<S: AsyncRead + AsyncWrite + Unpin> HttpConnection<S> {
    /// Wraps a stream from which nothing has been read yet.
    pub fn new(stream: S) -> HttpConnection<S> {
        HttpConnection {
            stream,
            buffer: BytesMut::new(),
        }
    }

    /// Reads bytes into the buffer, or reports that the peer closed the connection.
    async fn read_more(&mut self, deadline: Instant) -> Result<ReadProgress, ConnectionError> {
        self.buffer.reserve(READ_BYTES);
        match timeout_at(deadline, self.stream.read_buf(&mut self.buffer)).await {
            Err(_) => Err(ConnectionError::TimedOut),
            Ok(Err(_)) => Err(ConnectionError::Broken),
            Ok(Ok(0)) => Ok(ReadProgress::Closed),
            Ok(Ok(_)) => Ok(ReadProgress::Bytes),
        }
    }

    /// Reads bytes into the buffer; the end of the connection is an error.
    async fn fill(&mut self, deadline: Instant) -> Result<(), ConnectionError> {
        match self.read_more(deadline).await? {
            ReadProgress::Bytes => Ok(()),
            ReadProgress::Closed => Err(ConnectionError::Broken),
        }
    }

    /// Waits until bytes of the next message have arrived.
    ///
    /// # Errors
    /// Fails if none arrived within `idle_timeout`, or the connection ended.
    pub async fn wait_for_data(&mut self, idle_timeout: Duration) -> Result<(), ConnectionError> {
        if self.buffer.is_empty() {
            self.fill(Instant::now() + idle_timeout).await?;
        }
        Ok(())
    }

    /// Reports whether bytes of the next message have been read from the stream.
    pub fn has_unread_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Reads a request head of at most `max_bytes` bytes. Its first byte must arrive within `idle_timeout`, and the
    /// rest within `head_timeout` after that.
    ///
    /// # Errors
    /// Fails if the connection ended, the time is over, or the received bytes are not a request head.
    pub async fn read_request_head(
        &mut self,
        max_bytes: usize,
        idle_timeout: Duration,
        head_timeout: Duration,
    ) -> Result<Head, ConnectionError> {
        self.wait_for_data(idle_timeout)
            .await
            .map_err(broken_to_closed)?;
        let deadline = Instant::now() + head_timeout;
        loop {
            if let Some(head) = Head::parse_request(&mut self.buffer, max_bytes)? {
                return Ok(head);
            }
            self.fill(deadline).await?;
        }
    }

    /// Reads a response head of at most `max_bytes` bytes.
    ///
    /// # Errors
    /// Fails if the connection ended, the time is over, or the received bytes are not a response head.
    pub async fn read_response_head(
        &mut self,
        max_bytes: usize,
        deadline: Instant,
    ) -> Result<Head, ConnectionError> {
        let mut has_started = false;
        loop {
            if let Some(head) = Head::parse_response(&mut self.buffer, max_bytes)? {
                return Ok(head);
            }
            self.fill(deadline).await.map_err(|error| {
                if has_started {
                    error
                } else {
                    broken_to_closed(error)
                }
            })?;
            has_started = true;
        }
    }

    /// Reads a body of at most `max_bytes` bytes. No gap within it may last `idle_timeout`, and all of it must arrive
    /// before the deadline, if there is one.
    ///
    /// # Errors
    /// Fails if the connection ended within the body, the time is over, or the received bytes are not a body of this
    /// framing. A body that is delimited by the close of the connection is incomplete if the connection is reset.
    pub async fn read_body(
        &mut self,
        framing: Framing,
        max_bytes: usize,
        idle_timeout: Duration,
        deadline: Option<Instant>,
    ) -> Result<Vec<u8>, ConnectionError> {
        let mut body = BodyReader::new(framing, max_bytes);
        while !body.read_from(&mut self.buffer)? {
            let idle_deadline = Instant::now() + idle_timeout;
            let next = deadline.map_or(idle_deadline, |deadline| deadline.min(idle_deadline));
            match self.read_more(next).await? {
                ReadProgress::Bytes => {}
                ReadProgress::Closed if body.on_close() => break,
                ReadProgress::Closed => return Err(ConnectionError::Broken),
            }
        }
        if self.buffer.is_empty() && self.buffer.capacity() > MAX_IDLE_BUFFER_BYTES {
            self.buffer = BytesMut::new();
        }
        Ok(body.into_bytes())
    }

    /// Writes a complete message.
    ///
    /// # Errors
    /// Fails if the connection failed, or did not accept all bytes before the deadline.
    pub async fn write(&mut self, bytes: &[u8], deadline: Instant) -> Result<(), ConnectionError> {
        self.write_with_progress(bytes, deadline)
            .await
            .map_err(|error| error.source)
    }

    /// Writes a complete message. The error says how much of it may have reached the peer.
    ///
    /// # Errors
    /// Fails if the connection failed, or did not accept all bytes before the deadline.
    pub async fn write_with_progress(
        &mut self,
        bytes: &[u8],
        deadline: Instant,
    ) -> Result<(), WriteError> {
        let mut written = 0;
        let writing = async {
            while written < bytes.len() {
                match self.stream.write(&bytes[written..]).await? {
                    0 => return Err(io::Error::from(io::ErrorKind::WriteZero)),
                    count => written += count,
                }
            }
            Ok(())
        };
        let source = match timeout_at(deadline, writing).await {
            Ok(Ok(())) => return Ok(()),
            Ok(Err(_)) => ConnectionError::Broken,
            Err(_) => ConnectionError::TimedOut,
        };
        Err(WriteError { written, source })
    }

    /// Waits until the peer has closed the connection. Bytes received meanwhile stay in the buffer; once it is full,
    /// the close is no longer detected.
    pub async fn wait_closed(&mut self) {
        loop {
            if self.buffer.len() > MAX_IDLE_BUFFER_BYTES {
                std::future::pending::<()>().await;
            }
            match self.stream.read_buf(&mut self.buffer).await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
    }
}

impl<S: ReplicaTransport> HttpConnection<S> {
    /// Reports whether no byte is pending and the peer has not closed the connection.
    pub fn is_idle(&self) -> bool {
        self.buffer.is_empty() && self.stream.is_idle()
    }
}

/// Maps a failure before any byte of a message to [`ConnectionError::Closed`].
fn broken_to_closed(error: ConnectionError) -> ConnectionError {
    match error {
        ConnectionError::Broken => ConnectionError::Closed,
        other => other,
    }
}
