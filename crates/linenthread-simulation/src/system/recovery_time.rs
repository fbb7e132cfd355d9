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
const VOTER_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum delay before either end dials. A dial that failed while the machine was down is repeated after up to
/// [`DIAL_BACKOFF`].
const DIAL_DELAY: Duration = Duration::from_millis(300);
/// Maximum interval between two dials.
const DIAL_BACKOFF: Duration = Duration::from_millis(1_600);
/// Consecutive syncs: of what the successor learns, of the promises, and of the acceptances. Each counts twice, since a
/// write may already be in progress.
const SUCCESSOR_SYNCS: u32 = 6;
/// Syncs of competing rounds for configuration changes that may be in progress: two rounds, each with two phases of
/// two syncs.
const COMPETING_ROUND_SYNCS: u32 = 8;
/// Time for messages between control nodes, including slow ones.
const MESSAGE_TIME: Duration = Duration::from_millis(400);

/// A loss of disks or machines after which the voters are not complete yet.
#[derive(Clone, Copy)]
pub(super) struct Loss {
    /// Time of the first loss.
    since: Instant,
    /// Whether no other machine was lost at that time and no other fault has occurred since.
    is_only_fault: bool,
}

/// Returns the maximum time until the voters are complete again, measured from the loss or from the last start of a
/// machine, whichever is later. It is the sum of the waits above, and applies if no other fault occurs.
fn recovery_bound(sync_duration: Duration) -> Duration {
    let waits = VOTER_TIMEOUT + VOTER_CHECK_INTERVAL + DIAL_DELAY + DIAL_BACKOFF + MESSAGE_TIME;
    waits + sync_duration * (SUCCESSOR_SYNCS + COMPETING_ROUND_SYNCS)
}

impl World {
    /// Records that a disk or machine was lost permanently.
    pub(super) fn record_loss(&mut self) {
        let loss = Loss {
            since: self.now(),
            is_only_fault: self.loss.is_none() && self.has_no_other_fault(),
        };
        let first = self.loss.get_or_insert(loss);
        first.is_only_fault &= loss.is_only_fault;
    }

    /// Reports whether at most one machine is lost, no other fault is in effect, and operators send changes at an
    /// ordinary pace.
    fn has_no_other_fault(&self) -> bool {
        let has_healthy_disk = |machine: &Machine| {
            machine.disk.sync_duration == self.plan.sync_duration && !machine.disk.is_full()
        };
        let has_partition = self.network.has_partition(self.now());
        self.lost_machines() <= 1
            && self.machines.iter().all(has_healthy_disk)
            && !has_partition
            && !self.is_fast()
    }

    /// Records that another fault occurred during the recovery from a loss.
    pub(super) fn record_fault_during_recovery(&mut self) {
        if let Some(loss) = &mut self.loss {
            loss.is_only_fault = false;
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
        let are_voters_complete = self.are_voters_complete();
        if are_voters_complete {
            self.loss = None;
            if loss.is_only_fault {
                self.report.coverage.recovery_ms.push(whole_millis(elapsed));
            }
        }
        if loss.is_only_fault && elapsed > bound && (are_voters_complete || !self.is_healed()) {
            self.record_fault_during_recovery();
            let details = format!(
                "{} ms after a loss, of at most {} ms",
                elapsed.as_millis(),
                bound.as_millis()
            );
            self.violation(Invariant::WholeAgain, &details);
        }
    }

    /// Reports whether the voters of the newest value are the running machines, except for at most one standby.
    fn are_voters_complete(&self) -> bool {
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
