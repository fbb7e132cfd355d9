//! Parameters that are drawn at the start of a schedule.

use std::time::Duration;

use super::random::Random;

/// Duration of fault injection in an ordinary schedule.
const ORDINARY_LENGTH: Duration = Duration::from_millis(40_000);
/// Duration of fault injection in a long schedule; the maximum for every schedule.
pub(super) const MAX_LENGTH: Duration = Duration::from_millis(150_000);
/// One schedule in this many is long.
const LONG_SCHEDULE_ONE_IN: u64 = 12;
/// One schedule in this many is fast: operators send many changes in quick succession, and it lasts until they are
/// done, up to [`MAX_LENGTH`].
const FAST_SCHEDULE_ONE_IN: u64 = 25;
/// Minimum number of changes in a fast schedule.
const FAST_MIN_CHANGES: usize = 500;
/// Maximum number of changes in a fast schedule beyond [`FAST_MIN_CHANGES`].
const FAST_EXTRA_CHANGES: usize = 1_500;
/// Upper bounds of the gap between faults, in milliseconds; one is drawn for each schedule.
const FAULT_GAPS_MS: [u64; 3] = [1_500, 4_000, 8_000];
/// The same for a schedule of replacements, since a replacement takes longer than other faults.
const REPLACEMENT_GAPS_MS: [u64; 3] = [6_000, 9_000, 12_000];

/// Parameters of one schedule.
pub(super) struct Plan {
    /// Number of changes that operators send in quick succession; `None` for an ordinary pace.
    pub(super) changes: Option<usize>,
    /// Whether operators may pick the same revision for different changes.
    pub(super) revisions_collide: bool,
    /// Whether most faults are replacements of machines, one after another.
    pub(super) only_replacements: bool,
    /// Exclusive upper bound of the random part of the gap between faults, in milliseconds.
    pub(super) fault_gap_ms: u64,
    /// Duration of a sync on a disk without a fault.
    pub(super) sync_duration: Duration,
    /// Duration of fault injection.
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
            length: ORDINARY_LENGTH,
        }
    }
}

impl Plan {
    /// Draws the duration of a sync. In some schedules all disks are slow, so that a power loss hits much unsynced
    /// data.
    pub(super) fn draw_sync_duration(&mut self, random: &mut Random) {
        if random.one_in(4) {
            self.sync_duration = Duration::from_millis(20) + random.millis_below(100);
        }
    }

    /// Draws the remaining parameters after the nodes were added; `changes` overrides the drawn number of changes.
    pub(super) fn draw(&mut self, random: &mut Random, changes: Option<usize>) {
        let drawn = random
            .one_in(FAST_SCHEDULE_ONE_IN)
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
        let is_long = random.one_in(LONG_SCHEDULE_ONE_IN);
        self.length = match (is_long, self.only_replacements) {
            (true, _) => MAX_LENGTH,
            (false, true) => 2 * ORDINARY_LENGTH,
            (false, false) => ORDINARY_LENGTH,
        };
    }
}
