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
const SHORT_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// A connection whose request takes longer than this to arrive may be evicted in favour of a new one.
const SLOW_REQUEST_THRESHOLD: Duration = Duration::from_millis(200);

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
    read_waker: RefCell<Option<Waker>>,
    /// Notified when the client disconnects while its request awaits the response.
    client_disconnected: Notify,
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
            read_waker: RefCell::new(None),
            client_disconnected: Notify::new(),
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

    /// Reports whether a request was read completely and is not answered yet.
    pub(super) fn awaits_response(&self) -> bool {
        self.state.get() == ConnectionState::AwaitingResponse
    }

    /// Reports whether nothing more is to be read: the connection is evicted, or it is closing and idle.
    pub(super) fn must_close(&self) -> bool {
        self.is_evicted.get() || (self.is_closing.get() && self.is_idle())
    }

    /// Sets the waker of the reading task, which is woken once after a response, a close or an eviction.
    pub(super) fn set_read_waker(&self, waker: &Waker) {
        self.read_waker.replace(Some(waker.clone()));
    }

    /// Records that the client has disconnected while its request awaits the response.
    pub(super) fn on_client_disconnected(&self) {
        self.client_disconnected.notify_one();
    }

    /// Waits until the client disconnects while its request awaits the response.
    pub(super) async fn client_disconnected(&self) {
        self.client_disconnected.notified().await;
    }

    /// Returns the time by which a request that has begun must be read completely.
    pub(super) fn request_deadline(&self) -> Instant {
        self.since.get() + REQUEST_TIMEOUT
    }

    /// Returns when the connection became idle, its request began or its request was read completely.
    pub(super) fn since(&self) -> Instant {
        self.since.get()
    }

    /// Reports whether no request has begun, or only one whose head is overdue.
    fn is_idle(&self) -> bool {
        match self.state.get() {
            ConnectionState::Idle => true,
            ConnectionState::ReadingHead => self.request_deadline() < Instant::now(),
            ConnectionState::ReadingBody | ConnectionState::AwaitingResponse => false,
        }
    }

    /// Reports whether the connection has had a response, no further request has begun, and it is not closing yet.
    pub(super) fn is_idle_after_response(&self) -> bool {
        self.has_had_response.get()
            && self.state.get() == ConnectionState::Idle
            && !self.is_closing.get()
    }

    /// Reports whether the client connected so recently that its first request may still be in transit.
    pub(super) fn is_new(&self) -> bool {
        !self.has_had_response.get() && self.since.get().elapsed() <= SLOW_REQUEST_THRESHOLD
    }

    /// Reports whether the connection may be evicted in favour of a new one: it is idle, or its request takes longer
    /// than [`SLOW_REQUEST_THRESHOLD`] to arrive.
    pub(super) fn may_be_evicted(&self) -> bool {
        let may_be_evicted = match self.state.get() {
            ConnectionState::Idle => true,
            ConnectionState::ReadingHead | ConnectionState::ReadingBody => {
                self.since.get().elapsed() > SLOW_REQUEST_THRESHOLD
            }
            ConnectionState::AwaitingResponse => false,
        };
        may_be_evicted && !self.is_evicted.get()
    }

    /// Reports whether the idle time-out has passed, or the time in which a request's head must arrive.
    pub(super) fn has_timed_out(&self, is_over_half_full: bool) -> bool {
        let idle_timeout = if is_over_half_full || !self.has_had_response.get() {
            SHORT_IDLE_TIMEOUT
        } else {
            IDLE_TIMEOUT
        };
        let is_overdue = self.state.get() == ConnectionState::ReadingHead;
        self.is_idle() && (is_overdue || self.since.get().elapsed() > idle_timeout)
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
        if let Some(waker) = self.read_waker.borrow_mut().take() {
            waker.wake();
        }
    }
}
