//! Who votes next, and when a machine that leaves may go: pure functions from a typed view to a decision.

use linenthread_messages::Voter;

/// One of the newest value's voters as the holder of the leader lease sees it.
#[derive(Clone, Debug)]
pub struct VoterState {
    pub voter: Voter,
    pub in_contact: bool,
    /// Its address is served by another disk now.
    pub replaced: bool,
    /// Out of contact for so long that its place goes to a standby.
    pub lost: bool,
    /// It has said that it is about to end, or ended after it had said so.
    pub leaving: bool,
}

/// All that the choice of the next voters rests on.
#[derive(Clone, Debug)]
pub struct VotersView {
    pub voters: Vec<VoterState>,
    /// Machines in contact that may vote, do not yet, do not leave, and hold the newest value on their disks.
    pub standbys: Vec<Voter>,
    /// A voter is taken off without a successor only above so many.
    pub least: usize,
}

/// Whether so many of the voters may be down for good with the fault budget left whole: a majority is there after
/// as many more losses as the least set of voters bears.
fn bears_down(voters: usize, down: usize, least: usize) -> bool {
    let majority = voters / 2 + 1;
    let budget = least.saturating_sub(1) / 2;
    voters >= majority + budget + down
}

/// Whether a voter that leaves is first taken off, with no standby there: the set is large enough without it, and
/// would not bear what it should with all that leave, or have left, counted and down.
pub fn takes_leaver_off(voters: usize, leaving: usize, least: usize) -> bool {
    voters > least && !bears_down(voters, leaving, least)
}

impl VotersView {
    fn standby_at(&self, address: &str) -> Option<&Voter> {
        self.standbys
            .iter()
            .find(|standby| standby.address == address)
    }

    fn leaving(&self) -> usize {
        self.voters.iter().filter(|v| v.leaving).count()
    }

    /// Whether one more voter makes the set safer: up to the least set, from an even number to an odd one, or
    /// as the first of two. One beside an odd number would only raise the majority, as it would beside a
    /// voter that may be down: it stands by, for the place of the next one that leaves or is lost.
    fn wants_one_more(&self) -> bool {
        let count = self.voters.len();
        let odd_or_least = count < self.least || count.is_multiple_of(2) || self.standbys.len() > 1;
        odd_or_least && self.voters.iter().all(|v| v.in_contact)
    }

    /// The voter whose place is to be given away: replaced, else lost, else leaving.
    fn outgoing(&self) -> Option<usize> {
        let replaced = |v: &VoterState| v.replaced && self.standby_at(&v.voter.address).is_some();
        let position = |which: &dyn Fn(&VoterState) -> bool| self.voters.iter().position(which);
        position(&replaced)
            .or_else(|| position(&|v| v.lost))
            .or_else(|| position(&|v| v.leaving))
    }
}

/// The next value's voters, at most one machine away from the present ones; none where they are as they
/// should be. A leaving voter is swapped for a standby, or taken off where [`takes_leaver_off`] says so.
pub fn next_voters(view: &VotersView) -> Option<Vec<Voter>> {
    let mut next: Vec<Voter> = view.voters.iter().map(|v| v.voter.clone()).collect();
    let Some(outgoing) = view.outgoing() else {
        next.push(
            view.standbys
                .first()
                .filter(|_| view.wants_one_more())?
                .clone(),
        );
        return Some(next);
    };
    let state = &view.voters[outgoing];
    match view
        .standby_at(&state.voter.address)
        .or(view.standbys.first())
    {
        Some(standby) => next[outgoing] = standby.clone(),
        None if state.lost && next.len() > view.least => drop(next.remove(outgoing)),
        None if takes_leaver_off(next.len(), view.leaving(), view.least) => {
            drop(next.remove(outgoing));
        }
        None => return None,
    }
    Some(next)
}

/// How another voter is seen by one that leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    InContact,
    /// In contact, and about to end as well.
    Leaving,
    /// It ended after it had said that it would.
    Departed,
    Absent,
}

/// One of the newest value's voters as a machine that leaves sees it.
#[derive(Clone, Copy, Debug)]
pub struct Holder {
    pub disk: u64,
    /// Its disk holds the newest value that this machine knows.
    pub durable: bool,
    pub presence: Presence,
}

/// All that the moment of going rests on.
#[derive(Clone, Debug)]
pub struct LeaveView {
    pub disk: u64,
    /// In the order of the newest value.
    pub voters: Vec<Holder>,
    /// Some machine may take a voter's place at once.
    pub standby: bool,
    /// A voter is taken off without a successor only above so many.
    pub least: usize,
    /// Some peer in contact has not yet answered what this machine said of its leaving.
    pub unanswered: bool,
    /// The holder of the leader lease is about to change the voters.
    pub reconfiguring: bool,
    /// This disk accepted a value that it does not know to be decided.
    pub in_doubt: bool,
    /// Calls wait for their answers.
    pub busy: bool,
    pub leads: bool,
}

/// What a machine that leaves does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Leave {
    Wait(&'static str),
    /// Others hold all: it gives its leader lease back.
    Release,
    Go,
}

impl LeaveView {
    fn own_position(&self) -> Option<usize> {
        self.voters
            .iter()
            .position(|holder| holder.disk == self.disk)
    }

    /// How many of the voters leave, or have left, this machine among them.
    fn leaving(&self) -> usize {
        let leaves = |holder: &&Holder| {
            holder.disk == self.disk
                || matches!(holder.presence, Presence::Leaving | Presence::Departed)
        };
        self.voters.iter().filter(leaves).count()
    }

    /// Whether the voter at this position will go on holding what this machine leaves behind. Of several that
    /// leave at once the first in order goes first, and the later ones wait for its return. Where nobody
    /// stays, what the disks hold is all that can be had.
    fn stays(&self, position: usize, nobody_stays: bool) -> bool {
        match self.voters[position].presence {
            Presence::InContact => true,
            Presence::Leaving => {
                nobody_stays || self.own_position().is_none_or(|own| position > own)
            }
            Presence::Departed => nobody_stays,
            Presence::Absent => false,
        }
    }

    /// More than half of the voters hold the newest value without this machine; or all others, where there
    /// are too few of them.
    fn others_hold_all(&self) -> bool {
        let others: Vec<usize> = (0..self.voters.len())
            .filter(|&i| self.voters[i].disk != self.disk)
            .collect();
        let nobody_stays = others.iter().all(|&i| {
            matches!(
                self.voters[i].presence,
                Presence::Leaving | Presence::Departed
            )
        });
        let holds = |i: usize| self.voters[i].durable && self.stays(i, nobody_stays);
        let holders = others.iter().filter(|&&i| holds(i)).count();
        let majority = self.voters.len() / 2 + 1;
        holders >= majority.min(others.len())
    }
}

/// Whether a machine that is to end may go.
pub fn next_step_of_leaving(view: &LeaveView) -> Leave {
    if view.in_doubt {
        return Leave::Wait("a value is in doubt");
    }
    if view.busy {
        return Leave::Wait("calls wait for their answers");
    }
    if view.unanswered {
        return Leave::Wait("not all others know that it leaves");
    }
    if view.reconfiguring {
        return Leave::Wait("the voters are being changed");
    }
    let taken_off = view.standby || takes_leaver_off(view.voters.len(), view.leaving(), view.least);
    if taken_off && view.own_position().is_some() {
        return Leave::Wait("its vote is to be taken off");
    }
    if !view.others_hold_all() {
        return Leave::Wait("too few others hold the newest value");
    }
    if view.leads {
        return Leave::Release;
    }
    Leave::Go
}
