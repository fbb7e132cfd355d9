//! One connection to another process: its phase, its receive buffer and its timeouts.

use linenthread_core::interface::TenthMillis;
use linenthread_frames::Nonce;

use crate::error::RecordError;
use crate::frame::{Frame, Role};

/// Time within which a connection must be established.
const HANDSHAKE_TIMEOUT: TenthMillis = 20_000;
/// An established connection is closed if nothing is received on it for this long.
const RECEIVE_TIMEOUT: TenthMillis = 50_000;
const PING_INTERVAL: TenthMillis = 10_000;

/// Phase of a connection.
pub(super) enum Phase {
    /// The connecting side waits for the challenge.
    AwaitingChallenge { peer: String },
    /// The connecting side has sent its hello and waits for the welcome.
    AwaitingWelcome { peer: String, nonce: Nonce },
    /// The accepting side has sent its challenge and waits for the hello.
    AwaitingHello { nonce: Nonce },
    /// Both sides are authenticated.
    Established(Peer),
    /// The caller was asked to close it.
    Closing,
}

/// The process at the other end of an established connection.
#[derive(Clone)]
pub(super) struct Peer {
    pub(super) name: String,
    pub(super) role: Role,
}

/// A connection, from when it is dialled or accepted until the caller reports that it is closed.
pub(super) struct Connection {
    pub(super) phase: Phase,
    /// Received bytes of an incomplete frame.
    buffer: Vec<u8>,
    opened_at: TenthMillis,
    received_at: TenthMillis,
    pinged_at: TenthMillis,
}

/// The frames decoded from received bytes. If there is an error, the frames before it are valid.
pub(super) struct Received {
    pub(super) frames: Vec<Frame>,
    pub(super) result: Result<(), RecordError>,
}

/// The action that is due on a connection when a timer has expired.
pub(super) enum Timer {
    Ping,
    /// Close the connection, which has timed out for this reason.
    Close(&'static str),
}

impl Connection {
    pub(super) fn new(phase: Phase, now: TenthMillis) -> Connection {
        Connection {
            phase,
            buffer: Vec::new(),
            opened_at: now,
            received_at: now,
            pinged_at: now,
        }
    }

    pub(super) fn wake_at(&self) -> TenthMillis {
        match self.phase {
            Phase::Established(_) => {
                let timeout = self.received_at + RECEIVE_TIMEOUT;
                timeout.min(self.pinged_at + PING_INTERVAL)
            }
            Phase::Closing => TenthMillis::MAX,
            Phase::AwaitingChallenge { .. }
            | Phase::AwaitingWelcome { .. }
            | Phase::AwaitingHello { .. } => self.opened_at + HANDSHAKE_TIMEOUT,
        }
    }

    pub(super) fn expired_timer(&self, now: TenthMillis) -> Option<Timer> {
        match self.phase {
            Phase::Established(_) if now >= self.received_at + RECEIVE_TIMEOUT => {
                Some(Timer::Close("heartbeat timeout"))
            }
            Phase::Established(_) if now >= self.pinged_at + PING_INTERVAL => Some(Timer::Ping),
            Phase::Established(_) | Phase::Closing => None,
            Phase::AwaitingChallenge { .. }
            | Phase::AwaitingWelcome { .. }
            | Phase::AwaitingHello { .. } => {
                let has_timed_out = now >= self.opened_at + HANDSHAKE_TIMEOUT;
                has_timed_out.then_some(Timer::Close("handshake timeout"))
            }
        }
    }

    pub(super) fn on_ping_sent(&mut self, now: TenthMillis) {
        self.pinged_at = now;
    }

    /// Adds received bytes to the buffer, and returns the frames that are now complete.
    pub(super) fn on_received(&mut self, now: TenthMillis, bytes: &[u8]) -> Received {
        self.received_at = now;
        self.buffer.extend_from_slice(bytes);
        let mut frames = Vec::new();
        let result = Frame::drain(&mut self.buffer, |frame| frames.push(frame));
        Received { frames, result }
    }

    /// Reports whether it is established and the peer is a follower.
    pub(super) fn is_follower(&self) -> bool {
        matches!(&self.phase, Phase::Established(peer) if peer.role == Role::NonVoter)
    }
}
