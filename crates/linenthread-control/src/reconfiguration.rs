//! Who votes next: pure functions from the leader's view to a decision.

use linenthread_messages::Voter;

/// Whether the leader is in contact with a voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoterContact {
    /// Messages went back and forth lately.
    InContact,
    /// Out of contact for the moment.
    OutOfContact,
    /// Out of contact for so long that its place goes to a standby.
    Lost,
}

/// One of the newest value's voters as the leader sees it.
#[derive(Clone, Debug)]
pub struct VoterState {
    /// The voter.
    pub voter: Voter,
    /// Whether it is in contact.
    pub contact: VoterContact,
    /// Another node is at its address now.
    pub replaced: bool,
    /// It shuts down, or ended after a graceful shutdown.
    pub shutting_down: bool,
}

/// All that the choice of the next voters rests on.
#[derive(Clone, Debug)]
pub struct VotersView {
    /// In the order of the newest value.
    pub voters: Vec<VoterState>,
    /// Nodes in contact that are eligible as voters, are none yet, do not shut down, and hold the newest value on their
    /// disks.
    pub ready_standbys: Vec<Voter>,
    /// A voter is removed without a successor only if more than so many vote.
    pub min_voters: usize,
}

/// Whether `down` of the voters may be down for good with the fault budget still complete: a majority is left after
/// as many further losses as the smallest set of voters tolerates.
fn tolerates_down(voters: usize, down: usize, min_voters: usize) -> bool {
    let majority = voters / 2 + 1;
    let fault_budget = min_voters.saturating_sub(1) / 2;
    voters >= majority + fault_budget + down
}

/// Whether a voter that shuts down is removed first, without a standby to replace it: the set is large enough
/// without it, and would not tolerate the faults it should with all that shut down, or have, counted as down.
pub fn removes_voter_without_successor(
    voters: usize,
    shutting_down: usize,
    min_voters: usize,
) -> bool {
    voters > min_voters && !tolerates_down(voters, shutting_down, min_voters)
}

impl VotersView {
    fn present_voters(&self) -> Vec<Voter> {
        let states = self.voters.iter();
        states.map(|state| state.voter.clone()).collect()
    }

    fn standby_at(&self, address: &str) -> Option<&Voter> {
        self.ready_standbys
            .iter()
            .find(|standby| standby.address == address)
    }

    fn shutting_down_count(&self) -> usize {
        self.voters
            .iter()
            .filter(|state| state.shutting_down)
            .count()
    }

    /// Whether one more voter makes the set safer: below the smallest set, from an even number to an odd one, or as
    /// the first of two. One more beside an odd number would only raise the majority, and so would one more beside a
    /// voter that may be down: it stands by, for the place of the next one that shuts down or is lost.
    fn needs_one_more(&self) -> bool {
        let count = self.voters.len();
        let helps =
            count < self.min_voters || count.is_multiple_of(2) || self.ready_standbys.len() > 1;
        helps
            && self
                .voters
                .iter()
                .all(|state| state.contact == VoterContact::InContact)
    }

    /// The voters that are lost or replaced, each with a ready standby in its place: all at once, since the next loss may
    /// come before another change. `None` if there is no such voter or no standby.
    fn with_successors_of_lost(&self) -> Option<Vec<Voter>> {
        let mut standbys = self.ready_standbys.clone();
        let mut next = self.present_voters();
        // A standby at the address of a voter is its successor; those at other addresses take the places that are left.
        for (position, state) in self.voters.iter().enumerate() {
            let successor = standbys
                .iter()
                .position(|standby| standby.address == state.voter.address);
            if state.is_lost()
                && let Some(successor) = successor
            {
                next[position] = standbys.remove(successor);
            }
        }
        for (position, state) in self.voters.iter().enumerate() {
            let has_place_left = next[position] == state.voter;
            if state.contact == VoterContact::Lost && has_place_left && !standbys.is_empty() {
                next[position] = standbys.remove(0);
            }
        }
        (next != self.present_voters()).then_some(next)
    }

    /// Position of the voter that is removed, or replaced alone: lost, else ended after a graceful shutdown, else still
    /// shutting down. One that has ended holds nothing up any more, and may be gone for good.
    fn outgoing(&self) -> Option<usize> {
        let position = |which: &dyn Fn(&VoterState) -> bool| self.voters.iter().position(which);
        let is_in_contact = |state: &VoterState| state.contact == VoterContact::InContact;
        position(&|state| state.contact == VoterContact::Lost)
            .or_else(|| position(&|state| state.shutting_down && !is_in_contact(state)))
            .or_else(|| position(&|state| state.shutting_down))
    }
}

impl VoterState {
    fn is_lost(&self) -> bool {
        self.replaced || self.contact == VoterContact::Lost
    }
}

/// The next value's voters; `None` if they are as they should be. All voters that are lost are replaced at once, as far
/// as there are standbys; apart from that one node is different from the present ones. A voter that shuts down is
/// replaced by a standby, or removed if [`removes_voter_without_successor`] says so.
///
/// The next set is smaller than the present one by one voter at most, which the lease relies on (`LeaderLease` in
/// `linenthread-consensus`).
pub fn next_voters(view: &VotersView) -> Option<Vec<Voter>> {
    if let Some(next) = view.with_successors_of_lost() {
        return Some(next);
    }
    let mut next = view.present_voters();
    let Some(outgoing) = view.outgoing() else {
        let added = view
            .ready_standbys
            .first()
            .filter(|_| view.needs_one_more())?;
        next.push(added.clone());
        return Some(next);
    };
    let state = &view.voters[outgoing];
    let successor = view
        .standby_at(&state.voter.address)
        .or(view.ready_standbys.first());
    if let Some(standby) = successor {
        next[outgoing] = standby.clone();
        return Some(next);
    }
    let is_removed = state.contact == VoterContact::Lost && next.len() > view.min_voters
        || removes_voter_without_successor(next.len(), view.shutting_down_count(), view.min_voters);
    is_removed.then(|| {
        next.remove(outgoing);
        next
    })
}
