//! What one peer's link reaches, as its gateway reports it.

use std::collections::BTreeMap;

use linenthread_core::interface::Phase;
use linenthread_link::Member;
use linenthread_protocol::membership::MAX_REPLICAS;
use tracing::warn;

/// What one peer's link reaches.
#[derive(Default)]
pub(super) struct PeerMembers {
    pub(super) is_up: bool,
    pub(super) by_id: BTreeMap<String, Member>,
}

impl PeerMembers {
    /// Takes the members that a gateway reports: all of them where `complete`, else those that have changed.
    pub(super) fn update(&mut self, complete: bool, members: Vec<Member>, replica_groups: usize) {
        let (valid, invalid): (Vec<_>, Vec<_>) = members
            .into_iter()
            .partition(|member| member.is_valid(replica_groups));
        if let Some(bad) = invalid.first() {
            warn!(
                replica = bad.id,
                replica_group = bad.replica_group,
                "gateway lists an invalid replica, ignoring it"
            );
        }
        if complete {
            self.by_id.clear();
        }
        // A gateway may list no more than the service discovery; updates of those already listed always count.
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
