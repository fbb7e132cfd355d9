//! The known replicas: those that service discovery lists, and those behind peers' links.

use std::collections::{BTreeMap, BTreeSet};

use linenthread_core::interface::{MembershipEntry, Phase, ReplicaIndex, TenthMillis};
use linenthread_link::{Member, routing};
use linenthread_protocol::{hash_id, membership};
use tracing::info;

use crate::clock::Clock;
use crate::coordinator_driver::peer_members::PeerMembers;
use crate::coordinator_driver::query_table::QueryProgress;
use crate::replica_indices::ReplicaIndices;
use crate::transports::link::LinkEvent;
use crate::transports::{Route, Transports};

/// The complete slow-start budget of a replica, in thousandths.
const FULL_SHARE: u16 = 1_000;

/// A replica behind links, as last passed to the coordinator.
struct RemoteReplica {
    /// The peers whose links reach it.
    peers: Vec<usize>,
    member: Member,
}

/// The known replicas and the routes to them.
pub(super) struct Membership {
    pub(super) replicas: ReplicaIndices,
    clock: Clock,
    transports: Transports,
    /// The number of replica groups in the layout.
    replica_groups: usize,
    /// Names of the zones in the order of their numbers. All other names share one further zone.
    zone_names: Vec<String>,
    /// The replicas that service discovery lists, by id, to be announced to peers.
    local: BTreeMap<String, Member>,
    /// By the peer's number.
    peers: Vec<PeerMembers>,
    /// The replicas behind links, by id.
    remote: BTreeMap<String, RemoteReplica>,
}

impl Membership {
    pub(super) fn new(
        clock: Clock,
        transports: Transports,
        replica_groups: usize,
        zone_names: Vec<String>,
    ) -> Self {
        Membership {
            replicas: ReplicaIndices::default(),
            clock,
            transports,
            replica_groups,
            zone_names,
            local: BTreeMap::new(),
            peers: Vec::new(),
            remote: BTreeMap::new(),
        }
    }

    /// Applies a list of service discovery; returns its entries for the coordinator.
    pub(super) fn apply_list(
        &mut self,
        list: &membership::MembershipList,
        progress: QueryProgress,
    ) -> Vec<MembershipEntry> {
        let QueryProgress {
            submitted,
            completed,
        } = progress;
        self.replicas
            .release_unused(completed, |replica| self.transports.is_vacant(replica));
        if list.complete {
            self.local.clear();
        }
        let mut entries = Vec::with_capacity(list.replicas.len());
        for listed in &list.replicas {
            entries.extend(self.apply_listed(listed, submitted));
        }
        if list.complete {
            // Service discovery's complete list does not contain the replicas that only peers reach.
            let remote = std::mem::take(&mut self.remote);
            for (id, replica) in &remote {
                entries.push(self.remote_entry(id, replica));
            }
            self.remote = remote;
            self.remove_unlisted(&entries, submitted);
        }
        entries
    }

    /// Applies one replica of a list; returns `None` if it is removed and was never known.
    fn apply_listed(
        &mut self,
        listed: &membership::Member,
        submitted: u64,
    ) -> Option<MembershipEntry> {
        let is_removed = listed.phase == Phase::Removed;
        self.update_local(listed);
        // A replica that service discovery lists is reached directly, even if peers list it too.
        self.remote.remove(&listed.id);
        if is_removed && self.replicas.get(&listed.id).is_none() {
            return None;
        }
        let replica = self.replicas.get_or_assign(&listed.id);
        if is_removed {
            self.replicas.set_removed(replica, submitted);
            self.transports.set_route(replica, None);
        } else {
            self.replicas.set_listed(replica);
            let route = Route::Direct(listed.address);
            self.transports.set_route(replica, Some(route));
        }
        let started_at =
            (listed.started_at_ms > 0.0).then(|| self.clock.at_unix(listed.started_at_ms));
        Some(MembershipEntry {
            replica,
            id: hash_id(&listed.id),
            replica_group: listed.replica_group,
            zone: self.zone(&listed.zone),
            phase: listed.phase,
            started_at,
            slow_start_share: None,
        })
    }

    /// Removes the replicas that are not in `entries`, which covers a complete list and the replicas behind links.
    fn remove_unlisted(&mut self, entries: &[MembershipEntry], submitted: u64) {
        let mut is_listed = vec![false; self.replicas.count()];
        for entry in entries {
            is_listed[entry.replica.0] = true;
        }
        let unlisted = (0..is_listed.len()).filter(|index| !is_listed[*index]);
        for replica in unlisted.map(ReplicaIndex) {
            self.replicas.ensure_removed(replica, submitted);
            self.transports.set_route(replica, None);
        }
    }

    fn update_local(&mut self, listed: &membership::Member) {
        if listed.phase == Phase::Removed {
            self.local.remove(&listed.id);
            return;
        }
        let age_ms = (listed.started_at_ms > 0.0).then(|| {
            let started_at = self.clock.at_unix(listed.started_at_ms);
            let age = (self.clock.now() - started_at).max(0) / 10;
            // On the link, `u32::MAX` stands for `None`.
            u32::try_from(age).unwrap_or(u32::MAX).min(u32::MAX - 1)
        });
        let member = Member {
            id: listed.id.clone(),
            zone: listed.zone.clone(),
            replica_group: u32::try_from(listed.replica_group).unwrap_or(u32::MAX),
            phase: listed.phase,
            age_ms,
            slow_start_share: FULL_SHARE,
        };
        self.local.insert(listed.id.clone(), member);
    }

    /// Returns the number of a zone. All zones that the settings do not name share one number.
    fn zone(&self, name: &str) -> usize {
        let known = self.zone_names.iter().position(|zone| *zone == name);
        known.unwrap_or(self.zone_names.len())
    }

    /// Adds a peer; returns the peer's number.
    pub(super) fn add_peer(&mut self) -> usize {
        self.peers.push(PeerMembers::new());
        self.peers.len() - 1
    }

    /// Applies an event of a peer's link.
    pub(super) fn on_link_event(&mut self, peer: usize, event: LinkEvent) {
        let Some(peer) = self.peers.get_mut(peer) else {
            return;
        };
        match event {
            LinkEvent::Availability(availability) => peer.link = availability,
            LinkEvent::Members(report) => peer.update(report, self.replica_groups),
        }
    }

    /// Updates the replicas behind links; returns the changed entries for the coordinator. When a link goes down, all
    /// replicas that no other link reaches are removed, so that the coordinator need not detect each of them by failed
    /// attempts.
    pub(super) fn update_remote(&mut self, submitted: u64) -> Vec<MembershipEntry> {
        let current = self.reachable_remote();
        let previous = std::mem::take(&mut self.remote);
        let mut entries = Vec::new();
        for (id, replica) in &current {
            match previous.get(id) {
                Some(known) if known.member == replica.member && known.peers == replica.peers => {}
                // Only the peers have changed: the coordinator need not be notified, as it does not know them.
                Some(known) if known.member == replica.member => {
                    let index = self.replicas.get_or_assign(id);
                    self.transports
                        .set_route(index, Some(via_link(&replica.peers, id)));
                }
                _ => entries.push(self.remote_entry(id, replica)),
            }
        }
        for (id, replica) in previous.iter().filter(|(id, _)| !current.contains_key(*id)) {
            entries.push(self.removed_remote_entry(id, &replica.member, submitted));
        }
        let count = current.len();
        self.remote = current;
        if !entries.is_empty() {
            info!(remote = count, "replicas behind links");
        }
        entries
    }

    /// Returns the replicas behind links that are up, except those that service discovery lists.
    fn reachable_remote(&self) -> BTreeMap<String, RemoteReplica> {
        let reachable_peers = || {
            self.peers
                .iter()
                .enumerate()
                .filter(|(_, peer)| peer.is_reachable())
        };
        let ids: BTreeSet<&String> = reachable_peers()
            .flat_map(|(_, peer)| peer.by_id.keys())
            .filter(|id| !self.local.contains_key(*id))
            .collect();
        let mut reachable = BTreeMap::new();
        for id in ids {
            let reports = || {
                reachable_peers().filter_map(|(number, peer)| Some((number, peer.by_id.get(id)?)))
            };
            if let Some(member) = routing::merge_reports(reports().map(|(_, member)| member)) {
                let peers = reports()
                    .filter(|(_, member)| member.phase != Phase::Removed)
                    .map(|(number, _)| number)
                    .collect();
                reachable.insert(id.clone(), RemoteReplica { peers, member });
            }
        }
        reachable
    }

    /// Sets the route to a replica behind links; returns its entry.
    fn remote_entry(&mut self, id: &str, remote: &RemoteReplica) -> MembershipEntry {
        let replica = self.replicas.get_or_assign(id);
        self.replicas.set_listed(replica);
        let route = via_link(&remote.peers, id);
        self.transports.set_route(replica, Some(route));
        self.entry(replica, id, &remote.member)
    }

    /// Removes a replica that no link reaches any more; returns its entry.
    fn removed_remote_entry(
        &mut self,
        id: &str,
        member: &Member,
        submitted: u64,
    ) -> MembershipEntry {
        let replica = self.replicas.get_or_assign(id);
        self.replicas.set_removed(replica, submitted);
        self.transports.set_route(replica, None);
        MembershipEntry {
            phase: Phase::Removed,
            ..self.entry(replica, id, member)
        }
    }

    /// Converts a gateway's report of a replica to an entry for the coordinator.
    fn entry(&self, replica: ReplicaIndex, id: &str, member: &Member) -> MembershipEntry {
        let age = |age_ms| TenthMillis::from(age_ms) * 10;
        MembershipEntry {
            replica,
            id: hash_id(id),
            replica_group: group_index(member.replica_group),
            zone: self.zone(&member.zone),
            phase: member.phase,
            started_at: member.age_ms.map(|age_ms| self.clock.now() - age(age_ms)),
            slow_start_share: Some(f64::from(member.slow_start_share) / f64::from(FULL_SHARE)),
        }
    }

    /// Returns the replicas that service discovery lists.
    pub(super) fn local_members(&self) -> Vec<Member> {
        self.local.values().cloned().collect()
    }

    /// Returns the index of a replica that service discovery lists and that is reached directly.
    pub(super) fn direct_replica(&self, id: &str) -> Option<ReplicaIndex> {
        let replica = self.replicas.get(id)?;
        let is_direct = self.local.contains_key(id) && self.transports.is_direct(replica);
        is_direct.then_some(replica)
    }
}

fn via_link(peers: &[usize], id: &str) -> Route {
    Route::ViaLink {
        peers: peers.to_vec(),
        replica_id: id.into(),
    }
}

/// Converts a replica group's number to its index. The numbers of valid members always fit.
fn group_index(replica_group: u32) -> usize {
    usize::try_from(replica_group).unwrap_or(usize::MAX)
}
