//! Faults: crashes with and without disk, pauses, partitions, failing disks, loss and latency.

use std::cmp::Reverse;

use linenthread_core::interface::TenthMillis;
use linenthread_fleet::Fleet;

use super::event::{Event, ProcessIndex};
use super::world::World;

/// A pause lasts this much longer than other faults: longer than any lease.
const EXTRA_PAUSE: TenthMillis = 20_000;

impl World {
    /// Injects a random fault and schedules the next one.
    pub(super) fn inject_fault(&mut self) {
        let at = self.random_process();
        match self.rng.rand_range(0..14) {
            0..3 => self.crash_for_a_while(at),
            3..5 => self.pause(at),
            5..8 => self.partition_groups(),
            8 => {
                let other = self.random_process();
                self.network.partitions.insert((at, other));
                self.heal_later();
            }
            12 => {
                // One pair, both ways; and one that starts again at once meanwhile.
                let other = self.random_process();
                let both_ways = [(at, other), (other, at)];
                self.network.partitions.extend(both_ways);
                self.heal_later();
                let wait = self.random_time(5_000..30_000);
                self.after(wait, Event::Restart);
            }
            13 => self.handle(Event::Restart),
            9 => {
                let syncs = self.rng.rand_range(0..5) as usize;
                let mut disk = self.processes[at].disk.borrow_mut();
                disk.syncs_until_failure = Some(syncs);
            }
            10 => {
                let capacity = self.rng.rand_range(200..6_000) as usize;
                self.processes[at].disk.borrow_mut().capacity = Some(capacity);
            }
            _ => {
                self.network.loss = self.rng.rand_float() * 0.3;
                self.network.extra_latency = self.random_time(0..3_000);
            }
        }
        let wait = self.random_time(500..40_000);
        self.after(wait, Event::Fault);
    }

    /// How long a fault lasts.
    fn random_duration(&mut self) -> TenthMillis {
        self.random_time(1_000..80_000)
    }

    fn crash_for_a_while(&mut self, at: ProcessIndex) {
        let loses_disk =
            self.rng.rand_range(0..3) == 0 && (at >= self.voters || self.may_lose_disk(at));
        self.crash(at, loses_disk);
        let wait = self.random_duration();
        self.after(wait, Event::Start(at));
    }

    /// Whether a voter's disk may be lost: all others vote, so that committed values are on a majority of disks.
    fn may_lose_disk(&self, at: ProcessIndex) -> bool {
        (0..self.voters).all(|voter| voter == at || self.processes[voter].votes())
    }

    fn pause(&mut self, at: ProcessIndex) {
        if self.processes[at].fleet.is_some() && !self.processes[at].is_paused {
            self.processes[at].is_paused = true;
            let wait = self.random_duration() + EXTRA_PAUSE;
            self.after(wait, Event::Resume(at));
        }
    }

    /// Partitions all processes into two groups, one way or both.
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
        self.after(wait, Event::Heal);
    }

    /// A random process crashes and starts again at once.
    pub(super) fn restart_random(&mut self) {
        let at = self.random_process();
        self.crash(at, false);
        let wait = self.random_time(10..500);
        self.after(wait, Event::Start(at));
    }

    /// Ends all faults.
    pub(super) fn end_faults(&mut self) {
        self.network.heal();
        self.events.retain(|Reverse((_, _, event))| {
            !matches!(event, Event::Fault | Event::Heal | Event::Restart)
        });
        for at in 0..self.processes.len() {
            let mut disk = self.processes[at].disk.borrow_mut();
            (disk.capacity, disk.syncs_until_failure) = (None, None);
            drop(disk);
            self.resume(at);
            let fleet = self.processes[at].fleet.as_ref();
            if fleet.is_some_and(Fleet::is_stopped) {
                self.reopen_voter(at);
            }
            self.start(at);
        }
    }

    /// Opens a voter anew, as the program does once its disk works again.
    fn reopen_voter(&mut self, at: ProcessIndex) {
        let disk = self.processes[at].disk.clone();
        disk.borrow_mut().crash(&mut self.rng);
        self.call(at, |fleet, now, actions| {
            let opened = fleet.open_voter(disk, now, actions);
            opened.expect("a sound disk");
        });
    }
}
