//! The end of fault injection, and the single restart after it.

use std::time::Duration;

use linenthread_time::Instant;

use super::event::Event;
use super::machine::ProcessEnd;
use super::world::World;

/// Delay from the end of the faults until all machines that are down are started.
const START_DELAY: Duration = Duration::from_millis(100);

impl World {
    /// Ends all faults and starts the machines that are down.
    pub(super) fn heal(&mut self) {
        let now = self.now();
        self.healed_at = Some(now);
        self.network.heal(&mut self.queue);
        self.usage.platform.heal();
        self.record_usage_fault();
        for node in 0..self.machines.len() {
            self.repair_disk(node);
            self.machines[node].paused_until = Instant::START;
            self.machines[node].time_of_day.correct();
            self.correct_settings(node);
            self.push_in(START_DELAY, Event::StartProcess { node });
        }
    }

    /// Corrects the bootstrap addresses of a machine if none of them belongs to a machine that still exists, as
    /// operators would, and reloads them in a running process. With an empty disk the machine could not find the others
    /// otherwise, and they would not dial it.
    fn correct_settings(&mut self, node: usize) {
        let present: Vec<String> = self
            .machines
            .iter()
            .enumerate()
            .filter(|(other, machine)| *other != node && !machine.decommissioned)
            .map(|(_, machine)| machine.address.clone())
            .collect();
        let machine = &mut self.machines[node];
        let names_any = machine.bootstrap.iter().any(|a| present.contains(a));
        if names_any || machine.decommissioned {
            return;
        }
        machine.bootstrap.clone_from(&present);
        self.run(node, |control, now, _| control.set_bootstrap(now, &present));
    }

    /// Restores the disk's normal sync duration and free space.
    pub(super) fn repair_disk(&mut self, node: usize) {
        let disk = &mut self.machines[node].disk;
        disk.sync_duration = self.plan.sync_duration;
        disk.set_full(false);
    }

    /// Loses the disk of one more machine or restarts its process, after all machines have had time to recover.
    pub(super) fn restart_one(&mut self) {
        let node = self.random_machine();
        if !self.is_up(node) {
            return;
        }
        let restart_in = Duration::from_millis(100) + self.random.millis_below(300);
        if self.random.one_in(2) && self.may_lose_one() {
            self.lose_disk(node, restart_in);
        } else {
            self.end_process(node, ProcessEnd::Killed, Some(restart_in));
        }
    }
}
