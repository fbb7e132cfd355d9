//! The end of all faults of a schedule.

use linenthread_fleet::Fleet;

use super::event::{Event, ProcessIndex};
use super::world::World;

impl World {
    /// Ends all faults: heals the network and the disks, resumes paused processes, reopens stopped voters, and starts
    /// the processes that don't run.
    pub(super) fn end_faults(&mut self) {
        self.network.heal();
        self.events
            .retain(|event| !matches!(event, Event::Fault | Event::Heal | Event::Restart));
        for index in 0..self.processes.len() {
            let mut disk = self.processes[index].disk.borrow_mut();
            (disk.capacity, disk.syncs_until_failure) = (None, None);
            drop(disk);
            self.resume(index);
            let fleet = self.processes[index].fleet.as_ref();
            if fleet.is_some_and(Fleet::is_stopped) {
                self.reopen_voter(index);
            }
            self.start(index);
        }
    }

    /// Reopens a voter from its disk, as the program does when the disk works again.
    fn reopen_voter(&mut self, index: ProcessIndex) {
        let disk = self.processes[index].disk.clone();
        disk.borrow_mut().crash(&mut self.rng);
        self.call_process(index, |fleet, now, actions| {
            let opened = fleet.open_voter(disk, now, actions);
            opened.expect("the disk is intact");
        });
    }
}
