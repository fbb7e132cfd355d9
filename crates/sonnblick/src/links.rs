//! Connections between our own processes: frames both ways, a bounded queue to write from.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use valentia::{Word, decode, encode};

use crate::errors::{Error, step};

/// Words that may wait to be written; a peer that lets more wait is let go.
pub const WAITING: usize = 512;
/// What is sent and not acknowledged for so long ends the connection.
const UNHEARD: Duration = Duration::from_millis(1_600);

/// A stream whose other end may vanish without a word.
pub fn prepare(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let socket = SockRef::from(stream);
    let _ = socket.set_tcp_user_timeout(Some(UNHEARD));
    let keep = TcpKeepalive::new().with_time(Duration::from_secs(5)).with_interval(Duration::from_secs(2));
    let _ = socket.set_tcp_keepalive(&keep);
}

pub async fn dial(address: SocketAddr, within: Duration) -> Result<TcpStream, Error> {
    let connect = TcpStream::connect(address);
    let stream = match tokio::time::timeout(within, connect).await {
        Ok(done) => done.map_err(step("dialling", address))?,
        Err(_) => return Err(step("dialling", address)(std::io::ErrorKind::TimedOut.into())),
    };
    prepare(&stream);
    Ok(stream)
}

/// Reads and writes until either side ends. Each word that comes goes to `take`, which may end it.
pub async fn carry(
    stream: TcpStream,
    peer: &str,
    mut words: mpsc::Receiver<Word>,
    mut take: impl FnMut(Word) -> bool,
) -> Result<(), Error> {
    let (mut from, mut to) = stream.into_split();
    let reading = async {
        let mut buffer = BytesMut::with_capacity(4_096);
        loop {
            while let Some(word) = decode(&mut buffer).map_err(|e| Error::Word {
                step: "reading a frame of",
                peer: peer.to_owned(),
                cause: e.to_string(),
            })? {
                if !take(word) {
                    return Ok(());
                }
            }
            if from.read_buf(&mut buffer).await.map_err(step("reading from", peer))? == 0 {
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
            to.write_all(&buffer).await.map_err(step("writing to", peer))?;
            buffer.clear();
            if buffer.capacity() > 65_536 {
                buffer = BytesMut::new();
            }
        }
    };
    tokio::select! { done = reading => done, done = writing => done }
}
