//! Blocking HTTP requests to one address, over a new connection or a persistent one.

use std::fmt::Write as _;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use bytes::BytesMut;
use linenthread_http::{BodyPresence, BodyReader, Head, ParseError, response_framing};
use snafu::{ResultExt, Snafu};

use crate::control_api::TEMPORARY_REDIRECT;

/// Maximum length of a response head, in bytes.
const MAX_HEAD_BYTES: usize = 16_384;
/// Maximum length of a response body, in bytes; many times the length of a list of all replicas.
const MAX_BODY_BYTES: usize = 64 << 20;
/// Maximum number of bytes per read from the connection.
const READ_BYTES: usize = 16_384;
/// Minimum timeout, since the operating system treats 0 as no timeout.
const MIN_TIMEOUT: Duration = Duration::from_millis(1);

/// The reason why a request has no valid response.
#[derive(Debug, Snafu)]
pub enum RequestError {
    /// No connection was made, so nothing was sent.
    #[snafu(display("connecting to {peer}: {source}"))]
    Connect {
        /// The address that was called.
        peer: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The connection failed, or the deadline passed.
    #[snafu(display("{step} {peer}: {source}"))]
    Connection {
        /// The step that failed.
        step: &'static str,
        /// The address that was called.
        peer: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The peer sent an invalid HTTP response, or one that is too long.
    #[snafu(display("{peer} sent no valid HTTP response: {source}"))]
    InvalidResponse {
        /// The address that was called.
        peer: SocketAddr,
        /// The error of the HTTP parser.
        source: ParseError,
    },
    /// No address was given.
    #[snafu(display("no address is given"))]
    NoAddress,
}

/// A request to the control API or to an ingress node.
#[derive(Clone, Copy, Debug, Default)]
pub struct Request<'a> {
    /// The HTTP method.
    pub method: &'a str,
    /// The path, with the query if there is one.
    pub path: &'a str,
    /// Headers other than `Content-Length` and `Connection`; if they include no `Host`, the peer's address is sent as
    /// the host.
    pub headers: &'a [(&'a str, String)],
    /// The body; may be empty.
    pub body: &'a [u8],
}

/// A complete response.
#[derive(Debug)]
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// The status line and the headers.
    pub head: Head,
    /// The body, without transfer coding.
    pub body: Vec<u8>,
}

impl RequestError {
    /// Reports whether the request may have reached the peer.
    pub fn may_have_been_sent(&self) -> bool {
        !matches!(self, RequestError::Connect { .. })
    }
}

impl Response {
    /// Returns the target of a redirect: the address in a `Location` of the form `http://ADDRESS/path`.
    pub fn redirect_target(&self) -> Option<SocketAddr> {
        if self.status != TEMPORARY_REDIRECT {
            return None;
        }
        let after_scheme = self.head.header("location")?.strip_prefix("http://")?;
        after_scheme.split('/').next()?.parse().ok()
    }

    /// Returns the body as text, with invalid UTF-8 replaced.
    pub fn body_text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

impl<'a> Request<'a> {
    /// Returns a `GET` request without headers or a body.
    pub fn get(path: &'a str) -> Request<'a> {
        Request {
            method: "GET",
            path,
            ..Request::default()
        }
    }

    /// Sends the request over a new connection and waits for the complete response.
    ///
    /// # Errors
    /// Fails at the step that the error names. After a timeout, the kind of the source is
    /// [`io::ErrorKind::WouldBlock`] or `TimedOut`.
    pub fn send_to(&self, peer: SocketAddr, timeout: Duration) -> Result<Response, RequestError> {
        Connection::open(peer, timeout)?.exchange(self, Persistence::Close)
    }

    fn encode(&self, peer: SocketAddr, persistence: Persistence) -> Vec<u8> {
        let (method, path, length) = (self.method, self.path, self.body.len());
        let mut head = format!("{method} {path} HTTP/1.1\r\nContent-Length: {length}\r\n");
        if persistence == Persistence::Close {
            head.push_str("Connection: close\r\n");
        }
        let mut names = self.headers.iter().map(|(name, _)| name);
        if !names.any(|name| name.eq_ignore_ascii_case("host")) {
            let _ = write!(head, "Host: {peer}\r\n");
        }
        for (name, value) in self.headers {
            let _ = write!(head, "{name}: {value}\r\n");
        }
        head.push_str("\r\n");
        [head.as_bytes(), self.body].concat()
    }
}

/// Whether a connection stays open after a response.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Persistence {
    /// The peer is asked to close the connection.
    Close,
    /// Another request may follow.
    KeepAlive,
}

/// A connection for consecutive requests, each of which has a deadline.
#[derive(Debug)]
pub struct Connection {
    peer: SocketAddr,
    stream: TcpStream,
    deadline: Instant,
    /// Bytes that were read but not parsed yet.
    buffer: BytesMut,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    /// [`RequestError::Connect`] if no connection is made within `timeout`.
    pub fn open(peer: SocketAddr, timeout: Duration) -> Result<Connection, RequestError> {
        let deadline = Instant::now() + timeout;
        let stream = TcpStream::connect_timeout(&peer, timeout.max(MIN_TIMEOUT))
            .context(ConnectSnafu { peer })?;
        Ok(Connection {
            peer,
            stream,
            deadline,
            buffer: BytesMut::new(),
        })
    }

    /// Sends a request, waits for the complete response and keeps the connection open.
    ///
    /// # Errors
    /// Fails at the step that the error names. The connection can't be used afterwards.
    pub fn send(
        &mut self,
        request: &Request<'_>,
        timeout: Duration,
    ) -> Result<Response, RequestError> {
        self.deadline = Instant::now() + timeout;
        self.exchange(request, Persistence::KeepAlive)
    }

    fn exchange(
        &mut self,
        request: &Request<'_>,
        persistence: Persistence,
    ) -> Result<Response, RequestError> {
        self.write(&request.encode(self.peer, persistence))?;
        self.read_response(request.method == "HEAD")
    }

    /// Returns the time until the deadline, at least [`MIN_TIMEOUT`].
    fn remaining(&self) -> Duration {
        self.deadline
            .saturating_duration_since(Instant::now())
            .max(MIN_TIMEOUT)
    }

    fn write(&mut self, bytes: &[u8]) -> Result<(), RequestError> {
        let timeout = self.remaining();
        self.stream
            .set_write_timeout(Some(timeout))
            .and_then(|()| self.stream.write_all(bytes))
            .context(ConnectionSnafu {
                step: "writing to",
                peer: self.peer,
            })
    }

    /// Reads more bytes from the connection into the buffer.
    fn fill_buffer(&mut self) -> Result<(), RequestError> {
        let timeout = self.remaining();
        let mut chunk = [0; READ_BYTES];
        let read = self
            .stream
            .set_read_timeout(Some(timeout))
            .and_then(|()| self.stream.read(&mut chunk))
            .and_then(|count| match count {
                0 => Err(io::ErrorKind::UnexpectedEof.into()),
                count => Ok(count),
            })
            .context(ConnectionSnafu {
                step: "reading from",
                peer: self.peer,
            })?;
        self.buffer.extend_from_slice(&chunk[..read]);
        Ok(())
    }

    fn read_response(&mut self, to_head_request: bool) -> Result<Response, RequestError> {
        let head = self.read_head()?;
        let body = self.read_body(&head, to_head_request)?;
        Ok(Response {
            status: head.status(),
            head,
            body,
        })
    }

    fn read_head(&mut self) -> Result<Head, RequestError> {
        loop {
            let head = Head::parse_response(&mut self.buffer, MAX_HEAD_BYTES);
            if let Some(head) = head.context(InvalidResponseSnafu { peer: self.peer })? {
                return Ok(head);
            }
            self.fill_buffer()?;
        }
    }

    fn read_body(&mut self, head: &Head, to_head_request: bool) -> Result<Vec<u8>, RequestError> {
        let invalid = InvalidResponseSnafu { peer: self.peer };
        let body = if to_head_request {
            BodyPresence::Absent
        } else {
            BodyPresence::Present
        };
        let framing = response_framing(head, body).context(invalid)?;
        let mut body = BodyReader::new(framing, MAX_BODY_BYTES);
        while !body.read_from(&mut self.buffer).context(invalid)? {
            self.fill_buffer()?;
        }
        Ok(body.into_bytes())
    }
}
