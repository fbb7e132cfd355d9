//! The state of one client's connection: where its request is, when it is idle, and when it is to close.

use std::cell::{Cell, RefCell};
use std::task::Waker;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use super::REQUEST_TIMEOUT;

/// How long a connection without a request is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// The same for one that has never sent a request, and for all while more than half of the connections that there
/// may be are open.
const CROWDED_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// A request that takes longer than this to arrive may be evicted for a new connection.
const SLOW_REQUEST: Duration = Duration::from_millis(200);

/// Where a connection's request is.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum ConnectionState {
    Idle,
    /// Some of a request's head was read.
    ReadingHead,
    /// A request's head was read completely.
    ReadingBody,
    /// A request was read completely and is not yet answered.
    AwaitingResponse,
}

/// The state of one client's connection, shared by its task and the frontend.
pub(super) struct ClientConnection {
    state: Cell<ConnectionState>,
    /// When it entered its state; the first request begins with the connection.
    since: Cell<Instant>,
    /// A request of it was answered.
    has_had_response: Cell<bool>,
    /// It closes as soon as it is idle.
    is_closing: Cell<bool>,
    /// It closes even amid a request, unless that awaits its response.
    is_evicted: Cell<bool>,
    /// Wakes the task that reads.
    reader: RefCell<Option<Waker>>,
    /// The client left while its request was awaiting the response.
    client_left: Notify,
    /// Its request was rejected: nothing more is read, and what was read with it is ignored.
    discards_input: Cell<bool>,
}

impl ClientConnection {
    pub(super) fn new() -> Self {
        ClientConnection {
            state: Cell::new(ConnectionState::Idle),
            since: Cell::new(Instant::now()),
            has_had_response: Cell::new(false),
            is_closing: Cell::new(false),
            is_evicted: Cell::new(false),
            reader: RefCell::new(None),
            client_left: Notify::new(),
            discards_input: Cell::new(false),
        }
    }

    fn set_state(&self, state: ConnectionState) {
        self.state.set(state);
        self.since.set(Instant::now());
    }

    /// Some of a request was read. The first one has begun with the connection.
    pub(super) fn on_request_bytes(&self) {
        match (self.state.get(), self.has_had_response.get()) {
            (ConnectionState::Idle, true) => self.set_state(ConnectionState::ReadingHead),
            (ConnectionState::Idle, false) => self.state.set(ConnectionState::ReadingHead),
            _ => {}
        }
    }

    /// A request's head was read completely.
    pub(super) fn on_request_head(&self) {
        // What arrived in one piece with the request before it has only begun now.
        self.on_request_bytes();
        self.state.set(ConnectionState::ReadingBody);
    }

    /// A request was read completely.
    pub(super) fn on_request_complete(&self) {
        self.set_state(ConnectionState::AwaitingResponse);
    }

    /// A request was answered.
    pub(super) fn on_response_sent(&self) {
        self.set_state(ConnectionState::Idle);
        self.has_had_response.set(true);
        self.wake();
    }

    /// Its request is rejected, and with it whatever else was sent on the connection.
    pub(super) fn discard_input(&self) {
        self.discards_input.set(true);
    }

    pub(super) fn discards_input(&self) -> bool {
        self.discards_input.get()
    }

    /// Its request was read completely and is not yet answered.
    pub(super) fn awaits_response(&self) -> bool {
        self.state.get() == ConnectionState::AwaitingResponse
    }

    /// Nothing more is to be read: it is evicted, or idle and to close.
    pub(super) fn is_ending(&self) -> bool {
        self.is_evicted.get() || (self.is_closing.get() && self.is_idle())
    }

    /// Sets what wakes the task that reads, once it is to close.
    pub(super) fn set_reader(&self, reader: &Waker) {
        self.reader.replace(Some(reader.clone()));
    }

    /// The client has left while its request awaits the response.
    pub(super) fn on_client_left(&self) {
        self.client_left.notify_one();
    }

    /// Waits until the client leaves while its request awaits the response.
    pub(super) async fn client_left(&self) {
        self.client_left.notified().await;
    }

    /// When a request that has begun must have been read completely.
    pub(super) fn request_deadline(&self) -> Instant {
        self.since.get() + REQUEST_TIMEOUT
    }

    /// When it entered its state.
    pub(super) fn since(&self) -> Instant {
        self.since.get()
    }

    /// No request has begun, or one that is overdue.
    fn is_idle(&self) -> bool {
        match self.state.get() {
            ConnectionState::Idle => true,
            ConnectionState::ReadingHead => self.request_deadline() < Instant::now(),
            ConnectionState::ReadingBody | ConnectionState::AwaitingResponse => false,
        }
    }

    /// It has had an answer, sends no further request, and is not closing yet.
    pub(super) fn is_spent(&self) -> bool {
        self.has_had_response.get()
            && self.state.get() == ConnectionState::Idle
            && !self.is_closing.get()
    }

    /// It connected only now: its first request may be on the way.
    pub(super) fn is_new(&self) -> bool {
        !self.has_had_response.get() && self.since.get().elapsed() <= SLOW_REQUEST
    }

    /// It may be closed for a new connection: it is idle, or its request takes longer than usual to arrive.
    pub(super) fn may_be_evicted(&self) -> bool {
        let may_be_evicted = match self.state.get() {
            ConnectionState::Idle => true,
            ConnectionState::ReadingHead | ConnectionState::ReadingBody => {
                self.since.get().elapsed() > SLOW_REQUEST
            }
            ConnectionState::AwaitingResponse => false,
        };
        may_be_evicted && !self.is_evicted.get()
    }

    /// It has been idle for longer than it is kept.
    pub(super) fn is_idle_too_long(&self, is_crowded: bool) -> bool {
        let kept = if is_crowded || !self.has_had_response.get() {
            CROWDED_IDLE_TIMEOUT
        } else {
            IDLE_TIMEOUT
        };
        let is_overdue = self.state.get() == ConnectionState::ReadingHead;
        self.is_idle() && (is_overdue || self.since.get().elapsed() > kept)
    }

    /// Closes it as soon as it is idle.
    pub(super) fn close(&self) {
        self.is_closing.set(true);
        self.wake();
    }

    /// Closes it even amid a request, unless that awaits its response.
    pub(super) fn evict(&self) {
        self.is_evicted.set(true);
        self.close();
    }

    fn wake(&self) {
        if let Some(reader) = self.reader.borrow_mut().take() {
            reader.wake();
        }
    }
}
