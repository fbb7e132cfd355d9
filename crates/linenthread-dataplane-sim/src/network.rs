//! In-memory connections. Bytes that the ingress node writes are passed immediately to the peer at the remote end,
//! which schedules what it sends back. The ingress node can read that once its arrival time is reached.

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

/// An event that the ingress node observes when it reads from a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InboundEvent {
    /// Bytes arrive.
    Bytes(Vec<u8>),
    /// The peer closes the connection.
    Close,
    /// The connection is reset.
    Reset,
}

/// An event that has been sent to the ingress node, with its arrival time.
struct ScheduledEvent {
    at: Instant,
    event: InboundEvent,
}

/// The events sent to the ingress node on a connection, in order.
#[derive(Default)]
pub struct Inbound {
    events: VecDeque<ScheduledEvent>,
    reader: Option<Waker>,
}

impl Inbound {
    /// Sends an event to the ingress node. It arrives after this delay, but not before events that were sent earlier.
    pub fn push(&mut self, delay: Duration, event: InboundEvent) {
        let at = Instant::now() + delay;
        let at = self.events.back().map_or(at, |last| at.max(last.at));
        self.events.push_back(ScheduledEvent { at, event });
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }

    /// Sends bytes to the ingress node, like [`Inbound::push`] with [`InboundEvent::Bytes`].
    pub(crate) fn push_bytes(&mut self, delay: Duration, bytes: Vec<u8>) {
        self.push(delay, InboundEvent::Bytes(bytes));
    }

    /// Reports whether there is nothing to read at the current time.
    pub fn is_idle(&self) -> bool {
        self.events
            .front()
            .is_none_or(|next| next.at > Instant::now())
    }
}

/// The remote end of a connection.
pub trait Peer {
    /// Returns the fault that the ingress node encounters when it writes these bytes.
    fn write_fault(&mut self, _bytes: &[u8]) -> WriteFault {
        WriteFault::None
    }
    /// Handles bytes that have arrived. Responses are sent through `inbound`.
    fn receive(&mut self, bytes: &[u8], inbound: &mut Inbound);
    /// Called when the ingress node has closed its end.
    fn closed(&mut self) {}
}

/// An accepted connection.
pub struct Accepted {
    /// Time until the connection is established.
    pub after: Duration,
    /// The remote end of the connection.
    pub peer: Box<dyn Peer>,
}

impl Accepted {
    /// Creates a connection that is established at once.
    pub fn immediately(peer: impl Peer + 'static) -> Accepted {
        Accepted {
            after: Duration::ZERO,
            peer: Box::new(peer),
        }
    }
}

/// A listener at an address.
pub trait Listener {
    /// Accepts a new connection. Returns `None` if the connection is refused.
    fn accept(&self) -> Option<Accepted>;
}

/// The listeners, by address. Clones share the same listeners.
#[derive(Clone, Default)]
pub struct Network(Rc<RefCell<BTreeMap<SocketAddr, Rc<dyn Listener>>>>);

impl Network {
    /// Installs a listener at an address, replacing the previous one. Open connections keep their peers.
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

/// The ingress node's end of an in-memory connection.
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
    /// Returns `Ready` once the next event has arrived.
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
