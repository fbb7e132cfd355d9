//! Calls of the system's control, one after another, at the first of several addresses that can answer.
#![expect(
    missing_docs,
    reason = "public items of this package are not all documented yet"
)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use bytes::BytesMut;
use linenthread_http::{Body, Head, answer_framing};
use snafu::Snafu;

const HEAD: usize = 16_384;
const BODY: usize = 64 << 20;

#[derive(Debug, Snafu)]
pub enum Fault {
    #[snafu(display("{step} {peer}: {source}"))]
    Step {
        step: &'static str,
        peer: SocketAddr,
        source: std::io::Error,
    },
    #[snafu(display("{peer} answered what is no answer"))]
    NoAnswer { peer: SocketAddr },
    #[snafu(display("no address is given"))]
    NoAddress,
}

pub struct Reply {
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
}

/// One call at one address, within a time.
///
/// # Errors
/// The step and the peer at which it failed.
pub fn call(
    peer: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    within: Duration,
) -> Result<Reply, Fault> {
    let by = Instant::now() + within;
    let at = |step: &'static str| move |source| Fault::Step { step, peer, source };
    let left = || {
        by.saturating_duration_since(Instant::now())
            .max(Duration::from_millis(1))
    };
    let mut stream = TcpStream::connect_timeout(&peer, left()).map_err(at("dialling"))?;
    let mut bytes = format!(
        "{method} {path} HTTP/1.1\r\nContent-Length: {}\r\nConnection: close\r\n",
        body.len()
    );
    if !headers
        .iter()
        .any(|(name, _)| name.eq_ignore_ascii_case("host"))
    {
        bytes.push_str(&format!("Host: {peer}\r\n"));
    }
    for (name, value) in headers {
        bytes.push_str(&format!("{name}: {value}\r\n"));
    }
    bytes.push_str("\r\n");
    let bytes = [bytes.as_bytes(), body].concat();
    stream
        .set_write_timeout(Some(left()))
        .map_err(at("writing to"))?;
    stream.write_all(&bytes).map_err(at("writing to"))?;
    let (mut buffer, mut head, mut piece) = (BytesMut::new(), None, [0; 16_384]);
    let mut reading: Option<Body> = None;
    loop {
        if head.is_none() {
            head = Head::answer(&mut buffer, HEAD).map_err(|_| Fault::NoAnswer { peer })?;
            if let Some(head) = &head {
                let framing =
                    answer_framing(head, method == "HEAD").map_err(|_| Fault::NoAnswer { peer })?;
                reading = Some(Body::new(framing, BODY));
            }
        }
        if let Some(body) = &mut reading
            && body
                .take(&mut buffer)
                .map_err(|_| Fault::NoAnswer { peer })?
        {
            let (Some(head), Some(body)) = (head, reading) else {
                return Err(Fault::NoAnswer { peer });
            };
            return Ok(Reply {
                status: head.status,
                head,
                body: body.read,
            });
        }
        stream
            .set_read_timeout(Some(left()))
            .map_err(at("reading from"))?;
        match stream.read(&mut piece).map_err(at("reading from"))? {
            0 => return Err(at("reading from")(std::io::ErrorKind::UnexpectedEof.into())),
            n => buffer.extend_from_slice(&piece[..n]),
        }
    }
}

/// Several addresses that can take a call.
pub struct Client {
    pub addresses: Vec<SocketAddr>,
    /// How long one address may take.
    pub within: Duration,
}

impl Client {
    /// The answer of the first address that has one to give: silence, a failure, a 5xx, 408 or 429 goes on to
    /// the next, round after round while there is time.
    ///
    /// # Errors
    /// What the last address failed at.
    pub fn call(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, String)],
        body: &[u8],
        rounds: usize,
    ) -> Result<Reply, Fault> {
        let mut last = Err(Fault::NoAddress);
        for _ in 0..rounds.max(1) {
            for peer in &self.addresses {
                last = call(*peer, method, path, headers, body, self.within);
                if last
                    .as_ref()
                    .is_ok_and(|r| r.status < 500 && !matches!(r.status, 408 | 429))
                {
                    return last;
                }
            }
        }
        last
    }
}
