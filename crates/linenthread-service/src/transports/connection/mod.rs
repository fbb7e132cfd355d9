//! One connection to a replica: writes frames, reads messages, and ends each attempt on it exactly once.

mod error;
mod frame_writer;

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
use snafu::ResultExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, sleep_until};
use tracing::info;

use crate::transports::attempt::{
    AttemptKey, ConnectionLimits, FinishedAttempt, FinishedAttempts, OutgoingSubRequest,
    ProbeReport,
};

pub(in crate::transports) use error::ConnectionError;
use error::{
    ClosedSnafu, DecodeSnafu, FrameRefusedSnafu, IncompleteFrameSnafu, IoSnafu,
    PrematureResponseSnafu, UnknownResponseSnafu, UnsolicitedDataSnafu,
};
use frame_writer::{FrameWriter, OutgoingFrame};

/// After this idle time the replica may have closed the connection unnoticed: the last byte of the next request is
/// delayed, so that a dead connection breaks before the request can run.
const IDLE_BEFORE_DELAY: Duration = Duration::from_millis(50);
/// Ids of finished sub-requests that are remembered, to recognise their late or duplicate responses.
const MAX_REMEMBERED_IDS: usize = 512;
/// The size of one read, in bytes.
const READ_BYTES: usize = 16 * 1024;

/// An attempt that waits for its response.
struct PendingAttempt {
    /// Unique among all attempts of the process.
    number: u64,
    key: AttemptKey,
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

/// The state of one connection, shared by its task and the attempts on it.
pub(in crate::transports) struct Connection {
    pub(in crate::transports) replica: usize,
    pub(in crate::transports) address: SocketAddr,
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
    pub(crate) fn on_timed_out(&self) {
        self.connection.set_silent_since(self.sent);
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
    pub(in crate::transports) fn new(
        replica: usize,
        address: SocketAddr,
        cancellation: bool,
    ) -> Self {
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
    pub(in crate::transports) fn send(
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
                key: outgoing.key,
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
    pub(in crate::transports) fn send_probe(&self) -> oneshot::Receiver<ProbeReport> {
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
    pub(in crate::transports) fn retire(&self) {
        self.is_retired.set(true);
        self.wake.notify_one();
    }

    /// Marks the connection as silent where nothing was read since then.
    pub(in crate::transports) fn set_silent_since(&self, sent: Instant) {
        if self.last_read.get() < sent && !self.is_silent.replace(true) {
            info!(address = %self.address, "replica connection is silent; no more goes on it");
            self.wake.notify_one();
        }
    }

    /// Attempts and probes that wait for a response.
    pub(in crate::transports) fn in_flight(&self) -> usize {
        self.attempts.borrow().len() + self.probes.borrow().len()
    }

    /// Attempts that wait for a response.
    pub(in crate::transports) fn attempts_in_flight(&self) -> usize {
        self.attempts.borrow().len()
    }

    /// Whether an attempt with one of these ids is in flight.
    pub(in crate::transports) fn has_any(&self, ids: &[String]) -> bool {
        let attempts = self.attempts.borrow();
        ids.iter().any(|id| attempts.contains_key(id))
    }

    /// Whether it takes requests.
    pub(in crate::transports) fn is_usable(&self) -> bool {
        !self.is_silent.get() && !self.is_retired.get()
    }

    pub(in crate::transports) fn is_mid_frame(&self) -> bool {
        self.is_mid_frame.get()
    }

    pub(in crate::transports) fn last_read(&self) -> Instant {
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
    pub(in crate::transports) async fn exchange(
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
                key: pending.key,
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
    pub(in crate::transports) fn end_all(&self, violated: bool) {
        // The loss of an established connection says nothing against its replica.
        let outcome = |written: bool| match written {
            true if violated => AttemptOutcome::Error,
            true => AttemptOutcome::ConnectionLost,
            false if violated || self.is_established.get() => AttemptOutcome::NotSent,
            false => AttemptOutcome::ConnectFailed,
        };
        for pending in std::mem::take(&mut *self.attempts.borrow_mut()).into_values() {
            let finished = FinishedAttempt::without_value(pending.key, outcome(pending.written));
            pending.finished.send(finished).ok();
        }
        for probe in self.probes.borrow_mut().drain(..) {
            let report = ProbeReport::without_load(outcome(probe.written));
            probe.report.send(report).ok();
        }
        self.outgoing.borrow_mut().clear();
    }
}
