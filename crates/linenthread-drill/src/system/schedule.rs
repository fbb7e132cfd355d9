//! One day from its start through the troubles and the calm after them; many days by seed.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use super::world::{Event, World};

/// An ordinary day's troubles, and a long one's.
const DAY: u64 = 40_000;
const LONG_DAY: u64 = 150_000;
/// One in so many days is long.
const LONG_DAYS: u64 = 12;
/// One in so many days brings 500 to 2,000 changes, and lasts for as long as they take, up to [`LONG_DAY`].
const FAST_DAYS: u64 = 25;
const SETTLE: u64 = 25_000;
/// In the calm: when one machine starts anew, and when old orders are asked for at every machine.
const START_ANEW: u64 = 11_000;
const ASK_ALL: u64 = 18_000;

/// Options of the drill.
#[derive(Clone, Debug)]
pub(crate) struct Drill {
    pub schedules: usize,
    pub seed: u64,
    pub core: usize,
    pub changes: Option<usize>,
    pub jobs: usize,
    pub told: bool,
    pub traced: bool,
}

/// What came to pass, to see what the drill covers.
#[derive(Clone, Debug, Default)]
pub(super) struct Told {
    pub(super) acks: usize,
    pub(super) reads: usize,
    pub(super) drains: usize,
    pub(super) again_taken: usize,
    pub(super) again_unclear: usize,
    pub(super) rivals_refused: usize,
    pub(super) most_changes: usize,
    pub(super) most_catch_up_messages: usize,
    pub(super) most_catch_up_bytes: usize,
    pub(super) most_state_bytes: usize,
    /// How often each kind of trouble came.
    pub(super) troubles: BTreeMap<&'static str, usize>,
}

impl Told {
    fn add(&mut self, other: &Told) {
        self.acks += other.acks;
        self.reads += other.reads;
        self.drains += other.drains;
        self.again_taken += other.again_taken;
        self.again_unclear += other.again_unclear;
        self.rivals_refused += other.rivals_refused;
        self.most_changes = self.most_changes.max(other.most_changes);
        self.most_catch_up_messages = self
            .most_catch_up_messages
            .max(other.most_catch_up_messages);
        self.most_catch_up_bytes = self.most_catch_up_bytes.max(other.most_catch_up_bytes);
        self.most_state_bytes = self.most_state_bytes.max(other.most_state_bytes);
        for (kind, count) in &other.troubles {
            *self.troubles.entry(kind).or_default() += count;
        }
    }

    fn print(&self) {
        println!(
            "{} changes acknowledged, {} reads, {} drains",
            self.acks, self.reads, self.drains
        );
        println!(
            "sent again: {} taken, {} unclear; {} others under one number refused",
            self.again_taken, self.again_unclear, self.rivals_refused
        );
        println!(
            "{} changes on the longest day; to catch up: {} messages, {} bytes; state of {} bytes at most",
            self.most_changes,
            self.most_catch_up_messages,
            self.most_catch_up_bytes,
            self.most_state_bytes
        );
        for (kind, count) in &self.troubles {
            println!("{kind}: {count}");
        }
    }
}

impl World {
    /// Notes a trouble of this kind.
    pub(super) fn count(&mut self, kind: &'static str) {
        self.trace(kind);
        *self.told.troubles.entry(kind).or_default() += 1;
    }

    /// Says what comes to pass, where that was asked for.
    pub(super) fn trace(&self, what: &str) {
        if self.traced {
            println!("{:>7} {what}", self.now - super::world::START);
        }
    }

    /// Operators send one change after another until the day has had its number.
    pub(super) fn is_fast(&self) -> bool {
        self.changes.is_some_and(|changes| self.told.acks < changes)
    }

    fn draw_day(&mut self, changes: Option<usize>) -> u64 {
        let drawn = if self.up_to(FAST_DAYS) == 0 {
            Some(500 + self.up_to(1_501) as usize)
        } else {
            None
        };
        self.changes = changes.or(drawn);
        self.same_numbers = self.up_to(3) == 0;
        self.replacements = self.up_to(3) == 0;
        let gaps = if self.replacements {
            [6_000, 9_000, 12_000]
        } else {
            [1_500, 4_000, 8_000]
        };
        self.trouble_gap = gaps[self.up_to(3) as usize];
        match (self.up_to(LONG_DAYS), self.replacements) {
            (0, _) => LONG_DAY,
            (_, true) => 2 * DAY,
            _ => DAY,
        }
    }

    fn run(mut self, changes: Option<usize>) -> (Vec<String>, Told) {
        let start = self.now;
        let length = self.draw_day(changes);
        self.run_until(start + length);
        while self.is_fast() && self.now < start + LONG_DAY {
            self.run_until(self.now + 1_000);
        }
        self.heal_all();
        let (acks, calm_from) = (self.told.acks, self.now);
        self.changes = None;
        self.push(calm_from + START_ANEW, Event::StartOneAnew);
        self.push(calm_from + ASK_ALL, Event::AskAllAgain);
        self.run_until(calm_from + SETTLE);
        self.told.most_changes = self.history.len();
        self.judge_end(acks);
        (self.breaches, self.told)
    }
}

impl Drill {
    /// Plays all schedules; how many, and how many breaches there were.
    pub(crate) fn run(&self) -> (usize, usize) {
        let end = self.seed + self.schedules as u64;
        let (next, results) = (AtomicU64::new(self.seed), Mutex::new(BTreeMap::new()));
        let work = || {
            loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= end {
                    return;
                }
                let result = World::new(self.core, seed, self.traced).run(self.changes);
                results
                    .lock()
                    .expect("no schedule panics while it holds this")
                    .insert(seed, result);
            }
        };
        std::thread::scope(|scope| (0..self.jobs.max(1)).for_each(|_| drop(scope.spawn(work))));
        let results = results.into_inner().expect("all threads have ended");
        let (mut breaches, mut told) = (0, Told::default());
        for (seed, (found, of_day)) in results {
            breaches += found.len();
            told.add(&of_day);
            for breach in found {
                println!("seed {seed}, core {}: {breach}", self.core);
            }
        }
        if self.told {
            told.print();
        }
        (self.schedules, breaches)
    }
}
