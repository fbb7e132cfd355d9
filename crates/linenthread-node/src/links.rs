//! Connections between our own processes: frames both ways, a bounded queue to write from.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use linenthread_messages::{PeerMessage, decode, encode};
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use crate::clock;
use crate::errors::{Error, step};

/// Words that may wait to be written; a peer that lets more wait is let go.
pub(crate) const WAITING: usize = 512;
/// What is sent and not acknowledged for so long ends the connection.
const UNHEARD: Duration = Duration::from_millis(1_600);

/// A stream whose other end may vanish without a word.
pub(crate) fn prepare(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let socket = SockRef::from(stream);
    let _ = socket.set_tcp_user_timeout(Some(UNHEARD));
    let keep = TcpKeepalive::new()
        .with_time(Duration::from_secs(5))
        .with_interval(Duration::from_secs(2));
    let _ = socket.set_tcp_keepalive(&keep);
}

/// A process that has just started may have company in that: who is still dark says nothing, and is back soon.
const YOUNG: (u64, Duration) = (3_000, Duration::from_millis(120));

/// How long a dial is waited for, by the age of this process.
fn patience(age: u64, within: Duration) -> Duration {
    if age < YOUNG.0 {
        within.min(YOUNG.1)
    } else {
        within
    }
}

pub(crate) async fn dial(address: SocketAddr, within: Duration) -> Result<TcpStream, Error> {
    let within = patience(linenthread_time::whole_millis(clock::uptime()), within);
    let connect = TcpStream::connect(address);
    let stream = match tokio::time::timeout(within, connect).await {
        Ok(done) => done.map_err(step("dialling", address))?,
        Err(_) => {
            return Err(step("dialling", address)(
                std::io::ErrorKind::TimedOut.into(),
            ));
        }
    };
    prepare(&stream);
    Ok(stream)
}

/// Reads and writes until either side ends. Each word that comes goes to `take`, which may end it.
pub(crate) async fn carry(
    stream: TcpStream,
    peer: &str,
    mut words: mpsc::Receiver<PeerMessage>,
    mut take: impl FnMut(PeerMessage) -> bool,
) -> Result<(), Error> {
    let (mut from, mut to) = stream.into_split();
    let reading = async {
        let mut buffer = BytesMut::with_capacity(4_096);
        loop {
            while let Some(word) = decode(&mut buffer).map_err(|e| Error::Message {
                step: "reading a frame of",
                peer: peer.to_owned(),
                cause: e.to_string(),
            })? {
                if !take(word) {
                    return Ok(());
                }
            }
            if from
                .read_buf(&mut buffer)
                .await
                .map_err(step("reading from", peer))?
                == 0
            {
                return Ok(());
            }
        }
    };
    let writing = async {
        let (mut buffer, mut waiting) = (BytesMut::new(), Vec::new());
        loop {
            if words.recv_many(&mut waiting, WAITING).await == 0 {
                return Ok(());
            }
            waiting.drain(..).for_each(|word| encode(word, &mut buffer));
            to.write_all(&buffer)
                .await
                .map_err(step("writing to", peer))?;
            buffer.clear();
            if buffer.capacity() > 65_536 {
                buffer = BytesMut::new();
            }
        }
    };
    tokio::select! { done = reading => done, done = writing => done }
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use yare::parameterized;

    use super::patience;

    #[parameterized(
        young = { 0, 600, 120 },
        still_young = { 2_999, 700, 120 },
        grown = { 3_000, 600, 600 },
        in_more_of_a_hurry = { 10, 50, 50 },
    )]
    fn a_young_process_does_not_wait_long_for_one_that_is_dark(age: u64, within: u64, waits: u64) {
        let ms = Duration::from_millis;
        assert_eq!(patience(age, ms(within)), ms(waits));
    }
}
