//! The budget of losses: what the troubles assume, all in one place.
//!
//! - `(core - 1) / 2` machines may be lost at once, of those that count: so many losses leave a majority. Until the
//!   whole core counts for the first time, three of it at the very start, fewer may: as many as those bear.
//! - A machine is lost while it is down, frozen, slowed, cut off or its disk is full, and for [`SYNC`] after
//!   it is back: what it had missed is to be on its disk by then.
//! - One whose disk is lost, and one that is removed for good, stops counting once its successor has had
//!   [`SYNC`].
//! - One that is removed before control lets it go, at the end of its grace, may hold what no other has: it
//!   is a loss like any other, comes within the budget only, and counts for [`SYNC`] from then on.
//! - Disks are lost within the budget only. Crashes and losses of power that leave the disk, cuts, pauses and
//!   full disks may take any number: they may hold the system up, but nothing may be lost or go wrong by
//!   them.
//! - Right after an acknowledgement slow or cut-off machines are no loss of their own ([`World::all_count`]
//!   says when): what was acknowledged is on more than half of the disks, whoever has not yet heard of it.

use linenthread_consensus::DurableState;
use linenthread_messages::Voter;

use super::machines::Node;
use super::world::World;

/// How long a machine that is back still counts as lost.
pub(super) const SYNC: u64 = 4_000;

impl World {
    /// Lost until [`SYNC`] after `back`.
    pub(super) fn count_lost(&mut self, n: usize, back: u64) {
        let node = &mut self.nodes[n];
        node.lost_until = node.lost_until.max(back + SYNC);
    }

    /// How many that count are lost now, or came back just now.
    pub(super) fn lost(&self) -> usize {
        let now = self.now;
        let down = |n: &Node| !n.removed && (n.control.is_none() || n.frozen > now);
        self.nodes
            .iter()
            .filter(|n| down(n) || n.lost_until > now)
            .count()
    }

    /// One more disk may be lost.
    pub(super) fn may_lose_one(&self) -> bool {
        let most_voters = self
            .values
            .values()
            .map(|value| value.voters.len())
            .max()
            .unwrap_or(0);
        let borne = most_voters.saturating_sub(1) / 2;
        self.lost() < self.budget.min(borne)
    }

    /// How many are down or without the disk that they had.
    pub(super) fn gone(&self) -> usize {
        let now = self.now;
        let gone = |n: &&Node| !n.removed && (n.control.is_none() || n.wiped_until > now);
        self.nodes.iter().filter(gone).count()
    }

    /// Each machine that is there counts, by its disk's name, or stands by beside enough that do; more than half of
    /// those that count have that on disk: the budget holds from then on, however slow the others are.
    pub(super) fn all_count(&self) -> bool {
        let Some((_, newest)) = self.values.last_key_value() else {
            return false;
        };
        let live: Vec<&Node> = self.nodes.iter().filter(|n| !n.removed).collect();
        let voters = newest.voters.len();
        if voters != live.len() && !self.one_stands_by(voters, live.len()) {
            return false;
        }
        let of = |voter: &Voter| {
            live.iter()
                .map(|n| n.disk.durable())
                .find(|d| d.id == Some(voter.id))
        };
        let disks: Vec<DurableState> = newest.voters.iter().filter_map(of).collect();
        let decided = |d: &DurableState| d.records().into_iter().find_map(|r| r.decided);
        let has = |d: &&DurableState| decided(d).is_some_and(|value| value.voters == newest.voters);
        disks.len() == voters && disks.iter().filter(has).count() * 2 > voters
    }

    /// One machine beside an odd number of voters that bears the budget stands by, to take the next free place.
    pub(super) fn one_stands_by(&self, voters: usize, live: usize) -> bool {
        voters + 1 == live && !voters.is_multiple_of(2) && voters > 2 * self.budget
    }
}
