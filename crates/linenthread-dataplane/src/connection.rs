//! One HTTP/1.1 connection: whole heads and bodies off it, whole messages onto it.

use std::io;
use std::time::Duration;

use bytes::BytesMut;
use linenthread_http::{Body, Framing, Head, Refusal};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};

use crate::transport::ReplicaTransport;

/// How much room is made for each read.
const READ: usize = 2_048;
/// A buffer that has grown beyond this is let go after the message; so much of a next message may wait in it.
const KEPT: usize = 16_384;

/// A connection and what was read off it and not taken yet.
pub struct HttpConnection<S = TcpStream> {
    stream: S,
    buffer: BytesMut,
}

/// Why nothing more can be read.
#[derive(Debug, PartialEq, Eq)]
pub enum Stop {
    /// The other side closed, or reset, before anything of the message came.
    Closed,
    /// The same, in the middle.
    Cut,
    /// It did not come in time.
    Late,
    /// It is not in the protocol, or over its bounds.
    Refused(Refusal),
}

/// A message was not written whole.
#[derive(Debug, PartialEq, Eq)]
pub struct WriteFailed {
    /// Why.
    pub stop: Stop,
    /// Bytes that this side has let go of.
    pub written: usize,
}

impl<S: AsyncRead + AsyncWrite + Unpin> HttpConnection<S> {
    /// A connection on which nothing has been read yet.
    pub fn new(stream: S) -> HttpConnection<S> {
        HttpConnection {
            stream,
            buffer: BytesMut::new(),
        }
    }

    /// Reads some more by then.
    async fn more(&mut self, by: Instant) -> Result<(), Stop> {
        self.buffer.reserve(READ);
        match timeout_at(by, self.stream.read_buf(&mut self.buffer)).await {
            Err(_) => Err(Stop::Late),
            Ok(Ok(0) | Err(_)) => Err(Stop::Cut),
            Ok(Ok(_)) => Ok(()),
        }
    }

    /// Something of the next message has come within so long.
    pub async fn begun(&mut self, quiet: Duration) -> Result<(), Stop> {
        if self.buffer.is_empty() {
            self.more(Instant::now() + quiet).await?;
        }
        Ok(())
    }

    /// A request's head: its first byte may take `quiet`, all of it `whole` from there.
    pub async fn request(
        &mut self,
        most: usize,
        quiet: Duration,
        whole: Duration,
    ) -> Result<Head, Stop> {
        self.begun(quiet)
            .await
            .map_err(|s| if s == Stop::Cut { Stop::Closed } else { s })?;
        let by = Instant::now() + whole;
        loop {
            if let Some(head) = Head::request(&mut self.buffer, most).map_err(Stop::Refused)? {
                return Ok(head);
            }
            self.more(by).await?;
        }
    }

    /// An answer's head.
    pub async fn answer(&mut self, most: usize, by: Instant) -> Result<Head, Stop> {
        let mut begun = false;
        loop {
            if let Some(head) = Head::answer(&mut self.buffer, most).map_err(Stop::Refused)? {
                return Ok(head);
            }
            self.more(by).await.map_err(|s| {
                if s == Stop::Cut && !begun {
                    Stop::Closed
                } else {
                    s
                }
            })?;
            begun = true;
        }
    }

    /// A body; between two pieces of it so long may pass, and all of it is there by then.
    pub async fn body(
        &mut self,
        framing: Framing,
        most: usize,
        quiet: Duration,
        by: Option<Instant>,
    ) -> Result<Vec<u8>, Stop> {
        let mut body = Body::new(framing, most);
        while !body.take(&mut self.buffer).map_err(Stop::Refused)? {
            let next = Instant::now() + quiet;
            self.more(by.map_or(next, |by| by.min(next))).await?;
        }
        if self.buffer.is_empty() && self.buffer.capacity() > KEPT {
            self.buffer = BytesMut::new();
        }
        Ok(body.read)
    }

    /// Writes a message whole by then.
    pub async fn write(&mut self, bytes: &[u8], by: Instant) -> Result<(), Stop> {
        self.write_counted(bytes, by)
            .await
            .map_err(|failed| failed.stop)
    }

    /// The same; a failure tells how much of it may have reached the other side.
    pub async fn write_counted(&mut self, bytes: &[u8], by: Instant) -> Result<(), WriteFailed> {
        let mut written = 0;
        let writing = async {
            while written < bytes.len() {
                match self.stream.write(&bytes[written..]).await? {
                    0 => return Err(io::Error::from(io::ErrorKind::WriteZero)),
                    some => written += some,
                }
            }
            Ok(())
        };
        let stop = match timeout_at(by, writing).await {
            Ok(Ok(())) => return Ok(()),
            Ok(Err(_)) => Stop::Cut,
            Err(_) => Stop::Late,
        };
        Err(WriteFailed { stop, written })
    }

    /// Returns when the other side has closed; what it sends meanwhile waits, up to a bound.
    pub async fn closed(&mut self) {
        loop {
            if self.buffer.len() > KEPT {
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
    /// Nothing waits on it and the other side has not closed.
    pub fn is_quiet(&self) -> bool {
        self.buffer.is_empty() && self.stream.is_quiet()
    }
}
