//! The task of a link: connects, writes and reads frames, and runs the state machine's timers.

use std::io;
use std::time::Duration;

use linenthread_core::interface::TenthMillis;
use linenthread_link::{ClientCloseReason, Frame, FrameError, LinkClient};
use snafu::{ResultExt, Snafu};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until, timeout};
use tracing::warn;

use super::Peer;
use super::frame_writer::FrameWriter;

/// The size of one read, in bytes.
const READ_BYTES: usize = 32 * 1024;
/// How long a connect to a gateway may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum sleep of the link's task: 10 s.
const MAX_SLEEP: TenthMillis = 100_000;

/// The reason why a link's connection ended. The text is logged.
#[derive(Debug, Snafu)]
enum LinkError {
    #[snafu(display("cannot connect: {source}"))]
    Connect { source: io::Error },
    #[snafu(display("cannot connect in time"))]
    ConnectTimeout,
    #[snafu(display("closed by the gateway"))]
    ClosedByGateway,
    #[snafu(display("{reason}"))]
    ClosedLocally { reason: ClientCloseReason },
    #[snafu(display("{source}"))]
    Io { source: io::Error },
    #[snafu(display("{source}"))]
    Frame { source: FrameError },
}

impl Peer {
    /// Connects whenever the state machine requests it, for as long as the program runs.
    pub(super) async fn run(self) {
        loop {
            tokio::select! {
                () = sleep_until(self.next_timeout()) => self.step(LinkClient::on_timeout),
                () = self.0.wake.notified() => {}
            }
            if self.0.connect_requested.take() {
                let cause = match self.connect().await {
                    Ok(stream) => self.exchange(stream).await,
                    Err(error) => error,
                };
                if let Some(suppressed) = self.0.log_limit.admit() {
                    warn!(peer = self.0.name, address = %self.0.address, suppressed, "link lost: {cause}");
                }
                self.0.outgoing.borrow_mut().clear();
                self.0.close_reason.take();
                self.step(LinkClient::on_disconnected);
            }
        }
    }

    /// Returns the next time-out of the state machine, at most [`MAX_SLEEP`] from now.
    fn next_timeout(&self) -> Instant {
        let next = self.0.client.borrow().next_timeout();
        self.0.clock.at(next.min(self.0.clock.now() + MAX_SLEEP))
    }

    async fn connect(&self) -> Result<TcpStream, LinkError> {
        match timeout(CONNECT_TIMEOUT, TcpStream::connect(self.0.address)).await {
            Ok(connected) => connected.context(ConnectSnafu),
            Err(_) => ConnectTimeoutSnafu.fail(),
        }
    }

    /// Writes and reads frames until the connection ends; returns the reason.
    async fn exchange(&self, mut stream: TcpStream) -> LinkError {
        stream.set_nodelay(true).ok();
        self.step(|client, now, _| client.on_connected(now));
        let (mut input, mut output) = stream.split();
        let mut received = Vec::new();
        let mut buffer = vec![0; READ_BYTES];
        let mut writing: Option<FrameWriter> = None;
        loop {
            // Nothing more is written: calls that were not written completely by now were reported as not sent.
            if let Some(reason) = self.0.close_reason.take() {
                return LinkError::ClosedLocally { reason };
            }
            if writing.is_none() {
                let next = self.0.outgoing.borrow_mut().pop_front();
                writing = next.as_ref().map(FrameWriter::new);
            }
            let unwritten = writing.as_ref().map_or(&[][..], FrameWriter::rest);
            tokio::select! {
                count = input.read(&mut buffer) => match count {
                    Ok(0) => return LinkError::ClosedByGateway,
                    Ok(count) => {
                        received.extend_from_slice(&buffer[..count]);
                        if let Err(source) = self.on_received(&mut received) {
                            return LinkError::Frame { source };
                        }
                    }
                    Err(source) => return LinkError::Io { source },
                },
                count = output.write(unwritten), if !unwritten.is_empty() => match count {
                    Ok(count) => {
                        if let Some(complete) = writing.take_if(|writer| writer.advance(count)) {
                            self.on_written(&complete);
                        }
                    }
                    Err(source) => return LinkError::Io { source },
                },
                () = sleep_until(self.next_timeout()) => self.step(LinkClient::on_timeout),
                () = self.0.wake.notified() => {}
            }
        }
    }

    /// Passes the complete frames in `received` to the state machine.
    fn on_received(&self, received: &mut Vec<u8>) -> Result<(), FrameError> {
        Frame::drain(received, |frame| {
            self.step(|client, now, actions| client.on_frame(now, frame, actions));
        })
    }

    /// Records that a frame is written completely. From now on, the call in it may run.
    fn on_written(&self, frame: &FrameWriter) {
        if let Some(call) = frame.call {
            self.0.client.borrow_mut().on_call_written(call);
        }
    }
}
