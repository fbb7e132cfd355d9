//! The replicas that are known: those the service discovery lists, and those behind peers' links.

use std::collections::{BTreeMap, BTreeSet};

use linenthread_core::interface::{MembershipEntry, Phase, ReplicaIndex, TenthMillis};
use linenthread_link::{Member, routing};
use linenthread_protocol::{hash_id, membership};
use tracing::{info, warn};

use crate::clock::Clock;
use crate::dispatcher::replica_indices::ReplicaIndices;
use crate::transports::link::LinkEvent;
use crate::transports::{Route, Transports};

/// The share of traffic, in thousandths, that a replica is announced with to those behind a link.
const FULL_SHARE: u16 = 1_000;

/// What one peer's link reaches.
#[derive(Default)]
struct PeerMembers {
    is_up: bool,
    by_id: BTreeMap<String, Member>,
}

/// A replica behind links, as last passed to the coordinator.
struct RemoteReplica {
    /// The peers whose links reach it.
    peers: Vec<usize>,
    member: Member,
}

/// The replicas that are known, and how they are reached.
pub(super) struct Membership {
    pub(super) replicas: ReplicaIndices,
    clock: Clock,
    transports: Transports,
    /// The number of replica groups in the layout.
    replica_groups: usize,
    /// The zones' names; all others are one zone.
    zone_names: Vec<String>,
    /// What the service discovery lists, for those who reach it over a link to this program.
    local: BTreeMap<String, Member>,
    /// By the peer's number.
    peers: Vec<PeerMembers>,
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

    /// Applies a list of the service discovery; returns its entries for the coordinator. `submitted` queries were
    /// submitted so far, of which the first `completed` are over.
    pub(super) fn apply_list(
        &mut self,
        list: &membership::MembershipList,
        submitted: u64,
        completed: u64,
    ) -> Vec<MembershipEntry> {
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
            // A complete list leaves out what only peers reach.
            let remote = std::mem::take(&mut self.remote);
            for (id, replica) in &remote {
                entries.push(self.remote_entry(
                    id,
                    Some(&replica.peers),
                    &replica.member,
                    submitted,
                ));
            }
            self.remote = remote;
            self.remove_unlisted(&entries, submitted);
        }
        entries
    }

    /// Applies one replica of a list; `None` where it is removed and was never known.
    fn apply_listed(
        &mut self,
        listed: &membership::Member,
        submitted: u64,
    ) -> Option<MembershipEntry> {
        let is_removed = listed.phase == Phase::Removed;
        self.update_local(listed);
        // What the service discovery lists is reached directly, whoever else lists it.
        self.remote.remove(&listed.id);
        if is_removed && self.replicas.get(&listed.id).is_none() {
            return None;
        }
        let replica = self.replicas.get_or_assign(&listed.id);
        self.replicas
            .set_removed(replica, is_removed.then_some(submitted));
        let route = (!is_removed).then_some(Route::Direct(listed.address));
        self.transports.set_route(replica, route);
        let started_at =
            (listed.started_at_ms > 0.0).then(|| self.clock.at_unix(listed.started_at_ms));
        Some(MembershipEntry {
            replica: ReplicaIndex(replica),
            id: hash_id(&listed.id),
            replica_group: listed.replica_group,
            zone: self.zone(&listed.zone),
            phase: listed.phase,
            started_at,
            slow_start_share: None,
        })
    }

    /// Removes the replicas that a complete list does not name.
    fn remove_unlisted(&mut self, entries: &[MembershipEntry], submitted: u64) {
        let mut is_listed = vec![false; self.replicas.len()];
        for entry in entries {
            is_listed[entry.replica.0] = true;
        }
        for replica in (0..is_listed.len()).filter(|replica| !is_listed[*replica]) {
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
            // The largest value stands for none on the link.
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

    /// The number of a zone; those that the settings don't name are one.
    fn zone(&self, name: &str) -> usize {
        let known = self.zone_names.iter().position(|zone| *zone == name);
        known.unwrap_or(self.zone_names.len())
    }

    /// Adds a peer; returns its number.
    pub(super) fn add_peer(&mut self) -> usize {
        self.peers.push(PeerMembers::default());
        self.peers.len() - 1
    }

    /// Records what a peer's link reports.
    pub(super) fn on_link_event(&mut self, peer: usize, event: LinkEvent) {
        let Some(peer) = self.peers.get_mut(peer) else {
            return;
        };
        match event {
            LinkEvent::Up(is_up) => peer.is_up = is_up,
            LinkEvent::Members { complete, members } => {
                peer.update(complete, members, self.replica_groups);
            }
        }
    }

    /// Determines what has changed behind links, for the coordinator. A link that goes down takes all with it that
    /// no other reaches, so that none of these replicas has to be found failing by itself.
    pub(super) fn update_remote(&mut self, submitted: u64) -> Vec<MembershipEntry> {
        let current = self.reachable_remote();
        let previous = std::mem::take(&mut self.remote);
        let mut entries = Vec::new();
        for (id, replica) in &current {
            match previous.get(id) {
                Some(known) if known.member == replica.member && known.peers == replica.peers => {}
                // The coordinator need not know by which peer.
                Some(known) if known.member == replica.member => {
                    let index = self.replicas.get_or_assign(id);
                    self.transports
                        .set_route(index, Some(via_link(&replica.peers, id)));
                }
                _ => entries.push(self.remote_entry(
                    id,
                    Some(&replica.peers),
                    &replica.member,
                    submitted,
                )),
            }
        }
        for (id, replica) in previous.iter().filter(|(id, _)| !current.contains_key(*id)) {
            let removed = Member {
                phase: Phase::Removed,
                ..replica.member.clone()
            };
            entries.push(self.remote_entry(id, None, &removed, submitted));
        }
        let count = current.len();
        self.remote = current;
        if !entries.is_empty() {
            info!(far = count, "replicas behind links");
        }
        entries
    }

    /// The replicas that links reach which are up, other than those that are listed here.
    fn reachable_remote(&self) -> BTreeMap<String, RemoteReplica> {
        let up = || self.peers.iter().enumerate().filter(|(_, peer)| peer.is_up);
        let ids: BTreeSet<&String> = up()
            .flat_map(|(_, peer)| peer.by_id.keys())
            .filter(|id| !self.local.contains_key(*id))
            .collect();
        let mut reachable = BTreeMap::new();
        for id in ids {
            let reports = || up().filter_map(|(number, peer)| Some((number, peer.by_id.get(id)?)));
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

    /// A replica behind links; `peers` is `None` where it is removed.
    fn remote_entry(
        &mut self,
        id: &str,
        peers: Option<&Vec<usize>>,
        member: &Member,
        submitted: u64,
    ) -> MembershipEntry {
        let replica = self.replicas.get_or_assign(id);
        let removed_after = peers.is_none().then_some(submitted);
        self.replicas.set_removed(replica, removed_after);
        let route = peers.map(|peers| via_link(peers, id));
        self.transports.set_route(replica, route);
        MembershipEntry {
            replica: ReplicaIndex(replica),
            id: hash_id(id),
            replica_group: member.replica_group as usize,
            zone: self.zone(&member.zone),
            phase: member.phase,
            started_at: member
                .age_ms
                .map(|age_ms| self.clock.now() - TenthMillis::from(age_ms) * 10),
            slow_start_share: Some(f64::from(member.slow_start_share) / f64::from(FULL_SHARE)),
        }
    }

    /// What the service discovery lists.
    pub(super) fn local_members(&self) -> Vec<Member> {
        self.local.values().cloned().collect()
    }

    /// The index of a listed replica that is reached directly.
    pub(super) fn direct_replica(&self, id: &str) -> Option<usize> {
        let replica = self.replicas.get(id)?;
        let is_direct = self.local.contains_key(id) && self.transports.is_direct(replica);
        is_direct.then_some(replica)
    }
}

impl PeerMembers {
    /// Takes the members that a gateway reports: all of them where `complete`, else those that have changed.
    fn update(&mut self, complete: bool, members: Vec<Member>, replica_groups: usize) {
        let (valid, invalid): (Vec<_>, Vec<_>) = members
            .into_iter()
            .partition(|member| member.is_valid(replica_groups));
        if let Some(bad) = invalid.first() {
            warn!(
                replica = bad.id,
                cell = bad.replica_group,
                "a gateway lists what can be no replica here"
            );
        }
        if complete {
            self.by_id.clear();
        }
        // A gateway may list no more than the service discovery; updates of those already listed always count.
        for member in valid {
            let has_room = self.by_id.len() < membership::MAX_REPLICAS;
            match member.phase {
                Phase::Removed => drop(self.by_id.remove(&member.id)),
                _ if has_room || self.by_id.contains_key(&member.id) => {
                    self.by_id.insert(member.id.clone(), member);
                }
                _ => {}
            }
        }
    }
}

fn via_link(peers: &[usize], id: &str) -> Route {
    Route::ViaLink {
        peers: peers.to_vec(),
        replica_id: id.into(),
    }
}
