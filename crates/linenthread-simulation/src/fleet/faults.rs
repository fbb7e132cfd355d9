//! Injects faults: crashes with and without loss of the disk, pauses, partitions, failing disks, loss and latency.

use linenthread_core::interface::TenthMillis;
use linenthread_fleet::Fleet;

use super::event::{Event, ProcessIndex};
use super::world::World;
use crate::random;

/// The time by which a pause is longer than other faults, so that it outlasts any lease.
const EXTRA_PAUSE: TenthMillis = 20_000;

impl World {
    /// Injects a random fault and schedules the next one.
    pub(super) fn inject_fault(&mut self) {
        let index = self.random_process();
        match self.rng.rand_range(0..14) {
            0..3 => self.crash_for_a_while(index),
            3..5 => self.pause(index),
            5..8 => self.partition_groups(),
            8 => {
                let other = self.random_process();
                self.network.partitions.insert((index, other));
                self.heal_later();
            }
            12 => {
                // Partitions a pair in both directions; meanwhile a random process restarts.
                let other = self.random_process();
                let both_ways = [(index, other), (other, index)];
                self.network.partitions.extend(both_ways);
                self.heal_later();
                let wait = self.random_time(5_000..30_000);
                self.schedule(wait, Event::Restart);
            }
            13 => self.restart_random(),
            9 => {
                let syncs = random::index(&mut self.rng, 5);
                let mut disk = self.processes[index].disk.borrow_mut();
                disk.syncs_until_failure = Some(syncs);
            }
            10 => {
                let capacity = random::within(&mut self.rng, 200..6_000);
                self.processes[index].disk.borrow_mut().capacity = Some(capacity);
            }
            _ => {
                self.network.loss = self.rng.rand_float() * 0.3;
                self.network.extra_latency = self.random_time(0..3_000);
            }
        }
        let wait = self.random_time(500..40_000);
        self.schedule(wait, Event::Fault);
    }

    /// Draws the duration of a fault.
    fn random_duration(&mut self) -> TenthMillis {
        self.random_time(1_000..80_000)
    }

    /// Crashes a process, possibly with the loss of its disk, and schedules its restart.
    fn crash_for_a_while(&mut self, index: ProcessIndex) {
        let loses_disk =
            self.rng.rand_range(0..3) == 0 && (index >= self.voters || self.may_lose_disk(index));
        self.crash(index, loses_disk);
        let wait = self.random_duration();
        self.schedule(wait, Event::Start(index));
    }

    /// Reports whether a voter's disk may be lost: only if all other voters vote, so that committed values remain on a
    /// majority of disks.
    fn may_lose_disk(&self, index: ProcessIndex) -> bool {
        (0..self.voters).all(|voter| voter == index || self.processes[voter].votes())
    }

    /// Pauses a process. Events that arrive during the pause wait for its end.
    fn pause(&mut self, index: ProcessIndex) {
        if self.processes[index].fleet.is_some() && !self.processes[index].is_paused {
            self.processes[index].is_paused = true;
            let wait = self.random_duration() + EXTRA_PAUSE;
            self.schedule(wait, Event::Resume(index));
        }
    }

    /// Partitions all processes into two random groups, in one direction or both.
    fn partition_groups(&mut self) {
        let count = self.processes.len();
        let in_group: Vec<bool> = (0..count).map(|_| self.rng.rand_range(0..2) == 0).collect();
        let both_ways = self.rng.rand_range(0..2) == 0;
        for from in 0..count {
            for to in (0..count).filter(|&to| in_group[from] != in_group[to]) {
                if both_ways || in_group[from] {
                    self.network.partitions.insert((from, to));
                }
            }
        }
        self.heal_later();
    }

    fn heal_later(&mut self) {
        let wait = self.random_duration();
        self.schedule(wait, Event::Heal);
    }

    /// Crashes a process and closes its connections.
    pub(super) fn crash(&mut self, index: ProcessIndex, loses_disk: bool) {
        if self.processes[index].crash(loses_disk, &mut self.rng) {
            for link in self.network.links_of(index) {
                self.close_link(link, index);
            }
        }
    }

    /// Resumes a paused process and delivers the events that arrived during the pause, in their order.
    pub(super) fn resume(&mut self, index: ProcessIndex) {
        let process = &mut self.processes[index];
        if !process.is_paused {
            return;
        }
        process.is_paused = false;
        process.wake_at = TenthMillis::MAX;
        let mut waiting = std::mem::take(&mut process.waiting);
        // Whether the process handles its timers or its sockets first is random.
        if self.rng.rand_range(0..2) == 0 {
            self.call_process(index, Fleet::wake);
        }
        waiting.retain(|event| !matches!(event, Event::Wake(..)));
        for event in waiting {
            self.handle(event);
        }
        self.call_process(index, Fleet::wake);
    }

    /// Crashes a random process, which restarts after 1 to 50 ms.
    pub(super) fn restart_random(&mut self) {
        let index = self.random_process();
        self.crash(index, false);
        let wait = self.random_time(10..500);
        self.schedule(wait, Event::Start(index));
    }
}
