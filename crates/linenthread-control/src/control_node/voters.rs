//! Voter changes: assesses the state of the voters and proposes replacements.

use linenthread_consensus::{Change, Epoch, ValueNumber};
use linenthread_messages::Voter;
use linenthread_time::Instant;

use crate::control_peer::ControlPeer;
use crate::pending_jobs::JobOwner;
use crate::reconfiguration::{VoterContact, VoterState, VotersView, next_voters};
use crate::timing::{CALL_TIMEOUT, VOTER_TIMEOUT};
use crate::{ControlEvent, ControlNode, Effect};

/// Time-out of a voter change, in multiples of [`CALL_TIMEOUT`]. It can be longer than for other calls because no caller
/// waits that could try another node.
const VOTER_CHANGE_TIMEOUT_CALLS: u32 = 3;

impl ControlNode {
    /// Reports whether this node is one of the voters of the newest value.
    pub(super) fn is_voter(&self) -> bool {
        self.register.is_voter(self.register.id())
    }

    /// Reports whether this node is responsible for voter changes: it is if it is the preferred leader, whether or not it
    /// holds the lease yet.
    ///
    /// Having a single proposer only saves rounds; safety does not depend on it, since the register decides between
    /// concurrent proposals. Because no lease is required, none delays the replacement of a lost voter, not even that of
    /// the leader itself.
    pub(super) fn proposes_voter_changes(&self, now: Instant) -> bool {
        self.is_preferred_leader(now)
    }

    /// Reports whether no node can still hold the lease through grants of earlier voters: either the current voters have
    /// granted it to this node, or all earlier grants have expired. Without this check two removals in a row could lead
    /// to two lease holders.
    fn earlier_leases_have_ended(&self, now: Instant) -> bool {
        self.lease.is_held_at(now, self.value_number())
            || self.voting.earlier_leases_have_expired(now)
    }

    /// Proposes a change of the voters if one is needed and this node is responsible for it. Only one change is in
    /// progress at a time.
    pub(super) fn propose_voter_change(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let may_propose = !self.pending_jobs.has_voter_change()
            && self.has_quorum(now)
            && self.proposes_voter_changes(now);
        if !may_propose {
            return;
        }
        let Some(base_value) = self.register.decided().map(ValueNumber::of) else {
            return;
        };
        let Some(voters) = next_voters(&self.voters_view(now, base_value)) else {
            return;
        };
        let is_smaller = voters.len() < self.register.voters().len();
        if is_smaller && !self.earlier_leases_have_ended(now) {
            return;
        }
        effects.push(Effect::Log(ControlEvent::VoterChangeProposed {
            base_value,
            voters: voters.iter().map(|voter| voter.address.clone()).collect(),
        }));
        let job = self.pending_jobs.add(JobOwner::VoterChange);
        let change = Change::Voters {
            base_number: base_value,
            voters,
            epoch: self.lease_epoch(now).unwrap_or(Epoch::NONE),
        };
        let deadline = now + VOTER_CHANGE_TIMEOUT_CALLS * CALL_TIMEOUT;
        self.drive_register(
            now,
            |register, register_effects| {
                register.propose(now, job, change, deadline, register_effects);
            },
            effects,
        );
    }

    /// Reports whether this node is changing the voters, or will do so once a standby's disk holds everything.
    pub(super) fn is_reconfiguring(&self, now: Instant) -> bool {
        self.proposes_voter_changes(now)
            && (self.pending_jobs.has_voter_change()
                || !self.standbys(now).is_empty()
                || next_voters(&self.voters_view(now, self.value_number())).is_some())
    }

    /// Returns the nodes in contact that are eligible as voters, are not voters yet, and are not shutting down.
    pub(super) fn standbys(&self, now: Instant) -> Vec<Voter> {
        self.standbys_where(now, |_| true)
    }

    /// Returns the standbys that can become voters now because their disks hold everything up to this value.
    pub(super) fn ready_standbys(&self, now: Instant, value_number: ValueNumber) -> Vec<Voter> {
        self.standbys_where(now, |durable| durable >= Some(value_number))
    }

    /// Returns the standbys for which `is_ready` is true. Its argument is the number of the newest value up to which the
    /// standby's disk is known to hold everything.
    fn standbys_where(
        &self,
        now: Instant,
        is_ready: impl Fn(Option<ValueNumber>) -> bool,
    ) -> Vec<Voter> {
        let this_node_is_ready = self.config.voter_eligible
            && !self.is_shutting_down()
            && is_ready(self.durability.value_number());
        let this_node = this_node_is_ready.then(|| Voter {
            id: self.register.id().0,
            address: self.config.control_address.clone(),
        });
        let mut standbys: Vec<Voter> = Vec::new();
        let ready = self
            .membership
            .eligible_voters(now)
            .filter(|peer| is_ready(peer.durable_value_number()))
            .map(|peer| peer.hello().voter());
        for standby in ready.chain(this_node) {
            // A node can have two sessions and so appear twice.
            let mut listed = self.register.voters().iter().chain(&standbys);
            if listed.all(|voter| voter.id != standby.id) {
                standbys.push(standby);
            }
        }
        standbys
    }

    fn voters_view(&self, now: Instant, value_number: ValueNumber) -> VotersView {
        let in_contact = self.nodes_in_contact(now);
        VotersView {
            voters: self
                .register
                .voters()
                .iter()
                .map(|voter| self.voter_state(now, voter, in_contact.contains(&voter.into())))
                .collect(),
            ready_standbys: self.ready_standbys(now, value_number),
            min_voters: self.config.min_voters,
        }
    }

    fn voter_state(&self, now: Instant, voter: &Voter, in_contact: bool) -> VoterState {
        let last_seen = self.membership.last_seen(&voter.address);
        let last_seen_at = last_seen.map_or(self.contact.started_at(), |seen| seen.seen_at);
        // While this node was itself out of contact with a majority, it could not tell whether the voter was running.
        let out_of_contact_since = last_seen_at.max(self.contact.in_contact_since().unwrap_or(now));
        let replaced =
            last_seen.is_some_and(|seen| seen.node_id != voter.into() && seen.voter_eligible);
        // If another eligible node runs at the voter's address, the voter will not return: it counts as lost
        // immediately, without waiting for the time-out. However, while that other node is in contact and not shutting
        // down, it will take the voter's place itself once its disk holds everything. Until the time-out the place is
        // kept for it.
        let is_successor = |peer: &ControlPeer| {
            peer.hello().control_address == voter.address && !peer.is_shutting_down()
        };
        let is_known_lost = replaced && !self.membership.contacts(now).any(is_successor);
        VoterState {
            voter: voter.clone(),
            contact: if in_contact {
                VoterContact::InContact
            } else if is_known_lost || now > out_of_contact_since + VOTER_TIMEOUT {
                VoterContact::Lost
            } else {
                VoterContact::OutOfContact
            },
            replaced,
            shutting_down: self.node_is_shutting_down(voter.into()),
        }
    }
}
