//! The wall-clock time that the control nodes agree on: the median of their clocks.

use std::collections::BTreeMap;
use std::time::Duration;

use linenthread_time::{ClockOffset, Instant, WallTime};

use crate::timing::CONTACT_TIMEOUT;

/// How long the last reported clock of a peer is used after the peer has stopped sending heartbeats. Longer than a
/// restart, so that the loss of a peer does not make the other clocks a majority. Monotonic clocks drift apart by only
/// milliseconds in this time.
const PEER_CLOCK_RETENTION: Duration = Duration::from_secs(30);

/// The clock of a peer as of its last heartbeat.
#[derive(Clone, Copy, Debug)]
struct PeerClock {
    offset: ClockOffset,
    observed_at: Instant,
}

/// The clocks of this node and of its peers, each as an offset from this node's monotonic clock.
///
/// The clock of a single machine may jump by seconds and return. The median of all clocks does not follow such clocks
/// while they are fewer than half: see [`AgreedTime::offset`].
#[derive(Debug, Default)]
pub struct AgreedTime {
    local: Option<ClockOffset>,
    /// By control address of the peer. A machine keeps its address through restarts and the loss of its disk.
    peers: BTreeMap<String, PeerClock>,
}

impl AgreedTime {
    /// Records that this node's own clock showed `wall` at `now`.
    pub fn observe_local(&mut self, now: Instant, wall: WallTime) {
        self.local = Some(ClockOffset::between(now, wall));
    }

    /// Records a heartbeat that arrived at `now` from the peer at `address`, whose own clock showed `wall` when it was
    /// sent.
    pub fn observe_peer(&mut self, now: Instant, address: &str, wall: WallTime) {
        let clock = PeerClock {
            offset: ClockOffset::between(now, wall),
            observed_at: now,
        };
        match self.peers.get_mut(address) {
            Some(known) => *known = clock,
            None => drop(self.peers.insert(address.to_owned(), clock)),
        }
    }

    /// Removes the clocks of peers that have been silent for too long, and of replaced peers: those that are out of
    /// contact and whose address is not a voter's. If the clock of a replaced peer counted besides its successor's, a
    /// minority of wrong clocks could become half of all.
    pub fn remove_silent_peers(&mut self, now: Instant, is_voter: impl Fn(&str) -> bool) {
        self.peers.retain(|address, clock| {
            clock.is_retained(now) && (clock.is_in_contact(now) || is_voter(address))
        });
    }

    /// Returns the time of this node's own clock at `now`, according to its last observation.
    pub fn local_wall_time(&self, now: Instant) -> Option<WallTime> {
        self.local.map(|offset| offset.wall_time(now))
    }

    /// Returns the median of all offsets, or the lower one of the two in the middle if their number is even; `None`
    /// while no clock is known.
    pub fn offset(&self, now: Instant) -> Option<ClockOffset> {
        let peers = self.peers.values().filter(|clock| clock.is_retained(now));
        let mut offsets: Vec<ClockOffset> =
            peers.map(|clock| clock.offset).chain(self.local).collect();
        offsets.sort_unstable();
        let last = offsets.len().checked_sub(1)?;
        Some(offsets[last / 2])
    }
}

impl PeerClock {
    /// Reports whether the peer is in contact, judged by the age of its clock.
    fn is_in_contact(&self, now: Instant) -> bool {
        now <= self.observed_at + CONTACT_TIMEOUT
    }

    fn is_retained(&self, now: Instant) -> bool {
        now <= self.observed_at + PEER_CLOCK_RETENTION
    }
}
