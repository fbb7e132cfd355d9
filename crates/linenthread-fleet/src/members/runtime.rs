//! What foca needs around it: its settings, random numbers, timers, and a place for what it requests.

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

/// The longest datagram in bytes, without its proof: it fits an Ethernet frame.
const MAX_DATAGRAM_BYTES: usize = 1_300;
/// The probe interval that foca's own defaults are meant for.
const DEFAULT_PROBE_INTERVAL: f64 = 10_000.0;
/// Members that are down get the list of the others once in so many probe intervals.
const DOWN_ANNOUNCE_INTERVALS: TenthMillis = 10;

/// foca, with our identities and bytes, and without broadcasts of its users' own.
pub(super) type Gossip = Foca<NodeIdentity, GossipCodec, GossipRng, foca::NoCustomBroadcast>;

/// foca's random numbers, from a seed.
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

/// What foca requests, collected while it is called.
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
        self.datagrams.push((to.gossip, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<NodeIdentity>, after: Duration) {
        self.timers.push((after, event));
    }
}

/// foca's timers, which expire in the order of their times, and those of one time in the order in which they were set.
#[derive(Default)]
pub(super) struct Timers {
    deadlines: BinaryHeap<Reverse<(TenthMillis, u64)>>,
    /// By number: foca's timers have no order.
    pending: BTreeMap<u64, Timer<NodeIdentity>>,
    last_number: u64,
}

impl Timers {
    pub(super) fn set(&mut self, now: TenthMillis, after: Duration, timer: Timer<NodeIdentity>) {
        self.last_number += 1;
        self.pending.insert(self.last_number, timer);
        let deadline = now + tenth_millis(after);
        self.deadlines.push(Reverse((deadline, self.last_number)));
    }

    /// When the next one expires.
    pub(super) fn next_deadline(&self) -> TenthMillis {
        let next = self.deadlines.peek();
        next.map_or(TenthMillis::MAX, |Reverse((at, _))| *at)
    }

    /// Removes the next one that has expired.
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

/// At least the smallest unit, so that no interval is 0.
fn duration(tenth_millis: TenthMillis) -> Duration {
    tenth_millis_to_duration(tenth_millis.max(1))
}

/// At least the smallest unit, so that no timer is due at once.
fn tenth_millis(duration: Duration) -> TenthMillis {
    duration_to_tenth_millis(duration).max(1)
}

/// foca's defaults for a local network, with its times in proportion to our probe interval.
pub(super) fn gossip_config(config: &MembersConfig) -> foca::Config {
    let expected = NonZeroU32::new(config.expected_members.max(2)).unwrap_or(NonZeroU32::MIN);
    let mut gossip = foca::Config::new_lan(expected);
    let interval = config.probe_interval;
    let slower = interval as f64 / DEFAULT_PROBE_INTERVAL;
    gossip.probe_period = duration(interval);
    gossip.probe_rtt = duration(interval * 2 / 5);
    gossip.suspect_to_down_after = gossip.suspect_to_down_after.mul_f64(slower);
    gossip.max_packet_size = NonZeroUsize::new(MAX_DATAGRAM_BYTES).unwrap_or(NonZeroUsize::MIN);
    // `Members` announces by itself, since foca's own timers rest until it receives something.
    gossip.periodic_announce = None;
    gossip.periodic_announce_to_down_members = Some(PeriodicParams {
        frequency: duration(interval * DOWN_ANNOUNCE_INTERVALS),
        num_members: NonZeroUsize::MIN,
    });
    gossip
}
