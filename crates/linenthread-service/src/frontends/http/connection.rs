//! The state of one client connection: the progress of its request, and whether it is idle, closing or evicted.

use std::cell::{Cell, RefCell};
use std::task::Waker;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use super::REQUEST_TIMEOUT;

/// How long an idle connection stays open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// The same for connections that have never had a response, and for all connections while more than half of the
/// maximum are open.
const CROWDED_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// A connection whose request takes longer than this to arrive may be evicted in favour of a new one.
const SLOW_REQUEST: Duration = Duration::from_millis(200);

/// The progress of a connection's request.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum ConnectionState {
    Idle,
    /// Part of a request's head was read.
    ReadingHead,
    /// A request's head was read completely.
    ReadingBody,
    /// A request was read completely and is not answered yet.
    AwaitingResponse,
}

/// The state of one client connection, shared by its task and the frontend.
pub(super) struct ClientConnection {
    state: Cell<ConnectionState>,
    /// When the connection became idle, its request began or its request was read completely. The first request
    /// begins with the connection.
    since: Cell<Instant>,
    /// Whether a request was answered.
    has_had_response: Cell<bool>,
    /// Whether the connection closes as soon as it is idle.
    is_closing: Cell<bool>,
    /// Whether the connection closes even during a request, unless the request awaits its response.
    is_evicted: Cell<bool>,
    /// Wakes the task that reads from the connection.
    reader: RefCell<Option<Waker>>,
    /// Notified when the client disconnects while its request awaits the response.
    client_left: Notify,
    /// Whether a request was rejected: nothing more is read, and input that was read along with it is ignored.
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

    /// Records that part of a request was read. The first request has begun with the connection.
    pub(super) fn on_request_bytes(&self) {
        match (self.state.get(), self.has_had_response.get()) {
            (ConnectionState::Idle, true) => self.set_state(ConnectionState::ReadingHead),
            (ConnectionState::Idle, false) => self.state.set(ConnectionState::ReadingHead),
            _ => {}
        }
    }

    /// Records that a request's head was read completely.
    pub(super) fn on_request_head(&self) {
        // A request that was read along with the previous one begins now.
        self.on_request_bytes();
        self.state.set(ConnectionState::ReadingBody);
    }

    /// Records that a request was read completely.
    pub(super) fn on_request_complete(&self) {
        self.set_state(ConnectionState::AwaitingResponse);
    }

    /// Records that a request was answered.
    pub(super) fn on_response_sent(&self) {
        self.set_state(ConnectionState::Idle);
        self.has_had_response.set(true);
        self.wake();
    }

    /// Ignores all further input, since the current request is rejected.
    pub(super) fn discard_input(&self) {
        self.discards_input.set(true);
    }

    pub(super) fn discards_input(&self) -> bool {
        self.discards_input.get()
    }

    /// Returns whether a request was read completely and is not answered yet.
    pub(super) fn awaits_response(&self) -> bool {
        self.state.get() == ConnectionState::AwaitingResponse
    }

    /// Returns whether nothing more is to be read: the connection is evicted, or it is closing and idle.
    pub(super) fn is_ending(&self) -> bool {
        self.is_evicted.get() || (self.is_closing.get() && self.is_idle())
    }

    /// Sets the waker of the reading task, which is woken once after a response, a close or an eviction.
    pub(super) fn set_reader(&self, reader: &Waker) {
        self.reader.replace(Some(reader.clone()));
    }

    /// Records that the client has disconnected while its request awaits the response.
    pub(super) fn on_client_left(&self) {
        self.client_left.notify_one();
    }

    /// Waits until the client disconnects while its request awaits the response.
    pub(super) async fn client_left(&self) {
        self.client_left.notified().await;
    }

    /// Returns the time by which a request that has begun must be read completely.
    pub(super) fn request_deadline(&self) -> Instant {
        self.since.get() + REQUEST_TIMEOUT
    }

    /// Returns when the connection became idle, its request began or its request was read completely.
    pub(super) fn since(&self) -> Instant {
        self.since.get()
    }

    /// Whether no request has begun, or only one whose head is overdue.
    fn is_idle(&self) -> bool {
        match self.state.get() {
            ConnectionState::Idle => true,
            ConnectionState::ReadingHead => self.request_deadline() < Instant::now(),
            ConnectionState::ReadingBody | ConnectionState::AwaitingResponse => false,
        }
    }

    /// Returns whether the connection has had a response, is idle since then, and is not closing yet.
    pub(super) fn is_spent(&self) -> bool {
        self.has_had_response.get()
            && self.state.get() == ConnectionState::Idle
            && !self.is_closing.get()
    }

    /// Returns whether the client connected so recently that its first request may still be in transit.
    pub(super) fn is_new(&self) -> bool {
        !self.has_had_response.get() && self.since.get().elapsed() <= SLOW_REQUEST
    }

    /// Returns whether the connection may be evicted in favour of a new one: it is idle, or its request takes longer
    /// than [`SLOW_REQUEST`] to arrive.
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

    /// Returns whether the idle time-out has passed, or the time in which a request's head must arrive.
    pub(super) fn is_idle_too_long(&self, is_crowded: bool) -> bool {
        let kept = if is_crowded || !self.has_had_response.get() {
            CROWDED_IDLE_TIMEOUT
        } else {
            IDLE_TIMEOUT
        };
        let is_overdue = self.state.get() == ConnectionState::ReadingHead;
        self.is_idle() && (is_overdue || self.since.get().elapsed() > kept)
    }

    /// Closes the connection as soon as it is idle.
    pub(super) fn close(&self) {
        self.is_closing.set(true);
        self.wake();
    }

    /// Closes the connection, even during a request unless the request awaits its response.
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
