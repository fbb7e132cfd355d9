//! One connection to a replica: writes frames, reads messages, and ends each attempt on it exactly once.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use linenthread_core::interface::AttemptOutcome;
use linenthread_protocol::frame::{self, ReplicaMessage};
use linenthread_protocol::hash_id;
use snafu::{ResultExt, Snafu};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, sleep_until};
use tracing::info;

use crate::transports::attempt::{
    ConnectionLimits, FinishedAttempt, FinishedAttempts, OutgoingSubRequest, ProbeReport,
};

/// After this idle time the replica may have closed the connection unnoticed: the last byte of the next
/// request is held back for [`LAST_BYTE_DELAY`], so that a dead connection breaks before the request can run.
const IDLE_BEFORE_DELAY: Duration = Duration::from_millis(50);
/// How long the last byte of a request is held back on a connection that was idle.
const LAST_BYTE_DELAY: Duration = Duration::from_millis(2);
/// Ids of finished sub-requests that are remembered, to recognise their late or duplicate responses.
const MAX_REMEMBERED_IDS: usize = 512;
/// The size of one read, in bytes.
const READ_BYTES: usize = 16 * 1024;

/// Why a connection failed. The text goes to the log.
#[derive(Debug, Snafu)]
pub(super) enum ConnectionError {
    #[snafu(display("cannot connect: {source}"))]
    Connect { source: io::Error },
    #[snafu(display("cannot connect in time"))]
    ConnectTimeout,
    #[snafu(display("closed by the replica"))]
    Closed,
    #[snafu(display("{source}"))]
    Io { source: io::Error },
    #[snafu(display("the replica could not use a frame: {message}"))]
    FrameRefused { message: String },
    #[snafu(display("{source}"))]
    Decode { source: frame::FrameError },
    #[snafu(display("a frame does not come whole"))]
    IncompleteFrame,
    #[snafu(display("it says more than was asked"))]
    UnsolicitedData,
    #[snafu(display("an answer to a part not yet sent"))]
    PrematureResponse,
    #[snafu(display("an answer to a part that was never sent"))]
    UnknownResponse,
}

impl ConnectionError {
    /// Whether the replica broke the protocol: it runs, and has run what was sent, but the connection is of no
    /// more use.
    pub(super) fn is_protocol_violation(&self) -> bool {
        match self {
            ConnectionError::Connect { .. }
            | ConnectionError::ConnectTimeout
            | ConnectionError::Closed
            | ConnectionError::Io { .. }
            | ConnectionError::FrameRefused { .. } => false,
            ConnectionError::Decode { .. }
            | ConnectionError::IncompleteFrame
            | ConnectionError::UnsolicitedData
            | ConnectionError::PrematureResponse
            | ConnectionError::UnknownResponse => true,
        }
    }
}

/// An attempt that waits for its response.
struct PendingAttempt {
    /// Unique among all attempts of the process.
    number: u64,
    sub_request: usize,
    attempt: usize,
    /// Its frame is written completely: it may run.
    written: bool,
    finished: FinishedAttempts,
}

/// A probe that waits for its response.
struct PendingProbe {
    /// Its frame is written completely.
    written: bool,
    report: oneshot::Sender<ProbeReport>,
}

/// A frame to be written.
struct OutgoingFrame {
    bytes: Vec<u8>,
    /// The sub-request ids in it, with the numbers of their attempts.
    attempts: Vec<(String, u64)>,
    is_probe: bool,
}

/// A frame that is being written.
struct FrameWriter {
    frame: OutgoingFrame,
    /// Bytes written so far.
    position: usize,
    /// The last byte follows after a delay.
    delays_last_byte: bool,
    /// When the last byte may follow, once all others are written.
    last_byte_at: Option<Instant>,
}

impl FrameWriter {
    fn new(frame: OutgoingFrame, delays_last_byte: bool) -> Self {
        FrameWriter {
            frame,
            position: 0,
            delays_last_byte,
            last_byte_at: None,
        }
    }

    /// What may be written now, or when there will be more.
    fn next(&self) -> (&[u8], Option<Instant>) {
        let rest = &self.frame.bytes[self.position..];
        match self.last_byte_at {
            _ if !self.delays_last_byte => (rest, None),
            None => (&rest[..rest.len() - 1], None),
            Some(due) if due > Instant::now() => (&[], Some(due)),
            Some(_) => (rest, None),
        }
    }

    /// Counts written bytes; returns whether the frame is complete.
    fn advance(&mut self, written: usize) -> bool {
        self.position += written;
        if self.position + 1 == self.frame.bytes.len() {
            self.last_byte_at = Some(Instant::now() + LAST_BYTE_DELAY);
        }
        self.position == self.frame.bytes.len()
    }
}

/// The state of one connection, shared by its task and the attempts on it.
pub(super) struct Connection {
    pub(super) replica: usize,
    pub(super) address: SocketAddr,
    /// Cancellations are sent to the replica.
    cancellation: bool,
    outgoing: RefCell<VecDeque<OutgoingFrame>>,
    /// By sub-request id.
    attempts: RefCell<BTreeMap<String, PendingAttempt>>,
    probes: RefCell<VecDeque<PendingProbe>>,
    /// Hashes of the ids of sub-requests that finished here, the oldest first.
    finished_ids: RefCell<VecDeque<u64>>,
    /// Wakes the connection's task.
    wake: Notify,
    last_read: Cell<Instant>,
    /// A complete frame was read.
    is_established: Cell<bool>,
    /// Some of a frame was read, and the rest not yet.
    is_mid_frame: Cell<bool>,
    /// Nothing was read for the whole time-out of a request: no new request is sent until something is.
    is_silent: Cell<bool>,
    /// It closes once nothing is in flight.
    is_retired: Cell<bool>,
}

/// An attempt in flight at a replica. Dropping it cancels the attempt, unless it has finished.
pub(crate) struct InFlightAttempt {
    connection: Rc<Connection>,
    id: String,
    number: u64,
    sent: Instant,
}

impl InFlightAttempt {
    /// Marks the connection as silent where nothing was read since the attempt was sent.
    pub(crate) fn timed_out(&self) {
        self.connection.mark_silent_since(self.sent);
    }
}

impl Drop for InFlightAttempt {
    fn drop(&mut self) {
        let connection = &self.connection;
        let mut attempts = connection.attempts.borrow_mut();
        if attempts
            .get(&self.id)
            .is_none_or(|pending| pending.number != self.number)
        {
            return;
        }
        attempts.remove(&self.id);
        connection.remember_finished(&self.id);
        let mut outgoing = connection.outgoing.borrow_mut();
        let is_alone = |frame: &OutgoingFrame| matches!(&frame.attempts[..], [(_, number)] if *number == self.number);
        match outgoing.iter().position(is_alone) {
            Some(unwritten) => drop(outgoing.remove(unwritten)),
            None if !connection.cancellation => {}
            None => outgoing.push_back(OutgoingFrame {
                bytes: frame::encode_cancel(&self.id),
                attempts: Vec::new(),
                is_probe: false,
            }),
        }
        connection.wake.notify_one();
    }
}

/// What one turn of the connection's task ended with.
enum Turn {
    Continue,
    /// Nothing is in flight and the connection is not wanted any more.
    Closed,
}

/// The reading half's state.
struct ReadState {
    buffer: BytesMut,
    /// The last read or write.
    active: Instant,
    /// The first byte of a frame that is incomplete.
    frame_started: Instant,
}

impl Connection {
    pub(super) fn new(replica: usize, address: SocketAddr, cancellation: bool) -> Self {
        Connection {
            replica,
            address,
            cancellation,
            outgoing: RefCell::default(),
            attempts: RefCell::default(),
            probes: RefCell::default(),
            finished_ids: RefCell::default(),
            wake: Notify::new(),
            last_read: Cell::new(Instant::now()),
            is_established: Cell::new(false),
            is_mid_frame: Cell::new(false),
            is_silent: Cell::new(false),
            is_retired: Cell::new(false),
        }
    }

    /// Queues sub-requests as one frame; `next_number` numbers the attempts. `ids` are theirs, in order.
    pub(super) fn send(
        self: &Rc<Self>,
        ids: Vec<String>,
        sub_requests: &[OutgoingSubRequest],
        wait_ms: u64,
        finished: &FinishedAttempts,
        mut next_number: impl FnMut() -> u64,
    ) -> Vec<InFlightAttempt> {
        let encoded = ids
            .iter()
            .zip(sub_requests)
            .map(|(id, outgoing)| (id.as_str(), outgoing.shard, &*outgoing.text));
        let mut frame = OutgoingFrame {
            bytes: frame::encode_requests(encoded, wait_ms),
            attempts: Vec::new(),
            is_probe: false,
        };
        let mut in_flight = Vec::new();
        for (id, outgoing) in ids.into_iter().zip(sub_requests) {
            let number = next_number();
            let pending = PendingAttempt {
                number,
                sub_request: outgoing.sub_request,
                attempt: outgoing.attempt,
                written: false,
                finished: finished.clone(),
            };
            self.attempts.borrow_mut().insert(id.clone(), pending);
            frame.attempts.push((id.clone(), number));
            in_flight.push(InFlightAttempt {
                connection: self.clone(),
                id,
                number,
                sent: Instant::now(),
            });
        }
        self.outgoing.borrow_mut().push_back(frame);
        self.wake.notify_one();
        in_flight
    }

    /// Queues a probe.
    pub(super) fn send_probe(&self) -> oneshot::Receiver<ProbeReport> {
        let (report, response) = oneshot::channel();
        self.probes.borrow_mut().push_back(PendingProbe {
            written: false,
            report,
        });
        self.outgoing.borrow_mut().push_back(OutgoingFrame {
            bytes: frame::encode_probe(),
            attempts: Vec::new(),
            is_probe: true,
        });
        self.wake.notify_one();
        response
    }

    /// Takes no more requests, and closes once nothing is in flight.
    pub(super) fn retire(&self) {
        self.is_retired.set(true);
        self.wake.notify_one();
    }

    /// Marks the connection as silent where nothing was read since then.
    pub(super) fn mark_silent_since(&self, sent: Instant) {
        if self.last_read.get() < sent && !self.is_silent.replace(true) {
            info!(address = %self.address, "replica connection is silent; no more goes on it");
            self.wake.notify_one();
        }
    }

    /// Attempts and probes that wait for a response.
    pub(super) fn in_flight(&self) -> usize {
        self.attempts.borrow().len() + self.probes.borrow().len()
    }

    /// Attempts that wait for a response.
    pub(super) fn attempts_in_flight(&self) -> usize {
        self.attempts.borrow().len()
    }

    /// Whether an attempt with one of these ids is in flight.
    pub(super) fn has_any(&self, ids: &[String]) -> bool {
        let attempts = self.attempts.borrow();
        ids.iter().any(|id| attempts.contains_key(id))
    }

    /// Whether it takes requests.
    pub(super) fn is_usable(&self) -> bool {
        !self.is_silent.get() && !self.is_retired.get()
    }

    pub(super) fn is_mid_frame(&self) -> bool {
        self.is_mid_frame.get()
    }

    pub(super) fn last_read(&self) -> Instant {
        self.last_read.get()
    }

    /// Nothing is in flight and nothing is to be written.
    fn is_empty(&self) -> bool {
        self.in_flight() == 0 && self.outgoing.borrow().is_empty()
    }

    fn remember_finished(&self, id: &str) {
        let mut finished_ids = self.finished_ids.borrow_mut();
        if finished_ids.len() >= MAX_REMEMBERED_IDS {
            finished_ids.pop_front();
        }
        finished_ids.push_back(hash_id(id));
    }

    /// Writes and reads until one side closes.
    ///
    /// # Errors
    ///
    /// Why the connection ended while it was still wanted.
    pub(super) async fn exchange(
        &self,
        mut stream: TcpStream,
        limits: &ConnectionLimits,
    ) -> Result<(), ConnectionError> {
        let (mut input, mut output) = stream.split();
        let now = Instant::now();
        let mut read = ReadState {
            buffer: BytesMut::with_capacity(READ_BYTES),
            active: now,
            frame_started: now,
        };
        let mut writing: Option<FrameWriter> = None;
        loop {
            if writing.is_none() {
                writing = self.next_frame(read.active);
            }
            let empty = writing.is_none() && self.is_empty();
            if empty && !self.is_usable() {
                return Ok(());
            }
            let (unwritten, last_byte_at) =
                writing.as_ref().map_or((&[][..], None), FrameWriter::next);
            tokio::select! {
                biased;
                count = input.read_buf(&mut read.buffer) => match self.on_read(count, &mut read, empty)? {
                    Turn::Continue => {}
                    Turn::Closed => return Ok(()),
                },
                written = output.write(unwritten), if !unwritten.is_empty() => {
                    let written = written.context(IoSnafu)?;
                    read.active = Instant::now();
                    if let Some(complete) = writing.take_if(|writer| writer.advance(written)) {
                        self.on_written(&complete.frame);
                    }
                }
                () = sleep_until(last_byte_at.unwrap_or(read.active)), if last_byte_at.is_some() => {}
                () = self.wake.notified() => {}
                // A frame takes no longer than a connect: one that does will never be complete.
                () = sleep_until(read.frame_started + limits.connect_timeout), if !read.buffer.is_empty() => {
                    return IncompleteFrameSnafu.fail();
                }
                () = sleep_until(read.active + limits.idle_timeout), if empty => return Ok(()),
            }
        }
    }

    /// The next frame to write, after the connection was last active at `active`.
    fn next_frame(&self, active: Instant) -> Option<FrameWriter> {
        let frame = self.outgoing.borrow_mut().pop_front()?;
        let delays_last_byte = !frame.attempts.is_empty()
            && self.is_established.get()
            && active.elapsed() > IDLE_BEFORE_DELAY;
        Some(FrameWriter::new(frame, delays_last_byte))
    }

    /// Handles what was read; `empty` says that nothing was in flight or being written.
    fn on_read(
        &self,
        count: io::Result<usize>,
        read: &mut ReadState,
        empty: bool,
    ) -> Result<Turn, ConnectionError> {
        match count.context(IoSnafu)? {
            0 if empty => return Ok(Turn::Closed),
            0 => return ClosedSnafu.fail(),
            count if count == read.buffer.len() => read.frame_started = Instant::now(),
            _ => {}
        }
        read.active = Instant::now();
        while let Some(message) = frame::decode(&mut read.buffer).context(DecodeSnafu)? {
            read.frame_started = read.active;
            // Only complete frames show that the replica is responsive.
            self.last_read.set(read.active);
            self.is_established.set(true);
            self.is_silent.set(false);
            self.on_message(message)?;
        }
        if !read.buffer.is_empty() && self.in_flight() == 0 {
            return UnsolicitedDataSnafu.fail();
        }
        self.is_mid_frame.set(!read.buffer.is_empty());
        read.buffer.reserve(READ_BYTES);
        Ok(Turn::Continue)
    }

    /// The last byte of a frame is written: what it requests may run from now on.
    fn on_written(&self, frame: &OutgoingFrame) {
        let mut attempts = self.attempts.borrow_mut();
        for (id, number) in &frame.attempts {
            if let Some(pending) = attempts
                .get_mut(id)
                .filter(|pending| pending.number == *number)
            {
                pending.written = true;
            }
        }
        if frame.is_probe
            && let Some(probe) = self.probes.borrow_mut().iter_mut().find(|p| !p.written)
        {
            probe.written = true;
        }
    }

    fn on_message(&self, message: ReplicaMessage) -> Result<(), ConnectionError> {
        match message {
            ReplicaMessage::Response {
                id,
                outcome,
                queue_depth,
                value,
            } => self.on_response(&id, outcome, queue_depth, value),
            ReplicaMessage::ProbeResponse {
                outcome,
                queue_depth,
            } => {
                // One that was not requested, or not yet, is ignored.
                let mut probes = self.probes.borrow_mut();
                if let Some(probe) = probes.pop_front_if(|probe| probe.written) {
                    let report = ProbeReport {
                        outcome,
                        queue_depth,
                    };
                    probe.report.send(report).ok();
                }
                Ok(())
            }
            ReplicaMessage::ProtocolError(message) => FrameRefusedSnafu { message }.fail(),
        }
    }

    fn on_response(
        &self,
        id: &str,
        outcome: AttemptOutcome,
        queue_depth: Option<f64>,
        value: String,
    ) -> Result<(), ConnectionError> {
        if self
            .attempts
            .borrow()
            .get(id)
            .is_some_and(|pending| !pending.written)
        {
            return PrematureResponseSnafu.fail();
        }
        let pending = self.attempts.borrow_mut().remove(id);
        if let Some(pending) = pending {
            self.remember_finished(id);
            let finished = FinishedAttempt {
                sub_request: pending.sub_request,
                attempt: pending.attempt,
                outcome,
                queue_depth,
                value,
            };
            pending.finished.send(finished).ok();
        } else if !self.finished_ids.borrow().contains(&hash_id(id)) {
            return UnknownResponseSnafu.fail();
        }
        // A late or duplicate response to what was cancelled or completed before is dropped.
        Ok(())
    }

    /// Ends all that is in flight, as the connection is gone; `violated` says that the replica broke the protocol.
    pub(super) fn end_all(&self, violated: bool) {
        // The loss of an established connection says nothing against its replica.
        let outcome = |written: bool| match written {
            true if violated => AttemptOutcome::Error,
            true => AttemptOutcome::ConnectionLost,
            false if violated || self.is_established.get() => AttemptOutcome::NotSent,
            false => AttemptOutcome::ConnectFailed,
        };
        for pending in std::mem::take(&mut *self.attempts.borrow_mut()).into_values() {
            let finished = FinishedAttempt::without_value(
                pending.sub_request,
                pending.attempt,
                outcome(pending.written),
            );
            pending.finished.send(finished).ok();
        }
        for probe in self.probes.borrow_mut().drain(..) {
            let report = ProbeReport::without_load(outcome(probe.written));
            probe.report.send(report).ok();
        }
        self.outgoing.borrow_mut().clear();
    }
}
