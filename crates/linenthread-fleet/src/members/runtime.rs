//! Environment of foca: its configuration, random numbers, timers and collected requests.

use std::cmp::Reverse;
use std::collections::binary_heap::PeekMut;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::num::{NonZeroU32, NonZeroUsize};
use std::time::Duration;

use foca::{Foca, Notification, PeriodicParams, Timer};
use linenthread_core::conversion::{duration_to_tenth_millis, tenth_millis_to_duration};
use linenthread_core::interface::TenthMillis;
use oorandom::Rand64;
use rand::rand_core::{Infallible, TryRng};

use super::codec::GossipCodec;
use crate::config::MembersConfig;
use crate::node_identity::NodeIdentity;

/// Maximum length of a datagram without its proof, in bytes: it fits an Ethernet frame.
const MAX_DATAGRAM_BYTES: usize = 1_300;
/// The probe interval, in tenths of a millisecond, that foca's default times assume.
const DEFAULT_PROBE_INTERVAL: f64 = 10_000.0;
/// Number of probe intervals between announcements to members that are down.
const DOWN_ANNOUNCE_INTERVALS: TenthMillis = 10;

/// foca with the fleet's identities and encoding, and without custom broadcasts.
pub(super) type Gossip = Foca<NodeIdentity, GossipCodec, GossipRng, foca::NoCustomBroadcast>;

/// Random number generator for foca, from a seed.
pub(super) struct GossipRng(pub(super) Rand64);

impl TryRng for GossipRng {
    type Error = Infallible;

    fn try_next_u32(&mut self) -> Result<u32, Infallible> {
        let [.., b3, b2, b1, b0] = self.0.rand_u64().to_be_bytes();
        Ok(u32::from_be_bytes([b3, b2, b1, b0]))
    }

    fn try_next_u64(&mut self) -> Result<u64, Infallible> {
        Ok(self.0.rand_u64())
    }

    fn try_fill_bytes(&mut self, bytes: &mut [u8]) -> Result<(), Infallible> {
        for byte in bytes {
            [.., *byte] = self.0.rand_u64().to_be_bytes();
        }
        Ok(())
    }
}

/// foca's requests and notifications, collected during a call.
#[derive(Default)]
pub(super) struct Requests {
    pub(super) datagrams: Vec<(SocketAddr, Vec<u8>)>,
    pub(super) timers: Vec<(Duration, Timer<NodeIdentity>)>,
    pub(super) members_changed: bool,
    pub(super) refuted: bool,
}

impl foca::Runtime<NodeIdentity> for &mut Requests {
    fn notify(&mut self, notification: Notification<'_, NodeIdentity>) {
        match notification {
            Notification::Rejoin(_) => self.refuted = true,
            Notification::MemberUp(_) | Notification::MemberDown(_) | Notification::Rename(..) => {
                self.members_changed = true;
            }
            _ => {}
        }
    }

    fn send_to(&mut self, to: NodeIdentity, data: &[u8]) {
        self.datagrams.push((to.gossip_address, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<NodeIdentity>, after: Duration) {
        self.timers.push((after, event));
    }
}

/// foca's timers. They expire in the order of their deadlines; those with the same deadline, in the order in which they
/// were set.
#[derive(Default)]
pub(super) struct Timers {
    deadlines: BinaryHeap<Reverse<(TenthMillis, u64)>>,
    /// By number, because foca's timers are not ordered.
    pending: BTreeMap<u64, Timer<NodeIdentity>>,
    last_number: u64,
}

impl Timers {
    pub(super) fn set(&mut self, now: TenthMillis, after: Duration, timer: Timer<NodeIdentity>) {
        self.last_number += 1;
        self.pending.insert(self.last_number, timer);
        let deadline = now + to_tenth_millis(after);
        self.deadlines.push(Reverse((deadline, self.last_number)));
    }

    /// Returns when the next timer expires.
    pub(super) fn next_deadline(&self) -> TenthMillis {
        let next = self.deadlines.peek();
        next.map_or(TenthMillis::MAX, |Reverse((at, _))| *at)
    }

    /// Removes and returns the next timer that has expired.
    pub(super) fn pop_expired(&mut self, now: TenthMillis) -> Option<Timer<NodeIdentity>> {
        let next = self.deadlines.peek_mut()?;
        let Reverse((deadline, _)) = *next;
        if deadline > now {
            return None;
        }
        let Reverse((_, number)) = PeekMut::pop(next);
        self.pending.remove(&number)
    }
}

/// Converts to a duration of at least one unit, so that no interval is 0.
fn to_duration(tenth_millis: TenthMillis) -> Duration {
    tenth_millis_to_duration(tenth_millis.max(1))
}

/// Converts to at least one unit, so that no timer is due immediately.
fn to_tenth_millis(duration: Duration) -> TenthMillis {
    duration_to_tenth_millis(duration).max(1)
}

/// Returns foca's defaults for a local network, with its times scaled to the configured probe interval.
pub(super) fn gossip_config(config: &MembersConfig) -> foca::Config {
    let expected = NonZeroU32::new(config.expected_members.max(2)).unwrap_or(NonZeroU32::MIN);
    let mut gossip = foca::Config::new_lan(expected);
    let interval = config.probe_interval;
    let scale = interval as f64 / DEFAULT_PROBE_INTERVAL;
    gossip.probe_period = to_duration(interval);
    gossip.probe_rtt = to_duration(interval * 2 / 5);
    gossip.suspect_to_down_after = gossip.suspect_to_down_after.mul_f64(scale);
    gossip.max_packet_size = NonZeroUsize::new(MAX_DATAGRAM_BYTES).unwrap_or(NonZeroUsize::MIN);
    // `Members` sends the announcements, since foca's own timers do not run until it receives something.
    gossip.periodic_announce = None;
    gossip.periodic_announce_to_down_members = Some(PeriodicParams {
        frequency: to_duration(interval * DOWN_ANNOUNCE_INTERVALS),
        num_members: NonZeroUsize::MIN,
    });
    gossip
}
