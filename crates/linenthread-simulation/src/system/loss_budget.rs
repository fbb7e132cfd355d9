//! Loss budget: the number of machines that may be lost at once.
//!
//! - Up to `(core - 1) / 2` machines whose disks vote may be lost at once, which leaves a majority. Until the whole
//!   core votes for the first time, starting with three voters, the limit is lower: the number of losses that those
//!   voters tolerate.
//! - A machine counts as lost while it is down, paused, slow, partitioned off or has a full disk, and for
//!   [`CATCH_UP_TIME`] after that: by then it has stored what it had missed.
//! - A machine whose disk is lost, or which is decommissioned, counts as lost until [`CATCH_UP_TIME`] after the start
//!   of its successor.
//! - A machine that is decommissioned at the deadline of its shutdown, without permission of its control node, may hold
//!   data that no other machine has. It is removed only within the budget, and counts as lost for [`CATCH_UP_TIME`]
//!   from then on.
//! - Disks are lost only within the budget. Crashes and power losses that leave the disk, partitions, pauses and full
//!   disks may affect any number of machines: they may delay the system, but no data may be lost and no invariant
//!   violated.
//! - Right after an acknowledgement slow or partitioned machines do not count as lost, under the condition of
//!   [`World::all_vote`]: what was acknowledged is on a majority of the disks, even if some nodes have not been
//!   notified.

use std::time::Duration;

use linenthread_consensus::DurableState;
use linenthread_messages::Voter;
use linenthread_time::Instant;

use super::machine::Machine;
use super::world::World;

/// Time for which a machine still counts as lost after it is back.
pub(super) const CATCH_UP_TIME: Duration = Duration::from_millis(4_000);

impl World {
    /// Counts a machine as lost until [`CATCH_UP_TIME`] after `back`, the time at which it is back.
    pub(super) fn mark_lost(&mut self, node: usize, back: Instant) {
        let machine = &mut self.machines[node];
        machine.lost_until = machine.lost_until.max(back + CATCH_UP_TIME);
    }

    /// Returns the number of machines that count as lost now.
    pub(super) fn lost_machines(&self) -> usize {
        let now = self.now();
        let is_down = |machine: &Machine| !machine.decommissioned && !machine.is_running(now);
        self.machines
            .iter()
            .filter(|machine| is_down(machine) || machine.lost_until > now)
            .count()
    }

    /// Reports whether the budget permits the loss of one more disk.
    pub(super) fn may_lose_one(&self) -> bool {
        let max_voters = self
            .history
            .values
            .values()
            .map(|value| value.voters.len())
            .max()
            .unwrap_or(0);
        let tolerated = max_voters.saturating_sub(1) / 2;
        self.lost_machines() < self.max_lost.min(tolerated)
    }

    /// Returns the number of machines that are down or have not recovered from the loss of their disk.
    pub(super) fn down_or_erased(&self) -> usize {
        let now = self.now();
        self.machines
            .iter()
            .filter(|machine| !machine.decommissioned)
            .filter(|machine| !machine.is_up() || machine.erased_until > now)
            .count()
    }

    /// Reports whether each machine in service votes, by the id of its disk, or is the only standby, and a majority of
    /// the voters has stored that set of voters. The budget then holds however slow the other machines are.
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

    /// Reports whether the voters are all of the machines, or all but one standby, which takes the next place that
    /// becomes free. A standby is possible only with an odd number of voters that tolerates as many losses as the
    /// budget permits.
    pub(super) fn all_vote_but_one_standby(&self, voters: usize, machines: usize) -> bool {
        let tolerates_budget = !voters.is_multiple_of(2) && voters > 2 * self.max_lost;
        voters == machines || voters + 1 == machines && tolerates_budget
    }
}
