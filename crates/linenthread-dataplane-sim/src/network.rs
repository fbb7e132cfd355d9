//! Connections in memory. What the front writes is handed at once to whoever listens at the address, who says
//! what comes back and when; the front reads it from that moment on.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::future::Future;
use std::io::{Error, ErrorKind, Result};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use linenthread_dataplane::transport::{Connector, ReplicaTransport};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, Sleep, sleep_until};

/// What the front finds when it reads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    Bytes(Vec<u8>),
    Close,
    Reset,
}

/// What becomes of bytes that the front writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteFate {
    /// They are taken. They may still not arrive.
    Taken,
    /// So many are taken, then the connection fails.
    FailsAfter(usize),
    /// So many are taken, and then no more are, with no word.
    StopsAfter(usize),
}

/// What comes back on a connection, in order: nothing overtakes what was sent before it.
#[derive(Default)]
pub struct Inbound {
    events: VecDeque<(Instant, Event)>,
    reader: Option<Waker>,
}

impl Inbound {
    /// Puts an event on the way to the front, after so long and after all that is on its way already.
    pub fn push(&mut self, after: Duration, event: Event) {
        let at = Instant::now() + after;
        let at = self.events.back().map_or(at, |(last, _)| at.max(*last));
        self.events.push_back((at, event));
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }

    /// Nothing is there to be read at this moment.
    pub fn is_idle(&self) -> bool {
        self.events
            .front()
            .is_none_or(|(at, _)| *at > Instant::now())
    }
}

/// The far end of one connection.
pub trait Peer {
    /// The front is about to write these bytes.
    fn write_fate(&mut self, bytes: &[u8]) -> WriteFate;
    /// These bytes have arrived.
    fn receive(&mut self, bytes: &[u8], inbound: &mut Inbound);
    /// The front has closed its end.
    fn closed(&mut self) {}
}

/// Who listens at an address.
pub trait Listener {
    /// The far end of a new connection, after so long; none where nobody answers.
    fn accept(&self) -> Option<(Duration, Box<dyn Peer>)>;
}

/// All addresses.
#[derive(Clone, Default)]
pub struct Network(Rc<RefCell<BTreeMap<SocketAddr, Rc<dyn Listener>>>>);

impl Network {
    /// From now on this listens there; connections that are up stay with whom they were made to.
    pub fn listen(&self, address: SocketAddr, listener: Rc<dyn Listener>) {
        self.0.borrow_mut().insert(address, listener);
    }
}

impl Connector for Network {
    type Transport = MemoryStream;

    async fn connect(&self, address: SocketAddr) -> Result<MemoryStream> {
        let listener = self.0.borrow().get(&address).cloned();
        let accepted = listener.ok_or(ErrorKind::ConnectionRefused)?.accept();
        let (after, peer) = accepted.ok_or(ErrorKind::ConnectionRefused)?;
        tokio::time::sleep(after).await;
        Ok(MemoryStream {
            inbound: Inbound::default(),
            peer,
            write: WriteState::Whole,
            sleep: None,
        })
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum WriteState {
    Whole,
    Failed,
    Stopped,
}

/// The front's end of a connection.
pub struct MemoryStream {
    inbound: Inbound,
    peer: Box<dyn Peer>,
    write: WriteState,
    sleep: Option<Pin<Box<Sleep>>>,
}

impl Drop for MemoryStream {
    fn drop(&mut self) {
        self.peer.closed();
    }
}

impl ReplicaTransport for MemoryStream {
    fn is_idle(&self) -> bool {
        self.inbound.is_idle()
    }
}

impl MemoryStream {
    /// Ready when the next event is due.
    fn poll_due(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let Some((at, _)) = self.inbound.events.front() else {
            self.inbound.reader = Some(context.waker().clone());
            return Poll::Pending;
        };
        if *at <= Instant::now() {
            return Poll::Ready(());
        }
        let at = *at;
        let sleep = self.sleep.get_or_insert_with(|| Box::pin(sleep_until(at)));
        if sleep.deadline() != at {
            sleep.as_mut().reset(at);
        }
        sleep.as_mut().poll(context)
    }
}

impl AsyncRead for MemoryStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        to: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        if self.poll_due(context).is_pending() {
            return Poll::Pending;
        }
        self.sleep = None;
        let Some((_, event)) = self.inbound.events.front_mut() else {
            return Poll::Pending;
        };
        match event {
            Event::Close => Poll::Ready(Ok(())),
            Event::Reset => Poll::Ready(Err(Error::from(ErrorKind::ConnectionReset))),
            Event::Bytes(bytes) => {
                let some = bytes.len().min(to.remaining());
                to.put_slice(&bytes[..some]);
                bytes.drain(..some);
                if bytes.is_empty() {
                    self.inbound.events.pop_front();
                }
                Poll::Ready(Ok(()))
            }
        }
    }
}

impl AsyncWrite for MemoryStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        match self.write {
            WriteState::Failed => return Poll::Ready(Err(Error::from(ErrorKind::BrokenPipe))),
            WriteState::Stopped => return Poll::Pending,
            WriteState::Whole => {}
        }
        let this = &mut *self;
        let (taken, then) = match this.peer.write_fate(bytes) {
            WriteFate::Taken => (bytes.len(), WriteState::Whole),
            WriteFate::FailsAfter(some) => (some.min(bytes.len()), WriteState::Failed),
            WriteFate::StopsAfter(some) => (some.min(bytes.len()), WriteState::Stopped),
        };
        this.write = then;
        this.peer.receive(&bytes[..taken], &mut this.inbound);
        match (taken, then) {
            (0, WriteState::Failed) => Poll::Ready(Err(Error::from(ErrorKind::BrokenPipe))),
            (0, WriteState::Stopped) => Poll::Pending,
            _ => Poll::Ready(Ok(taken)),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Result<()>> {
        Poll::Ready(Ok(()))
    }
}
