//! What is drawn at the start of a schedule.

use std::time::Duration;

use super::random::Random;

/// How long faults are injected in an ordinary schedule.
const ORDINARY: Duration = Duration::from_millis(40_000);
/// How long they are injected in a long schedule, and at most.
pub(super) const LONGEST: Duration = Duration::from_millis(150_000);
/// One schedule in so many is long.
const LONG_SCHEDULES: u64 = 12;
/// One schedule in so many has many changes, and lasts for as long as they take, up to [`LONGEST`].
const FAST_SCHEDULES: u64 = 25;
/// The fewest changes of such a schedule.
const FAST_MIN_CHANGES: usize = 500;
/// Such a schedule has up to so many more changes.
const FAST_EXTRA_CHANGES: usize = 1_500;
/// Upper bounds of the gap between faults, in milliseconds: one is drawn.
const FAULT_GAPS_MS: [u64; 3] = [1_500, 4_000, 8_000];
/// The same for a schedule of replacements, which take longer.
const REPLACEMENT_GAPS_MS: [u64; 3] = [6_000, 9_000, 12_000];

/// The character of one schedule.
pub(super) struct Plan {
    /// How many changes operators send one after another.
    pub(super) changes: Option<usize>,
    /// Operators pick the same revisions for different changes.
    pub(super) revisions_collide: bool,
    /// Mostly replacements of machines, one after another.
    pub(super) only_replacements: bool,
    /// Faults are apart by less than so many milliseconds.
    pub(super) fault_gap_ms: u64,
    /// What a sync takes on a disk without a fault.
    pub(super) sync_duration: Duration,
    /// For how long faults are injected.
    pub(super) length: Duration,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            changes: None,
            revisions_collide: false,
            only_replacements: false,
            fault_gap_ms: FAULT_GAPS_MS[1],
            sync_duration: Duration::from_millis(2),
            length: ORDINARY,
        }
    }
}

impl Plan {
    /// Draws how slow disks are: in some schedules all are slow, and a power loss finds much that is not synced.
    pub(super) fn draw_sync_duration(&mut self, random: &mut Random) {
        if random.one_in(4) {
            self.sync_duration = Duration::from_millis(20) + random.millis_below(100);
        }
    }

    /// Draws the rest, once the nodes are there; `changes` takes the place of the drawn number.
    pub(super) fn draw(&mut self, random: &mut Random, changes: Option<usize>) {
        let drawn = random
            .one_in(FAST_SCHEDULES)
            .then(|| FAST_MIN_CHANGES + random.index(FAST_EXTRA_CHANGES + 1));
        self.changes = changes.or(drawn);
        self.revisions_collide = random.one_in(3);
        self.only_replacements = random.one_in(3);
        let gaps = if self.only_replacements {
            REPLACEMENT_GAPS_MS
        } else {
            FAULT_GAPS_MS
        };
        self.fault_gap_ms = gaps[random.index(gaps.len())];
        let is_long = random.one_in(LONG_SCHEDULES);
        self.length = match (is_long, self.only_replacements) {
            (true, _) => LONGEST,
            (false, true) => 2 * ORDINARY,
            (false, false) => ORDINARY,
        };
    }
}
