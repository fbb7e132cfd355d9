//! Simulated time and the steady clock of each machine. Control reads no time of day: jumps of it can't reach
//! it, and `tests/no_wall_clock.rs` holds that.

use super::world::{START, World};

impl World {
    /// What a machine's own steady clock shows: no two agree, and none runs true.
    pub(super) fn clock(&self, n: usize) -> u64 {
        let (offset, ahead) = self.nodes[n].clock;
        (offset + self.now).saturating_add_signed((self.now - START) as i64 * ahead / 1_000_000)
    }
}
