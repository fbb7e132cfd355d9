//! Starts and ends the fault of a run. Service discovery announces the replicas that it stops and restarts.

use linenthread_core::interface::{MembershipEntry, MembershipUpdate, Phase, TenthMillis};

use super::event::Event;
use super::fault::Fault;
use super::world::World;
use super::{FAULT_START, REPLICAS, SECOND, START, ZONES};

/// How long a fault lasts.
const FAULT_DURATION: TenthMillis = 15 * SECOND;
/// How long [`Fault::ShortLoss`] lasts.
const SHORT_FAULT_DURATION: TenthMillis = FAULT_DURATION / 3;
/// The delay until service discovery reports a change.
const MEMBERSHIP_LAG: TenthMillis = 2 * SECOND;

impl World {
    /// Starts or ends the fault if its time has come.
    pub(super) fn update_fault(&mut self) {
        let elapsed = self.now - START;
        let is_due = elapsed >= FAULT_START && self.fault != Fault::None;
        if is_due && !self.fault_is_active && !self.fault_is_over {
            self.start_fault();
        }
        let duration = if self.fault == Fault::ShortLoss {
            SHORT_FAULT_DURATION
        } else {
            FAULT_DURATION
        };
        if self.fault_is_active && elapsed >= FAULT_START + duration {
            self.end_fault();
        }
    }

    fn lost_replicas(&self) -> Vec<usize> {
        (0..REPLICAS)
            .filter(|replica| self.is_lost(replica % ZONES))
            .collect()
    }

    fn start_fault(&mut self) {
        self.fault_is_active = true;
        let lost = self.lost_replicas();
        for &replica in &lost {
            self.stop_replica(replica);
        }
        self.announce_all(&lost, Phase::Removed);
    }

    fn end_fault(&mut self) {
        let lost = self.lost_replicas();
        self.fault_is_active = false;
        self.fault_is_over = true;
        for &replica in &lost {
            self.replicas[replica].restart(self.now);
        }
        self.announce_all(&lost, Phase::Ready);
    }

    fn announce_all(&mut self, replicas: &[usize], phase: Phase) {
        let entries = replicas.iter();
        let entries = entries.map(|&replica| self.membership_entry(replica, phase));
        let entries = entries.collect();
        self.announce(entries);
    }

    /// Schedules the report of these entries by service discovery.
    fn announce(&mut self, members: Vec<MembershipEntry>) {
        self.membership_updates.push(members);
        let update = self.membership_updates.len() - 1;
        self.schedule(MEMBERSHIP_LAG, Event::Membership { update });
    }

    /// Delivers a membership update to all coordinators.
    pub(super) fn on_membership_update(&mut self, update: usize) {
        let members = &self.membership_updates[update];
        for node in &mut self.coordinators {
            let delta = MembershipUpdate::Delta(members.clone());
            node.inputs.membership.push(delta);
        }
    }
}
