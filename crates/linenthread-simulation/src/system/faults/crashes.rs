//! Crashes, restarts and pauses of processes.

use std::time::Duration;

use linenthread_control::Incarnation;

use super::super::event::{Event, NodeIndex};
use super::super::fault::FaultKind;
use super::super::ingress_node::{INGRESS_NODES, IngressNode};
use super::super::machine::{AfterShutdown, ProcessEnd};
use super::super::world::World;

/// The bootstrap addresses of a machine change with one restart in this many.
const BOOTSTRAP_CHANGE_ONE_IN: u64 = 3;

impl World {
    pub(super) fn crash_one(&mut self, node: usize) {
        if !self.is_up(node) {
            return;
        }
        let (end, kind) = if self.random.one_in(2) {
            (ProcessEnd::Killed, FaultKind::ProcessKilled)
        } else {
            (ProcessEnd::PowerLost, FaultKind::PowerLoss)
        };
        let restart_in = Duration::from_millis(50) + self.random.millis_below(3_500);
        self.count_fault(kind);
        self.draw_bootstrap_change(node);
        self.end_process(node, end, Some(restart_in));
    }

    pub(super) fn end_all(&mut self, end: ProcessEnd, kind: FaultKind) {
        self.count_fault(kind);
        for node in 0..self.machines.len() {
            if self.is_up(node) {
                let restart_in = Duration::from_millis(100) + self.random.millis_below(800);
                self.end_process(node, end, Some(restart_in));
            }
        }
    }

    pub(super) fn restart_planned(&mut self, node: usize) {
        if !self.is_running(node) {
            return;
        }
        self.count_fault(FaultKind::PlannedRestart);
        self.draw_bootstrap_change(node);
        let delay = Duration::from_millis(100) + self.random.millis_below(2_000);
        self.begin_shutdown(node, AfterShutdown::Restart { delay });
    }

    pub(super) fn begin_rolling_restart(&mut self) {
        self.count_fault(FaultKind::RollingRestart);
        self.push_in(Duration::ZERO, Event::RollingRestart { node: 0 });
    }

    /// May change the bootstrap addresses in a machine's settings, effective from its next start. Some of the new ones
    /// may be of machines that are down, partitioned off or decommissioned, but one is of a machine in service.
    pub(super) fn draw_bootstrap_change(&mut self, node: usize) {
        if !self.random.one_in(BOOTSTRAP_CHANGE_ONE_IN) {
            return;
        }
        self.count_fault(FaultKind::BootstrapChanged);
        let present: Vec<usize> = (0..self.machines.len())
            .filter(|other| *other != node && !self.machines[*other].decommissioned)
            .collect();
        let one = present[self.random.index(present.len())];
        let others = [self.random_machine(), self.random_machine()];
        self.machines[node].bootstrap = others
            .into_iter()
            .chain([one])
            .map(|other| self.machines[other].address.clone())
            .collect();
    }

    /// Pauses a process for 300 ms plus a random time below `max_ms`.
    pub(super) fn pause(&mut self, node: usize, max_ms: u64, kind: FaultKind) {
        if !self.is_running(node) {
            return;
        }
        self.count_fault(kind);
        let resumes = self.now() + Duration::from_millis(300) + self.random.millis_below(max_ms);
        self.machines[node].paused_until = resumes;
        self.mark_lost(node, resumes);
        self.on_machine_lost(node);
        if self.random.one_in(2) {
            self.queue
                .push_at(resumes, Event::RequestsOnResume { node });
        }
    }

    pub(super) fn restart_ingress(&mut self) {
        self.count_fault(FaultKind::IngressRestart);
        let index = self.random.index(INGRESS_NODES);
        let incarnation = Incarnation::new(self.random.bits());
        self.count_requests(index);
        let next = IngressNode::new(incarnation, self.usage.window_length, self.now());
        let session = self.ingress.restart(index, next, self.queue.now());
        if let Some(session) = session {
            self.close_session(session, NodeIndex::Ingress(index));
        }
    }
}
