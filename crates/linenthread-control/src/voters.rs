//! Who votes: what the leader sees and proposes, and how a node leaves.

use linenthread_consensus::Change;
use linenthread_messages::Voter;
use linenthread_time::Instant;

use crate::membership::ControlPeer;
use crate::reconfiguration::{
    Holder, Leave, LeaveView, Presence, VoterState, VotersView, next_step_of_leaving, next_voters,
};
use crate::requests::Purpose;
use crate::timing::{CALL, LOST};
use crate::{ControlNode, Effect};

impl ControlNode {
    /// The holder of the lease keeps the voters to the machines that are there: one change at a time.
    pub(crate) fn keep_voters(&mut self, now: u64, epoch: u64, effects: &mut Vec<Effect>) {
        if self.changes_voters
            || !self.in_contact(now)
            || !self
                .lease
                .is_held_at(Instant::from_millis(now), self.value_number())
        {
            return;
        }
        let Some(on) = self.register.decided().map(|value| value.number) else {
            return;
        };
        let Some(voters) = next_voters(&self.voters_view(now, on)) else {
            return;
        };
        self.changes_voters = true;
        let names: Vec<&str> = voters.iter().map(|voter| voter.address.as_str()).collect();
        effects.push(Effect::Log(format!(
            "event=voters_changed on={on} voters={}",
            names.join(",")
        )));
        let job = self.requests.add(Purpose::Voters);
        let change = Change::Voters {
            base_number: on,
            voters,
            epoch,
        };
        let until = Instant::from_millis(now + 3 * CALL);
        self.agree(
            now,
            |register, agreed| {
                register.propose(Instant::from_millis(now), job, change, until, agreed);
            },
            effects,
        );
    }

    /// It leads, and changes the voters, or will as soon as a standby holds all.
    pub(crate) fn reconfigures(&self, now: u64) -> bool {
        let wants = || !self.standbys(now, None).is_empty() || self.wants_other_voters(now);
        self.lease.held_epoch(Instant::from_millis(now)).is_some()
            && (self.changes_voters || wants())
    }

    /// It leads, and others should vote: the change can be made at once.
    pub(crate) fn wants_other_voters(&self, now: u64) -> bool {
        let view = || self.voters_view(now, self.value_number());
        self.lease.held_epoch(Instant::from_millis(now)).is_some() && next_voters(&view()).is_some()
    }

    /// Machines in contact that may vote, do not yet, and stay; with a number only those that may take a vote
    /// at once, since they hold the value of this number on their disks.
    pub(crate) fn standbys(&self, now: u64, number: Option<u64>) -> Vec<Voter> {
        let own = Voter {
            id: self.register.id(),
            address: self.local.control_address.clone(),
        };
        let own_ready =
            self.local.may_vote && self.leaving.is_none() && self.durable.value_number >= number;
        let others = self.members.candidates(now, number);
        let mut standbys: Vec<Voter> = others.chain(own_ready.then_some(own)).collect();
        standbys.retain(|standby| {
            !self
                .register
                .voters()
                .iter()
                .any(|voter| voter.id == standby.id)
        });
        standbys
    }

    fn voters_view(&self, now: u64, number: u64) -> VotersView {
        let disks = self.disks_in_contact(now);
        let state = |voter: &Voter| self.voter_state(now, voter, disks.contains(&voter.id));
        VotersView {
            voters: self.register.voters().iter().map(state).collect(),
            standbys: self.standbys(now, Some(number)),
            least: self.local.min_voters,
        }
    }

    fn voter_state(&self, now: u64, voter: &Voter, in_contact: bool) -> VoterState {
        let sighting = self.members.sighting(&voter.address);
        let last_contact = sighting.map_or(self.began, |sighting| sighting.at);
        // Who was out of contact itself could not tell.
        let since = last_contact.max(self.contact_since.unwrap_or(now));
        let leaves = match voter.id == self.register.id() {
            true => self.leaving.is_some(),
            false => self.members.leaves(voter.id),
        };
        let replaced =
            sighting.is_some_and(|sighting| sighting.disk != voter.id && sighting.counts);
        // Another disk at its address: the old one does not come back, unless its successor is about to vote.
        let joins =
            |peer: &ControlPeer| peer.hello.control_address == voter.address && !peer.leaving;
        let given_up = replaced && !self.members.contacts(now).any(joins);
        VoterState {
            voter: voter.clone(),
            in_contact,
            replaced,
            lost: !in_contact && (given_up || now > since + LOST),
            leaving: leaves,
        }
    }

    // --- leaving ---

    /// A planned end was asked for. Asked again it changes nothing.
    pub fn leave(&mut self, now: u64, effects: &mut Vec<Effect>) {
        self.awake(now, effects);
        if self.leaving.is_some() {
            return;
        }
        self.leaving = Some(now);
        effects.push(Effect::Log("event=shutdown_requested".into()));
        self.drop_fronts(now, effects);
        self.send_heartbeats(now, effects);
        self.complete(now, effects);
        self.hurry();
    }

    /// Whether this control node may end now: others hold durably what it holds, and it leads no more. Who
    /// has been told so must end without a further message: others may go because this node was still to go.
    pub fn may_leave(&self, now: u64) -> bool {
        self.leaving.is_some() && self.next_step_of_leaving(now) == Leave::Go
    }

    /// Why it may not end yet, for the log.
    pub fn leave_waits_for(&self, now: u64) -> &'static str {
        match self.next_step_of_leaving(now) {
            Leave::Wait(cause) => cause,
            Leave::Release => "the leader lease is to be released",
            Leave::Go => "nothing",
        }
    }

    pub(crate) fn next_step_of_leaving(&self, now: u64) -> Leave {
        let Some(number) = self.register.decided().map(|value| value.number) else {
            return Leave::Go;
        };
        next_step_of_leaving(&LeaveView {
            disk: self.register.id(),
            voters: self
                .register
                .voters()
                .iter()
                .map(|voter| self.holder(now, voter.id, number))
                .collect(),
            // Also one that does not hold all yet: what it lacks it is about to have.
            standby: !self.standbys(now, None).is_empty(),
            least: self.local.min_voters,
            // Who has answered has said as well whether it leaves itself, and whether it changes the voters.
            unanswered: self
                .members
                .contacts(now)
                .any(|peer| peer.reached < self.leaving),
            reconfiguring: self.reconfigures(now)
                || self.members.contacts(now).any(|peer| peer.reconfiguring),
            in_doubt: self.register.has_undecided(),
            busy: self.requests.has_calls() || self.changes_voters || !self.drains.is_empty(),
            leads: self.lease.held_epoch(Instant::from_millis(now)).is_some(),
        })
    }

    fn holder(&self, now: u64, disk: u64, number: u64) -> Holder {
        if let Some(peer) = self.members.contact(now, disk) {
            let presence = if peer.leaving {
                Presence::Leaving
            } else {
                Presence::InContact
            };
            return Holder {
                disk,
                durable: peer.durable >= Some(number),
                presence,
            };
        }
        match self.members.departed(disk) {
            Some(durable) => Holder {
                disk,
                durable: durable >= number,
                presence: Presence::Departed,
            },
            None => Holder {
                disk,
                durable: false,
                presence: Presence::Absent,
            },
        }
    }
}
