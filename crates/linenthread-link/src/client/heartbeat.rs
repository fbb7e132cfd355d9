//! Pings: whether the server is still there, and how far away it is.

use std::collections::BTreeMap;

use linenthread_core::interface::TenthMillis;

use super::round_trip::RoundTripEstimate;

/// Unanswered pings that are remembered; older ones don't count for the round-trip time.
const MAX_PENDING_PINGS: usize = 16;
/// A connection is idle after so many ping intervals without a frame, and the time of a reply.
const IDLE_PING_INTERVALS: TenthMillis = 2;
/// The shortest round trip that is taken in: 0 would stand for an unknown one.
const MIN_ROUND_TRIP: TenthMillis = 1;

/// The heartbeat of the connection. The round-trip estimate outlives it, as a first guess for the next one.
pub(super) struct Heartbeat {
    ping_interval: TenthMillis,
    last_received: TenthMillis,
    last_ping: TenthMillis,
    /// Unanswered pings by sequence number, and when they were sent.
    pending_pings: BTreeMap<u64, TenthMillis>,
    round_trip: RoundTripEstimate,
}

impl Heartbeat {
    pub(super) fn new(ping_interval: TenthMillis) -> Heartbeat {
        Heartbeat {
            ping_interval,
            last_received: 0,
            last_ping: 0,
            pending_pings: BTreeMap::new(),
            round_trip: RoundTripEstimate::default(),
        }
    }

    /// A sign of life has arrived: the connection itself, or a frame.
    pub(super) fn on_received(&mut self, now: TenthMillis) {
        self.last_received = now;
    }

    /// The connection is established, so long after it was opened. The first ping is due at once.
    pub(super) fn on_established(&mut self, now: TenthMillis, handshake: TenthMillis) {
        self.last_ping = now - self.ping_interval;
        self.add_round_trip(handshake);
    }

    /// The connection has ended; pings on it are not answered any more.
    pub(super) fn on_disconnected(&mut self) {
        self.round_trip.widen();
        self.pending_pings.clear();
    }

    /// A ping is sent.
    pub(super) fn on_ping(&mut self, now: TenthMillis, sequence: u64) {
        self.last_ping = now;
        self.pending_pings.insert(sequence, now);
        if self.pending_pings.len() > MAX_PENDING_PINGS {
            self.pending_pings.pop_first();
        }
    }

    /// The answer to a ping has arrived.
    pub(super) fn on_pong(&mut self, now: TenthMillis, sequence: u64) {
        if let Some(sent_at) = self.pending_pings.remove(&sequence) {
            self.add_round_trip(now - sent_at);
        }
    }

    /// When the next ping is due.
    pub(super) fn next_ping(&self) -> TenthMillis {
        self.last_ping + self.ping_interval
    }

    /// When the connection is considered dead, if nothing is received until then.
    pub(super) fn idle_deadline(&self) -> TenthMillis {
        self.last_received + self.idle_timeout()
    }

    /// After so long without a frame the connection is considered dead.
    pub(super) fn idle_timeout(&self) -> TenthMillis {
        IDLE_PING_INTERVALS * self.ping_interval + self.round_trip.timeout()
    }

    /// How long a frame takes to the server.
    pub(super) fn one_way(&self) -> TenthMillis {
        self.round_trip.one_way()
    }

    fn add_round_trip(&mut self, elapsed: TenthMillis) {
        self.round_trip.add_sample(elapsed.max(MIN_ROUND_TRIP));
    }
}
