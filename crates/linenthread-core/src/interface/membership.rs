//! Replicas as listed by service discovery, and routes to their zones.

use super::{ReplicaIndex, TenthMillis};

/// The state of a replica according to service discovery.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// The replica accepts sub-requests.
    Ready,
    /// The replica is about to leave and only completes sub-requests that it has accepted.
    Draining,
    /// The replica is not a member, or no longer one.
    #[default]
    Removed,
}

/// One replica as listed by service discovery.
#[derive(Clone, Debug, Default)]
pub struct MembershipEntry {
    /// The replica's index at this co-ordinator.
    pub replica: ReplicaIndex,
    /// The replica's id, the same at every co-ordinator.
    pub id: u64,
    /// The group of replicas that hold the same shards.
    pub replica_group: usize,
    /// The zone that the replica runs in.
    pub zone: usize,
    /// The replica's current state.
    pub phase: Phase,
    /// When the replica last started; `None` for long ago.
    pub started_at: Option<TenthMillis>,
    /// The usable share of this co-ordinator's part of the replica's slow-start budget; `None` for all of it. A gateway
    /// sets it to the share that other users of the replica leave unused.
    pub slow_start_share: Option<f64>,
}

/// An update from service discovery.
#[derive(Clone, Debug)]
pub enum MembershipUpdate {
    /// The entries that changed.
    Delta(Vec<MembershipEntry>),
    /// The complete list; replicas missing from it are removed.
    Snapshot(Vec<MembershipEntry>),
    /// The last complete list that was stored; it may be arbitrarily old.
    Cached(Vec<MembershipEntry>),
    /// Service discovery could not be reached.
    Unavailable,
}

/// The route to a zone from this co-ordinator, according to the table that all co-ordinators use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneRoute {
    /// The zone's id for hashing, the same at every co-ordinator.
    pub id: u64,
    /// The zone's rank by distance; 0 is nearest.
    pub distance: u8,
    /// The number of keys per thousand for which the route is open. When it shrinks and grows back, the same keys lose
    /// and regain the route.
    pub open_per_mille: u16,
}
