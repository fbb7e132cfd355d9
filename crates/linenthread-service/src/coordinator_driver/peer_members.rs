//! The replicas behind one peer's link, as its gateway reports them.

use std::collections::BTreeMap;

use linenthread_core::interface::Phase;
use linenthread_link::{LinkAvailability, Member, MembersReport};
use linenthread_protocol::membership::MAX_REPLICAS;
use tracing::warn;

/// The replicas behind one peer's link, and whether the link is up.
pub(super) struct PeerMembers {
    pub(super) link: LinkAvailability,
    pub(super) by_id: BTreeMap<String, Member>,
}

impl PeerMembers {
    /// Creates an empty list for a link that counts as down until it reports otherwise.
    pub(super) fn new() -> Self {
        PeerMembers {
            link: LinkAvailability::Down,
            by_id: BTreeMap::new(),
        }
    }

    /// Reports whether the link accepts calls.
    pub(super) fn is_reachable(&self) -> bool {
        self.link == LinkAvailability::Up
    }

    /// Applies a gateway's report. Invalid members are ignored.
    pub(super) fn update(&mut self, report: MembersReport, replica_groups: usize) {
        let (is_complete, members) = match report {
            MembersReport::Complete(members) => (true, members),
            MembersReport::Changes(members) => (false, members),
        };
        let (valid, invalid): (Vec<_>, Vec<_>) = members
            .into_iter()
            .partition(|member| member.is_valid(replica_groups));
        if let Some(first_invalid) = invalid.first() {
            warn!(
                replica = first_invalid.id,
                replica_group = first_invalid.replica_group,
                "gateway lists an invalid replica, ignoring it"
            );
        }
        if is_complete {
            self.by_id.clear();
        }
        // Service discovery's limit applies to gateways too. Updates of listed replicas are always applied.
        for member in valid {
            let has_room = self.by_id.len() < MAX_REPLICAS;
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
