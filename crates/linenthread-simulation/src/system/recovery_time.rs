//! How long it takes from a loss until the control nodes are whole again: all that are there vote, but for one standby.

use std::time::Duration;

use linenthread_consensus::NodeId;
use linenthread_time::{Instant, whole_millis};

use super::invariant::Invariant;
use super::machine::Machine;
use super::world::World;

/// A voter is found lost after so long out of contact; one whose successor is there sooner need not be.
const VOTER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How often the voters are looked at.
const UPKEEP: Duration = Duration::from_millis(200);
/// Both ends may wait so long before they dial, and a dial that failed while the machine was down is repeated after up to
/// [`DIAL_BACKOFF`].
const DIAL_YIELD: Duration = Duration::from_millis(300);
/// The longest pause between two dials.
const DIAL_BACKOFF: Duration = Duration::from_millis(1_600);
/// Syncs one after another: of what the successor learns (two, since a write may be in progress), of the promises and of
/// the acceptances (two each).
const SYNCS: u32 = 6;
/// Rounds of orders that may be in progress, each of two phases of two syncs.
const COMPETING_SYNCS: u32 = 8;
/// Messages between control nodes, slow ones included.
const MESSAGES: Duration = Duration::from_millis(400);

/// A loss after which the control nodes are not whole again yet.
#[derive(Clone, Copy)]
pub(super) struct Loss {
    /// When the first of them came.
    since: Instant,
    /// No other machine was lost then, and no other fault came since.
    is_calm: bool,
}

/// The longest time from a loss until the control nodes are whole again, or from the start of the last successor, where
/// nothing else happens and a sync takes this long: the sum of the waits above.
fn recovery_bound(sync_duration: Duration) -> Duration {
    let waits = VOTER_TIMEOUT + UPKEEP + DIAL_YIELD + DIAL_BACKOFF + MESSAGES;
    waits + sync_duration * (SYNCS + COMPETING_SYNCS)
}

impl World {
    /// A disk or a machine is lost for good.
    pub(super) fn begin_loss(&mut self) {
        let loss = Loss {
            since: self.now(),
            is_calm: self.loss.is_none() && self.is_calm(),
        };
        let first = self.loss.get_or_insert(loss);
        first.is_calm &= loss.is_calm;
    }

    /// Whether nothing else is wrong than the loss of one machine, and operators send changes at an ordinary pace.
    fn is_calm(&self) -> bool {
        let is_sound = |machine: &Machine| {
            machine.disk.sync_duration == self.plan.sync_duration && !machine.disk.is_full()
        };
        let has_partition = self.network.has_partition(self.now());
        self.lost() <= 1 && self.machines.iter().all(is_sound) && !has_partition && !self.is_fast()
    }

    /// Another fault comes.
    pub(super) fn disturb_recovery(&mut self) {
        if let Some(loss) = &mut self.loss {
            loss.is_calm = false;
        }
    }

    /// Notes that the control nodes are whole again; [`Invariant::WholeAgain`] if that took too long.
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

    /// Whether the voters of the newest value are the machines that are there, but for one standby.
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
