//! The replicas as service discovery lists them, and the routes to their zones.

use super::{ReplicaIndex, TenthMillis};

/// What service discovery says of a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// It serves.
    Ready,
    /// It is about to leave and serves what it has accepted.
    Draining,
    /// It is not a member, or no longer one.
    #[default]
    Removed,
}

/// One replica as service discovery lists it.
#[derive(Clone, Debug, Default)]
pub struct MembershipEntry {
    /// The replica's index at this co-ordinator.
    pub replica: ReplicaIndex,
    /// The replica's id, the same at every co-ordinator.
    pub id: u64,
    /// The group of replicas that hold the same shards.
    pub replica_group: usize,
    /// The zone it runs in.
    pub zone: usize,
    /// Whether it serves.
    pub phase: Phase,
    /// When it last started; `None` for long ago.
    pub started_at: Option<TenthMillis>,
    /// What share of this co-ordinator's part of its slow-start budget may be used; `None` for all of it. A
    /// gateway sets it to what the other users of the replica leave.
    pub slow_start_share: Option<f64>,
}

/// An update from service discovery.
#[derive(Clone, Debug)]
pub enum MembershipUpdate {
    /// The entries that changed.
    Delta(Vec<MembershipEntry>),
    /// The complete list; a replica that it leaves out is removed.
    Snapshot(Vec<MembershipEntry>),
    /// The last complete list that was stored, of any age.
    Cached(Vec<MembershipEntry>),
    /// Service discovery could not be reached.
    Unavailable,
}

/// How a zone is to be used from here, by the table that all co-ordinators act on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneRoute {
    /// The zone's id in hashes, the same at every co-ordinator.
    pub id: u64,
    /// 0 is nearest.
    pub distance: u8,
    /// For how many keys of a thousand the route is open. As the number changes, the same keys come and go.
    pub open_per_mille: u16,
}
