//! Connections in memory. What the ingress node writes is handed at once to the peer at the address, which says what
//! comes back and when; the ingress node reads it from that moment on.

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

use crate::fault_plan::WriteFault;

/// What the ingress node finds when it reads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InboundEvent {
    /// These bytes.
    Bytes(Vec<u8>),
    /// The end of the connection.
    Close,
    /// The failure of the connection.
    Reset,
}

/// An event on its way to the ingress node.
struct ScheduledEvent {
    at: Instant,
    event: InboundEvent,
}

/// What comes back on a connection, in the order in which it was sent.
#[derive(Default)]
pub struct Inbound {
    events: VecDeque<ScheduledEvent>,
    reader: Option<Waker>,
}

impl Inbound {
    /// Sends an event to the ingress node, which arrives after so long, and after all that was sent before.
    pub fn push(&mut self, after: Duration, event: InboundEvent) {
        let at = Instant::now() + after;
        let at = self.events.back().map_or(at, |last| at.max(last.at));
        self.events.push_back(ScheduledEvent { at, event });
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }

    /// Sends bytes to the ingress node; the same as [`Inbound::push`] with [`InboundEvent::Bytes`].
    pub(crate) fn push_bytes(&mut self, after: Duration, bytes: Vec<u8>) {
        self.push(after, InboundEvent::Bytes(bytes));
    }

    /// Whether nothing can be read at this moment.
    pub fn is_idle(&self) -> bool {
        self.events
            .front()
            .is_none_or(|next| next.at > Instant::now())
    }
}

/// The remote end of one connection.
pub trait Peer {
    /// The fault of a write of these bytes.
    fn write_fault(&mut self, bytes: &[u8]) -> WriteFault;
    /// These bytes have arrived.
    fn receive(&mut self, bytes: &[u8], inbound: &mut Inbound);
    /// The ingress node has closed its end.
    fn closed(&mut self) {}
}

/// A connection that is accepted.
pub struct Accepted {
    /// How long it takes until it is there.
    pub after: Duration,
    /// Its remote end.
    pub peer: Box<dyn Peer>,
}

/// What listens at an address.
pub trait Listener {
    /// A new connection; none if it is refused.
    fn accept(&self) -> Option<Accepted>;
}

/// The listeners at all addresses.
#[derive(Clone, Default)]
pub struct Network(Rc<RefCell<BTreeMap<SocketAddr, Rc<dyn Listener>>>>);

impl Network {
    /// Makes this the listener at an address; connections that are open keep their peers.
    pub fn listen(&self, address: SocketAddr, listener: Rc<dyn Listener>) {
        self.0.borrow_mut().insert(address, listener);
    }
}

impl Connector for Network {
    type Transport = MemoryStream;

    async fn connect(&self, address: SocketAddr) -> Result<MemoryStream> {
        let listener = self.0.borrow().get(&address).cloned();
        let accepted = listener.ok_or(ErrorKind::ConnectionRefused)?.accept();
        let Accepted { after, peer } = accepted.ok_or(ErrorKind::ConnectionRefused)?;
        tokio::time::sleep(after).await;
        Ok(MemoryStream {
            inbound: Inbound::default(),
            peer,
            write_state: WriteState::Open,
            sleep: None,
        })
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum WriteState {
    Open,
    Failed,
    Stalled,
}

/// The ingress node's end of a connection.
pub struct MemoryStream {
    inbound: Inbound,
    peer: Box<dyn Peer>,
    write_state: WriteState,
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
    /// Ready when the next event has arrived.
    fn poll_next_event(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let Some(&ScheduledEvent { at, .. }) = self.inbound.events.front() else {
            self.inbound.reader = Some(context.waker().clone());
            return Poll::Pending;
        };
        if at <= Instant::now() {
            return Poll::Ready(());
        }
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
        if self.poll_next_event(context).is_pending() {
            return Poll::Pending;
        }
        self.sleep = None;
        let Some(ScheduledEvent { event, .. }) = self.inbound.events.front_mut() else {
            return Poll::Pending;
        };
        match event {
            InboundEvent::Close => Poll::Ready(Ok(())),
            InboundEvent::Reset => Poll::Ready(Err(Error::from(ErrorKind::ConnectionReset))),
            InboundEvent::Bytes(bytes) => {
                let count = bytes.len().min(to.remaining());
                to.put_slice(&bytes[..count]);
                bytes.drain(..count);
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
        match self.write_state {
            WriteState::Failed => return Poll::Ready(Err(Error::from(ErrorKind::BrokenPipe))),
            WriteState::Stalled => return Poll::Pending,
            WriteState::Open => {}
        }
        let this = &mut *self;
        let (accepted, next) = match this.peer.write_fault(bytes) {
            WriteFault::None => (bytes.len(), WriteState::Open),
            WriteFault::FailsAfter(count) => (count.min(bytes.len()), WriteState::Failed),
            WriteFault::StallsAfter(count) => (count.min(bytes.len()), WriteState::Stalled),
        };
        this.write_state = next;
        this.peer.receive(&bytes[..accepted], &mut this.inbound);
        match (accepted, next) {
            (0, WriteState::Failed) => Poll::Ready(Err(Error::from(ErrorKind::BrokenPipe))),
            (0, WriteState::Stalled) => Poll::Pending,
            _ => Poll::Ready(Ok(accepted)),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Result<()>> {
        Poll::Ready(Ok(()))
    }
}
