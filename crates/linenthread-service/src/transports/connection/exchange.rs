//! The task of a connection: writes frames, reads messages, and detects when the connection is no longer usable.

use std::io;
use std::time::Duration;

use bytes::BytesMut;
use linenthread_protocol::frame;
use snafu::ResultExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until};

use super::error::{ClosedSnafu, DecodeSnafu, IncompleteFrameSnafu, IoSnafu, UnsolicitedDataSnafu};
use super::frame_writer::{FrameContents, FrameWriter, Writable};
use super::{Connection, ConnectionError};
use crate::transports::attempt::ConnectionConfig;

/// After this idle time, the replica may have closed the connection without this side having noticed. The last byte of
/// the next request is then delayed, so that a dead connection fails before the request can run.
const IDLE_BEFORE_DELAY: Duration = Duration::from_millis(50);
/// The size of one read, in bytes.
const READ_BYTES: usize = 16 * 1024;

/// The result of a read, for the connection's task.
enum ReadOutcome {
    Continue,
    /// The replica has closed the connection while it was idle.
    Closed,
}

/// Input that is not decoded yet, and the times of recent traffic.
struct ReadState {
    buffer: BytesMut,
    /// When bytes were last read or written.
    last_active: Instant,
    /// When the first byte of the incomplete frame in the buffer was read.
    frame_started_at: Instant,
}

impl Connection {
    /// Writes and reads until one side closes.
    ///
    /// # Errors
    ///
    /// Returns why the connection failed. A close by either side while it is idle is not a failure.
    pub(in crate::transports) async fn exchange(
        &self,
        mut stream: TcpStream,
        config: &ConnectionConfig,
    ) -> Result<(), ConnectionError> {
        let (mut input, mut output) = stream.split();
        let now = Instant::now();
        let mut read = ReadState {
            buffer: BytesMut::with_capacity(READ_BYTES),
            last_active: now,
            frame_started_at: now,
        };
        let mut writing: Option<FrameWriter> = None;
        loop {
            if writing.is_none() {
                writing = self.next_frame(read.last_active);
            }
            let is_idle = writing.is_none() && self.is_empty();
            if is_idle && !self.is_usable() {
                return Ok(());
            }
            let Writable {
                bytes: unwritten,
                last_byte_at,
            } = writing
                .as_ref()
                .map_or_else(Writable::nothing, FrameWriter::writable);
            tokio::select! {
                biased;
                count = input.read_buf(&mut read.buffer) => match self.on_read(count, &mut read, is_idle)? {
                    ReadOutcome::Continue => {}
                    ReadOutcome::Closed => return Ok(()),
                },
                written = output.write(unwritten), if !unwritten.is_empty() => {
                    let written = written.context(IoSnafu)?;
                    read.last_active = Instant::now();
                    if let Some(complete) = writing.take_if(|writer| writer.advance(written)) {
                        self.on_written(&complete.frame);
                    }
                }
                () = sleep_until(last_byte_at.unwrap_or(read.last_active)), if last_byte_at.is_some() => {}
                () = self.wake.notified() => {}
                // A frame that takes longer than a connect may take is assumed to remain incomplete.
                () = sleep_until(read.frame_started_at + config.connect_timeout), if !read.buffer.is_empty() => {
                    return IncompleteFrameSnafu.fail();
                }
                () = sleep_until(read.last_active + config.idle_timeout), if is_idle => return Ok(()),
            }
        }
    }

    /// Takes the next frame to write; `last_active` is when bytes were last read or written.
    fn next_frame(&self, last_active: Instant) -> Option<FrameWriter> {
        let frame = self.outgoing.borrow_mut().pop_front()?;
        let delays_last_byte = matches!(frame.contents, FrameContents::Requests(_))
            && self.is_established.get()
            && last_active.elapsed() > IDLE_BEFORE_DELAY;
        Some(FrameWriter::new(frame, delays_last_byte))
    }

    /// Handles the result of a read; `is_idle` states whether nothing was in flight or being written.
    fn on_read(
        &self,
        count: io::Result<usize>,
        read: &mut ReadState,
        is_idle: bool,
    ) -> Result<ReadOutcome, ConnectionError> {
        match count.context(IoSnafu)? {
            0 if is_idle => return Ok(ReadOutcome::Closed),
            0 => return ClosedSnafu.fail(),
            count if count == read.buffer.len() => read.frame_started_at = Instant::now(),
            _ => {}
        }
        read.last_active = Instant::now();
        while let Some(message) = frame::decode(&mut read.buffer).context(DecodeSnafu)? {
            read.frame_started_at = read.last_active;
            // Only a complete frame shows that the replica is responsive.
            self.last_read.set(read.last_active);
            self.is_established.set(true);
            self.is_unresponsive.set(false);
            self.on_message(message)?;
        }
        if !read.buffer.is_empty() && self.in_flight() == 0 {
            return UnsolicitedDataSnafu.fail();
        }
        self.is_mid_frame.set(!read.buffer.is_empty());
        read.buffer.reserve(READ_BYTES);
        Ok(ReadOutcome::Continue)
    }
}
