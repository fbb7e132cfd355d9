//! One connection of a stand-in replica: requests one after another, each answered, or answered wrongly.

use std::io::{ErrorKind, Read, Result, Write};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::BytesMut;
use linenthread_http::{BodyReader, Head, request_framing};

use super::misbehaviour::{Draws, Wrong};
use super::{Ran, Shared, records};

const HEAD: usize = 16_384;
const BODY: usize = 1 << 20;
/// An answer too many that is late comes so much later.
const LATE: Duration = Duration::from_millis(15);
/// A connection that is to bear no answer ends by itself after so long.
const SILENCE: Duration = Duration::from_secs(10);
const MISDIRECTED: &[u8] = b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n";

/// Serves one connection until it ends or the replica is down.
pub(super) fn serve(mut stream: TcpStream, shared: &Shared, number: u64) -> Result<()> {
    let mut buffer = BytesMut::new();
    let mut draws = Draws::new(shared.how, number);
    // An answer too many that is sent before the next one.
    let mut stale = Vec::new();
    while let Some(head) = read_request(&mut stream, &mut buffer)? {
        if shared.down.load(Ordering::Relaxed) {
            return Ok(());
        }
        if head
            .header("x-target-replica")
            .is_some_and(|t| t != shared.ident)
        {
            stream.write_all(MISDIRECTED)?;
            continue;
        }
        let attempt = head.header("x-attempt-id").unwrap_or_default();
        let path = head.target();
        note_run(shared, attempt, path);
        let wrong = draws.next();
        if let Some(wrong) = wrong {
            note_wrong(shared, wrong);
        }
        stream.write_all(&std::mem::take(&mut stale))?;
        let whole = answer(shared, Some(attempt), attempt, path);
        match wrong {
            None => stream.write_all(&whole)?,
            Some(Wrong::TwiceAtOnce) => stream.write_all(&whole.repeat(2))?,
            Some(Wrong::TwiceLate) => {
                stream.write_all(&whole)?;
                std::thread::sleep(LATE);
                stream.write_all(&whole)?;
            }
            Some(Wrong::TwiceWhenTheNextIsDue) => {
                stream.write_all(&whole)?;
                stale = whole;
            }
            Some(Wrong::TwiceWithoutId) => {
                stream.write_all(&whole)?;
                stale = answer(shared, None, attempt, path);
            }
            Some(Wrong::AnothersAnswer) => {
                let other = format!("other-{attempt}");
                stream.write_all(&answer(shared, Some(&other), &other, "/another"))?;
            }
            Some(Wrong::CutHead) => return stream.write_all(&whole[..20]),
            Some(Wrong::CutBody) => return stream.write_all(&whole[..whole.len() - 5]),
            Some(Wrong::Silent) => return wait_for_end(&mut stream),
            Some(Wrong::Closed) => return Ok(()),
        }
    }
    Ok(())
}

/// The next whole request; none when the connection has ended.
fn read_request(stream: &mut TcpStream, buffer: &mut BytesMut) -> Result<Option<Head>> {
    let bad = |_| ErrorKind::InvalidData;
    let head = loop {
        if let Some(head) = Head::parse_request(buffer, HEAD).map_err(bad)? {
            break head;
        }
        if read_more(stream, buffer)? == 0 {
            return Ok(None);
        }
    };
    let mut body = BodyReader::new(request_framing(&head, BODY).map_err(bad)?, BODY);
    while !body.read_from(buffer).map_err(bad)? {
        if read_more(stream, buffer)? == 0 {
            return Ok(None);
        }
    }
    Ok(Some(head))
}

fn read_more(stream: &mut TcpStream, buffer: &mut BytesMut) -> Result<usize> {
    let mut piece = [0; 4_096];
    let count = stream.read(&mut piece)?;
    buffer.extend_from_slice(&piece[..count]);
    Ok(count)
}

fn answer(shared: &Shared, id: Option<&str>, attempt: &str, path: &str) -> Vec<u8> {
    let records = records(&shared.service, path);
    let id = id
        .map(|id| format!("X-Attempt-Id: {id}\r\n"))
        .unwrap_or_default();
    let head = format!(
        "HTTP/1.1 200 OK\r\n{id}X-Replica-Seal: {}.{}.{attempt}\r\nContent-Length: {}\r\n\r\n",
        shared.service,
        shared.ident,
        records.len()
    );
    [head.as_bytes(), &records].concat()
}

fn note_run(shared: &Shared, attempt: &str, path: &str) {
    if let Ok(mut ran) = shared.ran.lock() {
        ran.push(Ran {
            attempt: attempt.to_owned(),
            path: path.to_owned(),
        });
    }
}

fn note_wrong(shared: &Shared, wrong: Wrong) {
    if let Ok(mut misbehaved) = shared.misbehaved.lock() {
        *misbehaved.entry(wrong.name()).or_default() += 1;
    }
}

/// Says nothing until the other side ends the connection.
fn wait_for_end(stream: &mut TcpStream) -> Result<()> {
    stream.set_read_timeout(Some(SILENCE))?;
    let mut piece = [0; 4_096];
    while stream.read(&mut piece)? > 0 {}
    Ok(())
}
