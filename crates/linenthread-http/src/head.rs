use bytes::{Bytes, BytesMut};
use smallvec::SmallVec;

use crate::Framing;

/// Headers of one connection only: they are not passed on. `content-length` is written anew.
const OWN: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];
const MOST_HEADERS: usize = 64;

/// Why a head cannot be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It is not in the protocol, or its framing is in doubt.
    Malformed,
    /// It is longer than is allowed.
    TooLong,
    /// Its body is longer than is allowed.
    BodyTooLong,
}

type Span = (u32, u32);

/// A request's or answer's first line and headers: one piece of memory, with places in it.
#[derive(Clone, Debug)]
pub struct Head {
    raw: Bytes,
    method: Span,
    target: Span,
    pub status: u16,
    /// HTTP/1.1, else 1.0.
    pub newer: bool,
    headers: SmallVec<[(Span, Span); 12]>,
}

fn place(raw: &[u8], part: &[u8]) -> Span {
    let start = part.as_ptr() as usize - raw.as_ptr() as usize;
    (start as u32, (start + part.len()) as u32)
}

impl Head {
    /// Takes a whole request head off the buffer, if one is there.
    ///
    /// # Errors
    /// What is no head, or longer than `most` bytes.
    pub fn request(buffer: &mut BytesMut, most: usize) -> Result<Option<Head>, Refusal> {
        Head::take(buffer, most, true)
    }

    /// The same for an answer's head; those that only announce another (1xx) are passed over.
    ///
    /// # Errors
    /// What is no head, or longer than `most` bytes.
    pub fn answer(buffer: &mut BytesMut, most: usize) -> Result<Option<Head>, Refusal> {
        loop {
            match Head::take(buffer, most, false)? {
                Some(head) if head.status < 200 && head.status != 101 => {}
                other => return Ok(other),
            }
        }
    }

    fn take(buffer: &mut BytesMut, most: usize, request: bool) -> Result<Option<Head>, Refusal> {
        let mut room = [httparse::EMPTY_HEADER; MOST_HEADERS];
        let raw: &[u8] = buffer;
        let (length, method, target, status, version, headers) = if request {
            let mut parsed = httparse::Request::new(&mut room);
            match parsed.parse(raw) {
                Ok(httparse::Status::Complete(n)) => {
                    let target = parsed.path.unwrap_or_default().as_bytes();
                    let method = parsed.method.unwrap_or_default().as_bytes();
                    (
                        n,
                        place(raw, method),
                        place(raw, target),
                        0,
                        parsed.version,
                        &*parsed.headers,
                    )
                }
                Ok(_) if raw.len() > most => return Err(Refusal::TooLong),
                Ok(_) => return Ok(None),
                Err(httparse::Error::TooManyHeaders) => return Err(Refusal::TooLong),
                Err(_) => return Err(Refusal::Malformed),
            }
        } else {
            let mut parsed = httparse::Response::new(&mut room);
            match parsed.parse(raw) {
                Ok(httparse::Status::Complete(n)) => {
                    let status = parsed.code.unwrap_or_default();
                    (n, (0, 0), (0, 0), status, parsed.version, &*parsed.headers)
                }
                Ok(_) if raw.len() > most => return Err(Refusal::TooLong),
                Ok(_) => return Ok(None),
                Err(httparse::Error::TooManyHeaders) => return Err(Refusal::TooLong),
                Err(_) => return Err(Refusal::Malformed),
            }
        };
        if length > most {
            return Err(Refusal::TooLong);
        }
        let places: SmallVec<[(Span, Span); 12]> = headers
            .iter()
            .map(|h| (place(raw, h.name.as_bytes()), place(raw, h.value)))
            .collect();
        let newer = version == Some(1);
        let raw = buffer.split_to(length).freeze();
        Ok(Some(Head {
            raw,
            method,
            target,
            status,
            newer,
            headers: places,
        }))
    }

    fn at(&self, (from, to): Span) -> &[u8] {
        &self.raw[from as usize..to as usize]
    }

    pub fn method(&self) -> &str {
        std::str::from_utf8(self.at(self.method)).unwrap_or_default()
    }

    /// Path and query.
    pub fn target(&self) -> &str {
        std::str::from_utf8(self.at(self.target)).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        let target = self.target();
        target.split_once('?').map_or(target, |(path, _)| path)
    }

    pub fn headers(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.headers.iter().map(|&(n, v)| {
            (
                std::str::from_utf8(self.at(n)).unwrap_or_default(),
                self.at(v),
            )
        })
    }

    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        self.headers()
            .filter(move |(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, v)| v)
    }

    pub fn header<'a>(&'a self, name: &'a str) -> Option<&'a str> {
        self.all(name)
            .next()
            .and_then(|v| std::str::from_utf8(v).ok())
            .map(str::trim)
    }

    /// Whether one of the comma-separated words of a header is this one.
    pub fn says(&self, name: &str, word: &str) -> bool {
        let has = |v: &[u8]| {
            v.split(|b| *b == b',')
                .any(|part| part.trim_ascii().eq_ignore_ascii_case(word.as_bytes()))
        };
        self.all(name).any(has)
    }

    /// Whether its sender goes on with the connection after this message.
    pub fn keeps(&self) -> bool {
        if self.newer {
            !self.says("connection", "close")
        } else {
            self.says("connection", "keep-alive")
        }
    }

    /// Writes the headers that concern more than one connection, but for those named.
    pub fn pass_on(&self, to: &mut Vec<u8>, but: &[&str]) {
        let bound: SmallVec<[&[u8]; 4]> = self
            .all("connection")
            .flat_map(|v| v.split(|b| *b == b','))
            .map(<[u8]>::trim_ascii)
            .collect();
        for (name, value) in self.headers() {
            let is = |other: &&str| name.eq_ignore_ascii_case(other);
            if OWN.iter().any(is)
                || name.eq_ignore_ascii_case("content-length")
                || but.iter().any(is)
                || bound
                    .iter()
                    .any(|b| name.as_bytes().eq_ignore_ascii_case(b))
            {
                continue;
            }
            to.extend_from_slice(name.as_bytes());
            to.extend_from_slice(b": ");
            to.extend_from_slice(value);
            to.extend_from_slice(b"\r\n");
        }
    }
}

/// Writes a decimal number.
pub fn number(to: &mut Vec<u8>, n: u64) {
    let mut digits = [0u8; 20];
    let (mut at, mut n) = (digits.len(), n);
    loop {
        at -= 1;
        digits[at] = b'0' + (n % 10) as u8;
        n /= 10;
        if n == 0 {
            break;
        }
    }
    to.extend_from_slice(&digits[at..]);
}

/// The one length that a head states, if it states any.
fn stated(head: &Head) -> Result<Option<u64>, Refusal> {
    let mut length = None;
    for value in head.all("content-length") {
        let text = std::str::from_utf8(value)
            .map_err(|_| Refusal::Malformed)?
            .trim();
        if text.is_empty() || text.len() > 15 || !text.bytes().all(|b| b.is_ascii_digit()) {
            return Err(Refusal::Malformed);
        }
        let n: u64 = text.parse().map_err(|_| Refusal::Malformed)?;
        if length.is_some_and(|other| other != n) {
            return Err(Refusal::Malformed);
        }
        length = Some(n);
    }
    Ok(length)
}

/// Whether the body comes in chunks; any other coding is refused.
fn chunked(head: &Head) -> Result<bool, Refusal> {
    let mut codings = head.all("transfer-encoding");
    let Some(first) = codings.next() else {
        return Ok(false);
    };
    if codings.next().is_some()
        || !first.trim_ascii().eq_ignore_ascii_case(b"chunked")
        || !head.newer
    {
        return Err(Refusal::Malformed);
    }
    Ok(true)
}

/// How a request's body comes; what could be read in two ways is refused, and so is what no replica may get.
///
/// # Errors
/// A framing in doubt, a target that is no path, no host or several, a body over `most` bytes.
pub fn request_framing(head: &Head, most: usize) -> Result<Framing, Refusal> {
    if !head.target().starts_with('/') || head.method().is_empty() || head.all("host").count() != 1
    {
        return Err(Refusal::Malformed);
    }
    match (chunked(head)?, stated(head)?) {
        (true, Some(_)) => Err(Refusal::Malformed),
        (true, None) => Ok(Framing::Chunked),
        (false, Some(n)) if n > most as u64 => Err(Refusal::BodyTooLong),
        (false, length) => Ok(Framing::Length(length.unwrap_or(0))),
    }
}

/// How an answer's body comes. One that lasts until the connection ends cannot be told from one cut short.
///
/// # Errors
/// A framing in doubt, or none at all.
pub fn answer_framing(head: &Head, to_head_request: bool) -> Result<Framing, Refusal> {
    if to_head_request || matches!(head.status, 204 | 304) {
        return Ok(Framing::Length(0));
    }
    match (chunked(head)?, stated(head)?) {
        (true, Some(_)) | (false, None) => Err(Refusal::Malformed),
        (true, None) => Ok(Framing::Chunked),
        (false, Some(n)) => Ok(Framing::Length(n)),
    }
}
