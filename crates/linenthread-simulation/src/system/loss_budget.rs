//! The loss budget: how many machines may be lost at once, all in one place.
//!
//! - `(core - 1) / 2` machines may be lost at once, of those whose disks vote: so many losses leave a majority.
//!   Until the whole core votes for the first time, with three voters at the very start, fewer may be lost: as
//!   many as those voters bear.
//! - A machine is lost while it is down, paused, slow, partitioned off or its disk is full, and for
//!   [`CATCH_UP_TIME`] after it is back: what it had missed is on its disk by then.
//! - One whose disk is lost, and one that is decommissioned, is no loss any more once its successor has had
//!   [`CATCH_UP_TIME`].
//! - One that is decommissioned by the deadline of its shutdown, before control permits it, may hold what no
//!   other has: it is a loss like any other, comes within the budget only, and counts for [`CATCH_UP_TIME`] from
//!   then on.
//! - Disks are lost within the budget only. Crashes and power losses that leave the disk, partitions, pauses and
//!   full disks may take any number of machines: they may delay the system, but nothing may be lost or violated.
//! - Right after an acknowledgement slow or partitioned machines are no losses ([`World::all_vote`] says when):
//!   what was acknowledged is on a majority of the disks, whichever node has not yet been notified of it.

use std::time::Duration;

use linenthread_consensus::DurableState;
use linenthread_messages::Voter;
use linenthread_time::Instant;

use super::machine::Machine;
use super::world::World;

/// How long a machine that is back still counts as lost.
pub(super) const CATCH_UP_TIME: Duration = Duration::from_millis(4_000);

impl World {
    /// Counts a machine as lost until [`CATCH_UP_TIME`] after it is `back`.
    pub(super) fn count_lost(&mut self, node: usize, back: Instant) {
        let machine = &mut self.machines[node];
        machine.lost_until = machine.lost_until.max(back + CATCH_UP_TIME);
    }

    /// How many machines are lost now, or came back just now.
    pub(super) fn lost(&self) -> usize {
        let now = self.now();
        let is_down = |machine: &Machine| !machine.decommissioned && !machine.is_running(now);
        self.machines
            .iter()
            .filter(|machine| is_down(machine) || machine.lost_until > now)
            .count()
    }

    /// Whether one more disk may be lost.
    pub(super) fn may_lose_one(&self) -> bool {
        let max_voters = self
            .history
            .values
            .values()
            .map(|value| value.voters.len())
            .max()
            .unwrap_or(0);
        let tolerated = max_voters.saturating_sub(1) / 2;
        self.lost() < self.max_lost.min(tolerated)
    }

    /// How many machines are down or without the disk that they had.
    pub(super) fn down_or_erased(&self) -> usize {
        let now = self.now();
        self.machines
            .iter()
            .filter(|machine| !machine.decommissioned)
            .filter(|machine| !machine.is_up() || machine.erased_until > now)
            .count()
    }

    /// Whether each machine that is there votes, by its disk's id, or is the one standby, and a majority of the
    /// voters has that on disk: the budget holds from then on, however slow the others are.
    pub(super) fn all_vote(&self) -> bool {
        let Some(newest) = self.history.newest_value() else {
            return false;
        };
        let machines: Vec<&Machine> = self
            .machines
            .iter()
            .filter(|machine| !machine.decommissioned)
            .collect();
        let voters = newest.voters.len();
        if !self.all_vote_but_one_standby(voters, machines.len()) {
            return false;
        }
        let disk_of = |voter: &Voter| {
            machines
                .iter()
                .map(|machine| machine.disk.durable_state())
                .find(|state| state.id == Some(voter.into()))
        };
        let disks: Vec<DurableState> = newest.voters.iter().filter_map(disk_of).collect();
        let knows_voters = |state: &&DurableState| {
            let decided = state.records().into_iter().find_map(|r| r.decided);
            decided.is_some_and(|value| value.voters == newest.voters)
        };
        disks.len() == voters && disks.iter().filter(knows_voters).count() * 2 > voters
    }

    /// Whether so many voters are all of so many machines, or all but a standby: one machine beside an odd number of voters
    /// that bears the budget, which takes the next free place.
    pub(super) fn all_vote_but_one_standby(&self, voters: usize, machines: usize) -> bool {
        let bears_budget = !voters.is_multiple_of(2) && voters > 2 * self.max_lost;
        voters == machines || voters + 1 == machines && bears_budget
    }
}
