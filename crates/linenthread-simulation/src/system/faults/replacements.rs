//! Replacements of machines by new ones at other addresses.

use std::time::Duration;

use super::super::event::Event;
use super::super::fault::FaultKind;
use super::super::loss_budget::CATCH_UP_TIME;
use super::super::machine::ProcessEnd;
use super::super::world::{BOOTSTRAP_NODES, World, replacement_address};

impl World {
    /// Removes a machine without a shutdown; its successor starts later.
    pub(super) fn replace_unplanned(&mut self, node: usize) {
        if !self.is_up(node) || !self.may_lose_one() {
            return;
        }
        self.count_fault(FaultKind::UnplannedReplacement);
        let start_in = Duration::from_millis(200) + self.random.millis_below(2_000);
        let successor = self.add_replacement();
        self.push_in(start_in, Event::StartProcess { node: successor });
        self.end_process(node, ProcessEnd::PowerLost, None);
        self.record_loss();
        self.mark_lost(node, self.now() + start_in);
        let machine = &mut self.machines[node];
        machine.disk.erase();
        machine.decommissioned = true;
        self.draw_second_loss(self.now() + start_in + CATCH_UP_TIME);
    }

    /// Starts the successor first, and then shuts the old machine down.
    pub(super) fn replace_planned(&mut self, node: usize) {
        let is_shutting_down = self.machines[node].shutdown.is_some();
        if !self.is_running(node) || is_shutting_down || !self.may_lose_one() {
            return;
        }
        self.count_fault(FaultKind::PlannedReplacement);
        let successor = self.add_replacement();
        let start = self.now() + Duration::from_millis(50) + self.random.millis_below(500);
        self.queue
            .push_at(start, Event::StartProcess { node: successor });
        self.mark_lost(successor, start);
        let shutdown = start + CATCH_UP_TIME + self.random.millis_below(3_000);
        self.queue
            .push_at(shutdown, Event::Decommission { node, successor });
        self.draw_second_loss(shutdown);
    }

    /// Adds a machine whose bootstrap addresses are of machines in service.
    fn add_replacement(&mut self) -> usize {
        let address = replacement_address(self.machines.len());
        let present: Vec<String> = self
            .machines
            .iter()
            .filter(|machine| !machine.decommissioned)
            .map(|machine| machine.address.clone())
            .collect();
        let successor = self.add_machine(address, false);
        let skipped = self.random.index(present.len());
        self.machines[successor].bootstrap = present
            .iter()
            .cycle()
            .skip(skipped)
            .take(BOOTSTRAP_NODES)
            .cloned()
            .collect();
        successor
    }
}
