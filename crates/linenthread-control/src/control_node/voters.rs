//! Who votes: what the leader sees of the voters, and the changes that it proposes.

use linenthread_consensus::{Change, Epoch, ValueNumber};
use linenthread_messages::Voter;
use linenthread_time::Instant;

use crate::control_peer::ControlPeer;
use crate::pending_jobs::JobOwner;
use crate::reconfiguration::{VoterContact, VoterState, VotersView, next_voters};
use crate::timing::{CALL_TIMEOUT, VOTER_TIMEOUT};
use crate::{ControlEvent, ControlNode, Effect};

/// A change of the voters is given so many call time-outs: nobody waits for it who could try another node.
const VOTER_CHANGE_TIMEOUT_CALLS: u32 = 3;

impl ControlNode {
    /// Whether this node is one of the newest value's voters.
    pub(super) fn is_voter(&self) -> bool {
        self.register.is_voter(self.register.id())
    }

    /// Whether it is this node that changes the voters: the one that is preferred as the leader, whether or not it leads
    /// yet.
    ///
    /// That saves rounds, and is no condition of safety: the register decides between rivals. So no lease delays the
    /// replacement of a lost voter, not even of the leader itself.
    pub(super) fn changes_voters(&self, now: Instant) -> bool {
        self.is_preferred_leader(now)
    }

    /// Whether nobody can hold the lease by grants of earlier voters than the present ones: they have granted it to this
    /// node, or enough time has passed. Else two removals in a row could lead to two holders.
    fn earlier_leases_are_void(&self, now: Instant) -> bool {
        self.lease.is_held_at(now, self.value_number()) || self.voting.earlier_leases_are_over(now)
    }

    /// Proposes the next voters if they should be others and this node is to change them: one change at a time.
    pub(super) fn adjust_voters(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let may_propose = !self.pending_jobs.has_voter_change()
            && self.has_quorum(now)
            && self.changes_voters(now);
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
        if is_smaller && !self.earlier_leases_are_void(now) {
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

    /// Whether this node changes the voters, or will as soon as a standby's disk holds everything.
    pub(super) fn is_reconfiguring(&self, now: Instant) -> bool {
        self.changes_voters(now)
            && (self.pending_jobs.has_voter_change()
                || !self.standbys(now).is_empty()
                || next_voters(&self.voters_view(now, self.value_number())).is_some())
    }

    /// Nodes in contact that are eligible as voters, are none yet, and do not shut down.
    pub(super) fn standbys(&self, now: Instant) -> Vec<Voter> {
        self.standbys_where(now, |_| true)
    }

    /// The standbys that may become voters at once, since their disks hold everything up to this value.
    pub(super) fn ready_standbys(&self, now: Instant, value_number: ValueNumber) -> Vec<Voter> {
        self.standbys_where(now, |durable| durable >= Some(value_number))
    }

    /// `is_ready` is given the number of the newest value that a standby's disk is known to hold.
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
            // There may be two sessions with a node.
            let mut known = self.register.voters().iter().chain(&standbys);
            if known.all(|voter| voter.id != standby.id) {
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
        let last_seen_at = last_seen.map_or(self.contact.started_at(), |seen| seen.at);
        // While this node was out of contact itself it could not tell whether the voter was there.
        let out_of_contact_since = last_seen_at.max(self.contact.since().unwrap_or(now));
        let replaced =
            last_seen.is_some_and(|seen| seen.node_id != voter.into() && seen.voter_eligible);
        // With another node at its address the voter does not come back: it is lost at once, not only after the
        // time-out. But while that other node is in contact and stays, it is going to take the voter's place itself, as
        // soon as its disk holds everything: until the time-out the place is not given to another standby.
        let successor_joins = |peer: &ControlPeer| {
            peer.hello().control_address == voter.address && !peer.is_shutting_down()
        };
        let is_gone = replaced && !self.membership.contacts(now).any(successor_joins);
        VoterState {
            voter: voter.clone(),
            contact: if in_contact {
                VoterContact::InContact
            } else if is_gone || now > out_of_contact_since + VOTER_TIMEOUT {
                VoterContact::Lost
            } else {
                VoterContact::OutOfContact
            },
            replaced,
            shutting_down: self.node_is_shutting_down(voter.into()),
        }
    }
}
