//! One connection to a replica: queues attempts and probes, and ends each of them exactly once.

mod error;
mod exchange;
mod frame_writer;
mod in_flight;
mod messages;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

use linenthread_core::interface::ReplicaIndex;
use linenthread_protocol::frame;
use linenthread_protocol::hash_id;
use tokio::sync::{Notify, oneshot};
use tokio::time::Instant;
use tracing::info;

use crate::transports::attempt::{OutcomeReporter, OutcomeSender, OutgoingSubRequest, ProbeReport};

pub(in crate::transports) use error::{ConnectionEnd, ConnectionError};
use frame_writer::{FrameContents, OutgoingFrame, SentAttempt};
pub(crate) use in_flight::InFlightAttempt;

/// Maximum number of ids of finished sub-requests that are kept, to recognise late and duplicate responses.
const MAX_REMEMBERED_IDS: usize = 512;

/// A number that is unique among all attempts of the process, unlike the id of a sub-request, which is reused when the
/// sub-request is retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::transports) struct AttemptNumber(pub(in crate::transports) u64);

/// The progress in writing the frame of an attempt or a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteProgress {
    /// The frame is queued or partly written: the replica cannot act on it.
    Incomplete,
    /// The frame is written completely: the replica may have run what it requests.
    Complete,
}

/// An attempt without a response so far.
struct PendingAttempt {
    number: AttemptNumber,
    progress: WriteProgress,
    reporter: OutcomeReporter,
}

/// A probe without a response so far.
struct PendingProbe {
    progress: WriteProgress,
    report: oneshot::Sender<ProbeReport>,
}

/// The state of one connection, shared by its task and the attempts on it.
pub(in crate::transports) struct Connection {
    pub(in crate::transports) replica: ReplicaIndex,
    pub(in crate::transports) address: SocketAddr,
    sends_cancellations: bool,
    outgoing: RefCell<VecDeque<OutgoingFrame>>,
    /// By sub-request id.
    attempts: RefCell<BTreeMap<String, PendingAttempt>>,
    probes: RefCell<VecDeque<PendingProbe>>,
    /// Hashes of the ids of sub-requests that finished on this connection, the oldest first.
    finished_ids: RefCell<VecDeque<u64>>,
    /// Wakes the connection's task.
    wake: Notify,
    last_read: Cell<Instant>,
    /// Whether a complete frame was read.
    is_established: Cell<bool>,
    /// Whether a frame was read in part.
    is_mid_frame: Cell<bool>,
    /// Whether no complete frame was read during the whole time-out of a request; no new request is sent until one is.
    is_unresponsive: Cell<bool>,
    /// Whether the connection closes once nothing is in flight.
    is_retired: Cell<bool>,
}

impl Connection {
    pub(in crate::transports) fn new(
        replica: ReplicaIndex,
        address: SocketAddr,
        sends_cancellations: bool,
    ) -> Self {
        Connection {
            replica,
            address,
            sends_cancellations,
            outgoing: RefCell::default(),
            attempts: RefCell::default(),
            probes: RefCell::default(),
            finished_ids: RefCell::default(),
            wake: Notify::new(),
            last_read: Cell::new(Instant::now()),
            is_established: Cell::new(false),
            is_mid_frame: Cell::new(false),
            is_unresponsive: Cell::new(false),
            is_retired: Cell::new(false),
        }
    }

    /// Queues sub-requests as one frame. `ids` are the ids of the sub-requests, in the same order, and `next_number`
    /// numbers the attempts.
    pub(in crate::transports) fn send(
        self: &Rc<Self>,
        ids: Vec<String>,
        sub_requests: &[OutgoingSubRequest],
        wait_ms: u64,
        outcomes: &OutcomeSender,
        mut next_number: impl FnMut() -> AttemptNumber,
    ) -> Vec<InFlightAttempt> {
        let encoded = ids
            .iter()
            .zip(sub_requests)
            .map(|(id, outgoing)| frame::SubRequest {
                id,
                shard: outgoing.shard,
                body: &outgoing.text,
            });
        let bytes = frame::encode_requests(encoded, wait_ms);
        let mut sent = Vec::new();
        let mut in_flight = Vec::new();
        for (id, outgoing) in ids.into_iter().zip(sub_requests) {
            let number = next_number();
            let reporter = OutcomeReporter::new(outgoing.key, outcomes);
            sent.push(SentAttempt {
                id: id.clone(),
                number,
            });
            in_flight.push(self.register(id, number, reporter));
        }
        self.outgoing.borrow_mut().push_back(OutgoingFrame {
            bytes,
            contents: FrameContents::Requests(sent),
        });
        self.wake.notify_one();
        in_flight
    }

    /// Adds an attempt that awaits its response.
    fn register(
        self: &Rc<Self>,
        id: String,
        number: AttemptNumber,
        reporter: OutcomeReporter,
    ) -> InFlightAttempt {
        let pending = PendingAttempt {
            number,
            progress: WriteProgress::Incomplete,
            reporter,
        };
        self.attempts.borrow_mut().insert(id.clone(), pending);
        InFlightAttempt {
            connection: self.clone(),
            id,
            number,
            sent: Instant::now(),
        }
    }

    /// Queues a probe; its report goes to the returned receiver.
    pub(in crate::transports) fn send_probe(&self) -> oneshot::Receiver<ProbeReport> {
        let (report, response) = oneshot::channel();
        self.probes.borrow_mut().push_back(PendingProbe {
            progress: WriteProgress::Incomplete,
            report,
        });
        self.outgoing.borrow_mut().push_back(OutgoingFrame {
            bytes: frame::encode_probe(),
            contents: FrameContents::Probe,
        });
        self.wake.notify_one();
        response
    }

    /// Stops taking requests, and closes the connection once nothing is in flight.
    pub(in crate::transports) fn retire(&self) {
        self.is_retired.set(true);
        self.wake.notify_one();
    }

    /// Marks the connection as unresponsive if no complete frame was read since `sent`.
    pub(in crate::transports) fn mark_unresponsive_since(&self, sent: Instant) {
        if self.last_read.get() < sent && !self.is_unresponsive.replace(true) {
            info!(address = %self.address, "replica connection timed out, no longer used for new requests");
            self.wake.notify_one();
        }
    }

    /// Returns the number of attempts and probes that await a response.
    pub(in crate::transports) fn in_flight(&self) -> usize {
        self.attempts.borrow().len() + self.probes.borrow().len()
    }

    /// Returns the number of attempts that await a response.
    pub(in crate::transports) fn attempts_in_flight(&self) -> usize {
        self.attempts.borrow().len()
    }

    /// Reports whether an attempt with one of these ids is in flight.
    pub(in crate::transports) fn has_any(&self, ids: &[String]) -> bool {
        let attempts = self.attempts.borrow();
        ids.iter().any(|id| attempts.contains_key(id))
    }

    /// Reports whether the connection takes new requests.
    pub(in crate::transports) fn is_usable(&self) -> bool {
        !self.is_unresponsive.get() && !self.is_retired.get()
    }

    pub(in crate::transports) fn is_mid_frame(&self) -> bool {
        self.is_mid_frame.get()
    }

    pub(in crate::transports) fn last_read(&self) -> Instant {
        self.last_read.get()
    }

    /// Reports whether nothing is in flight and no frame is queued.
    fn is_empty(&self) -> bool {
        self.in_flight() == 0 && self.outgoing.borrow().is_empty()
    }

    fn record_finished(&self, id: &str) {
        let mut finished_ids = self.finished_ids.borrow_mut();
        if finished_ids.len() >= MAX_REMEMBERED_IDS {
            finished_ids.pop_front();
        }
        finished_ids.push_back(hash_id(id));
    }
}
