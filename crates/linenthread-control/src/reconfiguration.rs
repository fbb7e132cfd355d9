//! Decides which nodes are the next voters. The functions are pure: they map the view of the preferred
//! leader to a decision.

use linenthread_messages::Voter;

/// The state of the preferred leader's contact with a voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoterContact {
    /// A round trip succeeded recently.
    InContact,
    /// Out of contact, but not for long enough to be lost.
    OutOfContact,
    /// Out of contact for so long that a standby replaces it.
    Lost,
}

/// A voter of the newest value, as seen by the preferred leader.
#[derive(Clone, Debug)]
pub struct VoterState {
    /// The voter.
    pub voter: Voter,
    /// The state of the preferred leader's contact with the voter.
    pub contact: VoterContact,
    /// Whether another node, which is eligible as a voter, was last seen at the voter's address.
    pub replaced: bool,
    /// Whether the voter is shutting down, or exited after a graceful shutdown.
    pub shutting_down: bool,
}

/// The input of [`next_voters`].
#[derive(Clone, Debug)]
pub struct VotersView {
    /// The voters of the newest value, in its order.
    pub voters: Vec<VoterState>,
    /// Nodes in contact that are eligible as voters, are not voters yet, are not shutting down, and hold the newest
    /// value on their disks.
    pub ready_standbys: Vec<Voter>,
    /// A voter is removed without a successor only if there are more voters than this.
    pub min_voters: usize,
}

/// Reports whether the set of voters keeps its full fault budget while `down` of them stay down: a majority must remain
/// after as many further losses as the smallest set of voters tolerates.
fn tolerates_down(voters: usize, down: usize, min_voters: usize) -> bool {
    let majority = voters / 2 + 1;
    let fault_budget = min_voters.saturating_sub(1) / 2;
    voters >= majority + fault_budget + down
}

/// Reports whether a voter that is shutting down is removed first, without a standby to replace it. It is removed if
/// more than `min_voters` vote and the set would not keep its fault budget with all `shutting_down` voters, those
/// already departed included, counted as down.
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

    /// Reports whether an additional voter makes the set safer: if the set is smaller than `min_voters`, if its size is
    /// even, or if at least two standbys are ready. With only one standby, an odd set would just get a larger majority.
    /// None is added while any voter is out of contact, since that would also only raise the majority. The standby is
    /// kept to replace the next voter that shuts down or is lost.
    fn needs_additional_voter(&self) -> bool {
        let count = self.voters.len();
        let helps =
            count < self.min_voters || count.is_multiple_of(2) || self.ready_standbys.len() > 1;
        helps
            && self
                .voters
                .iter()
                .all(|state| state.contact == VoterContact::InContact)
    }

    /// Returns the voters with each lost or replaced voter exchanged for a ready standby. All are exchanged at once,
    /// since the next loss may come before another change. `None` if there is no such voter or no standby.
    fn with_successors_of_lost(&self) -> Option<Vec<Voter>> {
        let mut standbys = self.ready_standbys.clone();
        let mut next = self.present_voters();
        // A standby at the address of a voter succeeds that voter; standbys at other addresses fill the remaining
        // places.
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
            let is_unreplaced = next[position] == state.voter;
            if state.contact == VoterContact::Lost && is_unreplaced && !standbys.is_empty() {
                next[position] = standbys.remove(0);
            }
        }
        (next != self.present_voters()).then_some(next)
    }

    /// Returns the position of the voter to remove, or to replace on its own: first a lost one, then one that has
    /// departed, then one that is still shutting down. A departed voter no longer blocks anything, and may be gone for
    /// good.
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

/// Returns the voters of the next value; `None` if the present voters need no change. All lost voters are replaced at
/// once, as far as there are standbys; apart from that, the sets differ by one node. A voter that is shutting down is
/// replaced by a standby, or removed if [`removes_voter_without_successor`] returns true.
///
/// The next set is at most one voter smaller than the present one, which the lease relies on (`LeaderLease` in
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
            .filter(|_| view.needs_additional_voter())?;
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
