//! Scripts of faults of several processes: run by the service's tests and by `linenthread-simulation processes`.
//!
//! A script panics if something that it awaits does not happen in time; what became of the queries meanwhile is for
//! its caller to check.

mod operator;
mod processes;
mod random_faults;
mod steps;
mod zones;

use crate::rig::Rig;

pub use random_faults::{RoundsReport, rounds};

/// Zones of the default rig.
const ZONES: usize = 3;
/// Their numbers.
const ALL_ZONES: [usize; ZONES] = [0, 1, 2];

/// A script of faults.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Its name on the command line.
    pub name: &'static str,
    /// Runs the script with a program and a seed; the rig is left running.
    pub run: fn(&str, u64) -> Rig,
}

/// All scenarios.
pub const ALL: [Scenario; 11] = [
    Scenario {
        name: "near",
        run: zones::stay_in_zone,
    },
    Scenario {
        name: "leader-killed",
        run: processes::leader_killed,
    },
    Scenario {
        name: "leader-stopped",
        run: processes::leader_stopped,
    },
    Scenario {
        name: "zone-lost",
        run: zones::zone_lost,
    },
    Scenario {
        name: "pair-cut",
        run: zones::zones_partitioned,
    },
    Scenario {
        name: "disk-lost",
        run: processes::disk_lost,
    },
    Scenario {
        name: "disk-full",
        run: processes::disk_full,
    },
    Scenario {
        name: "minority",
        run: zones::minority,
    },
    Scenario {
        name: "rolling",
        run: processes::rolling,
    },
    Scenario {
        name: "orders",
        run: operator::operator_orders,
    },
    Scenario {
        name: "slow-and-lossy",
        run: zones::slow_and_lossy,
    },
];
