//! The driver's part in membership: passes service discovery's lists and the links' reports to the coordinator, and
//! provides the members that the gateway announces to its peers.

use linenthread_core::interface::{MembershipEntry, MembershipUpdate, ReplicaIndex};
use linenthread_link::Member;
use linenthread_protocol::membership::MembershipList;

use super::CoordinatorDriver;
use crate::transports::link::LinkEvent;

impl CoordinatorDriver {
    /// Returns a replica's id for the log; empty if its index is not assigned.
    pub(crate) fn replica_id(&self, replica: ReplicaIndex) -> String {
        let state = self.0.state.borrow();
        let id = state.membership.replicas.id(replica);
        id.unwrap_or_default().to_owned()
    }

    /// Handles an update of service discovery's list; `None` if the list could not be fetched.
    pub(crate) fn on_membership(&self, list: Option<&MembershipList>) {
        self.update_membership(match list {
            None => MembershipUpdate::Unavailable,
            Some(list) if list.complete => MembershipUpdate::Snapshot(self.apply_list(list)),
            Some(list) => MembershipUpdate::Delta(self.apply_list(list)),
        });
    }

    pub(super) fn apply_list(&self, list: &MembershipList) -> Vec<MembershipEntry> {
        let mut state = self.0.state.borrow_mut();
        let progress = state.queries.progress();
        let entries = state.membership.apply_list(list, progress);
        self.0.local_changed.notify_one();
        entries
    }

    pub(super) fn update_membership(&self, update: MembershipUpdate) {
        if let Some(zones) = &mut self.0.state.borrow_mut().zones {
            zones.on_membership(&update);
        }
        self.add_input(|inputs| inputs.membership.push(update));
    }

    /// Waits until the coordinator requests service discovery's list.
    pub(crate) async fn membership_requested(&self) {
        self.0.membership_requested.notified().await;
    }

    /// Adds a peer; returns the peer's number.
    pub(crate) fn add_peer(&self) -> usize {
        self.0.state.borrow_mut().membership.add_peer()
    }

    /// Handles an event of a peer's link.
    pub(crate) fn on_link_event(&self, peer: usize, event: LinkEvent) {
        let mut state = self.0.state.borrow_mut();
        let submitted = state.queries.submitted();
        state.membership.on_link_event(peer, event);
        let entries = state.membership.update_remote(submitted);
        drop(state);
        if !entries.is_empty() {
            self.update_membership(MembershipUpdate::Delta(entries));
        }
    }

    /// Waits until service discovery's list has changed.
    pub(crate) async fn local_changed(&self) {
        self.0.local_changed.notified().await;
    }

    /// Returns the replicas that service discovery lists, to be announced to peers.
    pub(crate) fn local_members(&self) -> Vec<Member> {
        self.0.state.borrow().membership.local_members()
    }

    /// Returns the index of a replica that service discovery lists and that is reached directly.
    pub(crate) fn direct_replica(&self, id: &str) -> Option<ReplicaIndex> {
        self.0.state.borrow().membership.direct_replica(id)
    }
}
