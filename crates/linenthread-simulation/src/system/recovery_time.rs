//! Checks the time from a loss until the voters are complete again, that is, until all machines in service vote except
//! for at most one standby.

use std::time::Duration;

use linenthread_consensus::NodeId;
use linenthread_time::{Instant, whole_millis};

use super::invariant::Invariant;
use super::machine::Machine;
use super::world::World;

/// A voter is considered lost after this time without contact; not needed if its successor starts sooner.
const VOTER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Interval at which the voters are checked.
const UPKEEP: Duration = Duration::from_millis(200);
/// Maximum delay before either end dials. A dial that failed while the machine was down is repeated after up to
/// [`DIAL_BACKOFF`].
const DIAL_YIELD: Duration = Duration::from_millis(300);
/// Maximum interval between two dials.
const DIAL_BACKOFF: Duration = Duration::from_millis(1_600);
/// Consecutive syncs: of what the successor learns, of the promises, and of the acceptances. Each counts twice, since a
/// write may already be in progress.
const SYNCS: u32 = 6;
/// Syncs of competing rounds for configuration changes that may be in progress: two rounds, each with two phases of
/// two syncs.
const COMPETING_SYNCS: u32 = 8;
/// Time for messages between control nodes, including slow ones.
const MESSAGES: Duration = Duration::from_millis(400);

/// A loss of disks or machines after which the voters are not complete yet.
#[derive(Clone, Copy)]
pub(super) struct Loss {
    /// Time of the first loss.
    since: Instant,
    /// Whether no other machine was lost at that time and no other fault has occurred since.
    is_calm: bool,
}

/// Returns the maximum time until the voters are complete again, measured from the loss or from the last start of a
/// machine, whichever is later. It is the sum of the waits above, and applies if no other fault occurs.
fn recovery_bound(sync_duration: Duration) -> Duration {
    let waits = VOTER_TIMEOUT + UPKEEP + DIAL_YIELD + DIAL_BACKOFF + MESSAGES;
    waits + sync_duration * (SYNCS + COMPETING_SYNCS)
}

impl World {
    /// Records that a disk or machine was lost permanently.
    pub(super) fn begin_loss(&mut self) {
        let loss = Loss {
            since: self.now(),
            is_calm: self.loss.is_none() && self.is_calm(),
        };
        let first = self.loss.get_or_insert(loss);
        first.is_calm &= loss.is_calm;
    }

    /// Reports whether at most one machine is lost, no other fault is in effect, and operators send changes at an
    /// ordinary pace.
    fn is_calm(&self) -> bool {
        let is_sound = |machine: &Machine| {
            machine.disk.sync_duration == self.plan.sync_duration && !machine.disk.is_full()
        };
        let has_partition = self.network.has_partition(self.now());
        self.lost() <= 1 && self.machines.iter().all(is_sound) && !has_partition && !self.is_fast()
    }

    /// Records that another fault occurred during the recovery from a loss.
    pub(super) fn disturb_recovery(&mut self) {
        if let Some(loss) = &mut self.loss {
            loss.is_calm = false;
        }
    }

    /// Checks [`Invariant::WholeAgain`], and records the recovery time once the voters are complete.
    pub(super) fn check_recovery_time(&mut self) {
        let Some(loss) = self.loss else {
            return;
        };
        let present = || self.machines.iter().filter(|m| !m.decommissioned);
        if !present().all(Machine::is_up) {
            return;
        }
        let last_start = present().map(|m| m.started_at).max().unwrap_or_default();
        let elapsed = self.now().since(loss.since.max(last_start));
        let bound = recovery_bound(self.plan.sync_duration);
        let is_whole = self.is_whole();
        if is_whole {
            self.loss = None;
            if loss.is_calm {
                self.report.coverage.recovery_ms.push(whole_millis(elapsed));
            }
        }
        if loss.is_calm && elapsed > bound && (is_whole || !self.is_healed()) {
            self.disturb_recovery();
            let details = format!(
                "{} ms after a loss, of at most {} ms",
                elapsed.as_millis(),
                bound.as_millis()
            );
            self.violation(Invariant::WholeAgain, &details);
        }
    }

    /// Reports whether the voters of the newest value are the running machines, except for at most one standby.
    fn is_whole(&self) -> bool {
        let Some(newest) = self.history.newest_value() else {
            return false;
        };
        let running: Vec<NodeId> = self.machines.iter().filter_map(Machine::voter_id).collect();
        self.all_vote_but_one_standby(newest.voters.len(), running.len())
            && newest
                .voters
                .iter()
                .all(|voter| running.contains(&NodeId::from(voter)))
    }
}
