//! One HTTP/1.1 connection: complete heads and bodies are read off it, complete messages are written to it.

use std::io;
use std::time::Duration;

use bytes::BytesMut;
use linenthread_http::{BodyReader, Framing, Head, ParseError};
use snafu::Snafu;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};

use crate::transport::ReplicaTransport;

/// Space that is reserved for each read, in bytes.
const READ_BYTES: usize = 2_048;
/// An empty buffer that has grown beyond this is freed after the message, and no more than this of a next message
/// is read ahead, in bytes.
const MAX_IDLE_BUFFER_BYTES: usize = 16_384;

/// Why a message could not be read or written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum ConnectionError {
    /// The other side closed or reset the connection before any byte of the message arrived.
    #[snafu(display("the connection was closed"))]
    Closed,
    /// The connection failed, or was closed, in the middle of a message.
    #[snafu(display("the connection broke within a message"))]
    Broken,
    /// The message did not arrive, or was not accepted by the other side, in time.
    #[snafu(display("timed out"))]
    TimedOut,
    /// What arrived is not in the protocol, or is longer than allowed.
    #[snafu(display("{source}"))]
    Invalid {
        /// What is wrong with it.
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
#[snafu(display("after {written} bytes: {source}"))]
pub struct WriteError {
    /// How many bytes this side has handed over. All of them may have reached the other side.
    pub written: usize,
    /// Why the rest was not.
    pub source: ConnectionError,
}

/// What a read brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadProgress {
    /// Some bytes.
    Bytes,
    /// The other side has closed the connection in order.
    Closed,
}

/// A connection and the bytes that were read off it and not consumed yet.
pub struct HttpConnection<S = TcpStream> {
    stream: S,
    buffer: BytesMut,
}

impl<S: AsyncRead + AsyncWrite + Unpin> HttpConnection<S> {
    /// A connection on which nothing has been read yet.
    pub fn new(stream: S) -> HttpConnection<S> {
        HttpConnection {
            stream,
            buffer: BytesMut::new(),
        }
    }

    /// Reads some bytes into the buffer, if any come.
    async fn read_more(&mut self, deadline: Instant) -> Result<ReadProgress, ConnectionError> {
        self.buffer.reserve(READ_BYTES);
        match timeout_at(deadline, self.stream.read_buf(&mut self.buffer)).await {
            Err(_) => Err(ConnectionError::TimedOut),
            Ok(Err(_)) => Err(ConnectionError::Broken),
            Ok(Ok(0)) => Ok(ReadProgress::Closed),
            Ok(Ok(_)) => Ok(ReadProgress::Bytes),
        }
    }

    /// Reads some bytes into the buffer, which are due.
    async fn fill(&mut self, deadline: Instant) -> Result<(), ConnectionError> {
        match self.read_more(deadline).await? {
            ReadProgress::Bytes => Ok(()),
            ReadProgress::Closed => Err(ConnectionError::Broken),
        }
    }

    /// Waits until some bytes of the next message have arrived.
    ///
    /// # Errors
    /// None arrived within `idle_timeout`, or the connection ended.
    pub async fn wait_for_data(&mut self, idle_timeout: Duration) -> Result<(), ConnectionError> {
        if self.buffer.is_empty() {
            self.fill(Instant::now() + idle_timeout).await?;
        }
        Ok(())
    }

    /// Reads a request head of at most `max_bytes` bytes. Its first byte may take `idle_timeout`, and all of it
    /// `head_timeout` from there on.
    ///
    /// # Errors
    /// The connection ended, the time is over, or what arrived is not a request head.
    pub async fn read_request_head(
        &mut self,
        max_bytes: usize,
        idle_timeout: Duration,
        head_timeout: Duration,
    ) -> Result<Head, ConnectionError> {
        self.wait_for_data(idle_timeout)
            .await
            .map_err(before_any_byte)?;
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
    /// The connection ended, the time is over, or what arrived is not a response head.
    pub async fn read_response_head(
        &mut self,
        max_bytes: usize,
        deadline: Instant,
    ) -> Result<Head, ConnectionError> {
        let mut has_begun = false;
        loop {
            if let Some(head) = Head::parse_response(&mut self.buffer, max_bytes)? {
                return Ok(head);
            }
            self.fill(deadline).await.map_err(|error| {
                if has_begun {
                    error
                } else {
                    before_any_byte(error)
                }
            })?;
            has_begun = true;
        }
    }

    /// Reads a body of at most `max_bytes` bytes: no gap within it may last `idle_timeout`, and all of it arrives
    /// before the deadline, if there is one.
    ///
    /// # Errors
    /// The connection ended within the body, the time is over, or what arrived is not a body of this framing. A body
    /// that lasts until the connection is closed is incomplete if it is reset.
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
    /// The connection failed, or did not accept all of it before the deadline.
    pub async fn write(&mut self, bytes: &[u8], deadline: Instant) -> Result<(), ConnectionError> {
        self.write_with_progress(bytes, deadline)
            .await
            .map_err(|error| error.source)
    }

    /// Writes a complete message; the error says how much of it may have reached the other side.
    ///
    /// # Errors
    /// The connection failed, or did not accept all of it before the deadline.
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

    /// Returns when the other side has closed the connection. What it sends meanwhile stays in the buffer; once
    /// that is full, an end is no longer noticed.
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
    /// Whether no byte waits on it and the other side has not closed it.
    pub fn is_idle(&self) -> bool {
        self.buffer.is_empty() && self.stream.is_idle()
    }
}

/// A connection that ends before any byte of a message was closed, not broken.
fn before_any_byte(error: ConnectionError) -> ConnectionError {
    match error {
        ConnectionError::Broken => ConnectionError::Closed,
        other => other,
    }
}
