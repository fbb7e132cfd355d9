//! Planned shutdowns: SIGTERM, then the end when control permits it or at the deadline; a restart afterwards, or
//! the end of the machine. Rolling restarts, machine by machine.

use std::time::Duration;

use linenthread_control::Incarnation;

use super::event::Event;
use super::fault::FaultKind;
use super::loss_budget::CATCH_UP_TIME;
use super::machine::{AfterShutdown, ProcessEnd, Shutdown};
use super::world::World;

/// How long a process may take from SIGTERM to its end.
const GRACE_PERIOD: Duration = Duration::from_millis(8_000);
/// How often a process checks whether it may end.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

impl World {
    /// SIGTERM.
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

    /// SIGTERM for a machine whose successor runs.
    pub(super) fn decommission(&mut self, node: usize, successor: usize) {
        if !self.machines[node].decommissioned && self.is_running(successor) {
            self.begin_shutdown(node, AfterShutdown::Decommission { successor });
        }
    }

    /// A process that was asked to shut down ends, if control permits it or its deadline has passed.
    pub(super) fn check_shutdown(&mut self, node: usize, incarnation: Incarnation) {
        let machine = &self.machines[node];
        let Some(shutdown) = machine
            .shutdown
            .filter(|_| machine.incarnation == incarnation)
        else {
            return;
        };
        let is_permitted = self.may_end(node);
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
                    self.count_lost(node, self.now());
                }
            }
        }
        if !is_permitted {
            self.count_fault(FaultKind::ShutdownTimedOut);
        }
    }

    /// Whether control permits the process to end.
    fn may_end(&self, node: usize) -> bool {
        let clock = self.machine_clock(node);
        let control = self.machines[node].control.as_ref();
        self.is_running(node) && control.is_some_and(|control| control.may_exit(clock))
    }

    /// A machine is gone for good, with its disk.
    fn remove_machine(&mut self, node: usize, successor: usize) {
        self.end_process(node, ProcessEnd::PowerLost, None);
        let until = self.machines[successor].started_at + CATCH_UP_TIME;
        let machine = &mut self.machines[node];
        machine.disk.erase();
        machine.decommissioned = true;
        // What it was lost for before its end counts on.
        machine.lost_until = machine.lost_until.max(until);
        let delay = self.random.millis_below(3_000);
        if !self.is_healed() && self.random.one_in(2) {
            self.push_in(delay, Event::SecondLoss);
        }
    }

    /// The next machine of a rolling restart.
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
