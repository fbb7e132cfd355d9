//! Pings, which detect a dead connection and measure the round-trip time.

use std::collections::BTreeMap;

use linenthread_core::interface::TenthMillis;

use super::round_trip::RoundTripEstimate;

/// The maximum number of unanswered pings that are recorded; older ones are not used for the round-trip time.
const MAX_PENDING_PINGS: usize = 16;
/// A connection is idle if no frame is received for this many ping intervals plus the time-out of a reply.
const IDLE_PING_INTERVALS: TenthMillis = 2;
/// The lower bound of a measured round trip, because 0 means that it is unknown.
const MIN_ROUND_TRIP: TenthMillis = 1;

/// The heartbeat of the connection. The round-trip estimate is kept as the initial estimate for the next connection.
pub(super) struct Heartbeat {
    ping_interval: TenthMillis,
    last_received: TenthMillis,
    last_ping: TenthMillis,
    /// When each unanswered ping was sent, by sequence number.
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

    /// Records that the connection was opened or a frame was received.
    pub(super) fn on_received(&mut self, now: TenthMillis) {
        self.last_received = now;
    }

    /// Starts pinging on an established connection; the first ping is due at once. `handshake`, the time since the
    /// connection was opened, is the first round trip measured on it.
    pub(super) fn on_established(&mut self, now: TenthMillis, handshake: TenthMillis) {
        self.last_ping = now - self.ping_interval;
        self.add_round_trip(handshake);
    }

    /// Handles the end of the connection; its unanswered pings are discarded.
    pub(super) fn on_disconnected(&mut self) {
        self.round_trip.widen();
        self.pending_pings.clear();
    }

    /// Records that a ping is sent.
    pub(super) fn on_ping(&mut self, now: TenthMillis, sequence: u64) {
        self.last_ping = now;
        self.pending_pings.insert(sequence, now);
        if self.pending_pings.len() > MAX_PENDING_PINGS {
            self.pending_pings.pop_first();
        }
    }

    /// Handles the reply to a ping.
    pub(super) fn on_pong(&mut self, now: TenthMillis, sequence: u64) {
        if let Some(sent_at) = self.pending_pings.remove(&sequence) {
            self.add_round_trip(now - sent_at);
        }
    }

    /// Returns when the next ping is due.
    pub(super) fn next_ping(&self) -> TenthMillis {
        self.last_ping + self.ping_interval
    }

    /// Returns when the connection is considered dead if nothing more is received.
    pub(super) fn idle_deadline(&self) -> TenthMillis {
        self.last_received + self.idle_timeout()
    }

    /// Returns the time without a received frame after which the connection is considered dead.
    pub(super) fn idle_timeout(&self) -> TenthMillis {
        IDLE_PING_INTERVALS * self.ping_interval + self.round_trip.timeout()
    }

    /// Returns the estimated one-way latency to the server.
    pub(super) fn one_way(&self) -> TenthMillis {
        self.round_trip.one_way()
    }

    fn add_round_trip(&mut self, elapsed: TenthMillis) {
        self.round_trip.add_sample(elapsed.max(MIN_ROUND_TRIP));
    }
}
