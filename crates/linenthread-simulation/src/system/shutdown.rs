//! Planned shutdowns and rolling restarts. After SIGTERM a process ends when its control node permits it or at the
//! deadline; then it is restarted, or the machine is decommissioned.

use std::time::Duration;

use linenthread_control::Incarnation;

use super::event::Event;
use super::fault::FaultKind;
use super::loss_budget::CATCH_UP_TIME;
use super::machine::{AfterShutdown, ProcessEnd, Shutdown};
use super::world::World;

/// Time from SIGTERM to the deadline of a shutdown.
const GRACE_PERIOD: Duration = Duration::from_millis(8_000);
/// Interval at which a process checks whether it may exit.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

impl World {
    /// Sends SIGTERM to a process, unless it is paused or shutting down already.
    pub(super) fn begin_shutdown(&mut self, node: usize, then: AfterShutdown) {
        if !self.is_running(node) || self.machines[node].shutdown.is_some() {
            return;
        }
        let deadline = self.now() + GRACE_PERIOD;
        let machine = &mut self.machines[node];
        machine.shutdown = Some(Shutdown { deadline, then });
        let incarnation = machine.incarnation;
        self.run(node, |control, now, effects| {
            control.begin_shutdown(now, effects);
        });
        self.push_in(CHECK_INTERVAL, Event::CheckShutdown { node, incarnation });
    }

    /// Begins to decommission a machine if its successor is running.
    pub(super) fn decommission(&mut self, node: usize, successor: usize) {
        if !self.machines[node].decommissioned && self.is_running(successor) {
            self.begin_shutdown(node, AfterShutdown::Decommission { successor });
        }
    }

    /// Ends a process that is shutting down if its control node permits it or its deadline has passed. A machine that
    /// is decommissioned without permission must also be within the loss budget.
    pub(super) fn check_shutdown(&mut self, node: usize, incarnation: Incarnation) {
        let machine = &self.machines[node];
        let Some(shutdown) = machine
            .shutdown
            .filter(|_| machine.incarnation == incarnation)
        else {
            return;
        };
        let is_permitted = self.may_exit(node);
        let decommissions = matches!(shutdown.then, AfterShutdown::Decommission { .. });
        let waits = self.now() < shutdown.deadline || decommissions && !self.may_lose_one();
        if !is_permitted && waits {
            self.push_in(CHECK_INTERVAL, Event::CheckShutdown { node, incarnation });
            return;
        }
        match shutdown.then {
            AfterShutdown::Restart { delay } => {
                self.end_process(node, ProcessEnd::Killed, Some(delay));
            }
            AfterShutdown::Decommission { successor } => {
                self.remove_machine(node, successor);
                if !is_permitted {
                    self.mark_lost(node, self.now());
                }
            }
        }
        if !is_permitted {
            self.count_fault(FaultKind::ShutdownTimedOut);
        }
    }

    /// Reports whether the control node permits its process to exit.
    fn may_exit(&self, node: usize) -> bool {
        let clock = self.machine_clock(node);
        let control = self.machines[node].control.as_ref();
        self.is_running(node) && control.is_some_and(|control| control.may_exit(clock))
    }

    /// Removes a machine and its disk permanently.
    fn remove_machine(&mut self, node: usize, successor: usize) {
        self.end_process(node, ProcessEnd::PowerLost, None);
        let until = self.machines[successor].started_at + CATCH_UP_TIME;
        let machine = &mut self.machines[node];
        machine.disk.erase();
        machine.decommissioned = true;
        // An earlier loss may last longer.
        machine.lost_until = machine.lost_until.max(until);
        let delay = self.random.millis_below(3_000);
        if !self.is_healed() && self.random.one_in(2) {
            self.push_in(delay, Event::SecondLoss);
        }
    }

    /// Restarts one machine of a rolling restart, and schedules the next one.
    pub(super) fn step_rolling_restart(&mut self, node: usize) {
        if self.is_healed() || node >= self.machines.len() {
            return;
        }
        let delay = Duration::from_millis(100) + self.random.millis_below(700);
        self.begin_shutdown(node, AfterShutdown::Restart { delay });
        let next = Duration::from_millis(1_500) + self.random.millis_below(3_000);
        self.push_in(next, Event::RollingRestart { node: node + 1 });
    }
}
