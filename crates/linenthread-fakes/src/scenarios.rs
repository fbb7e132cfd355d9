//! Scripts that inject faults into a rig, run by the service's tests and by `linenthread-simulation processes`.
//!
//! A script panics if an expected event does not happen in time. The caller must check the outcomes of the queries that
//! were sent in the meantime, with [`Rig::stop_and_check`].

mod operator;
mod processes;
mod random_faults;
mod steps;
mod zones;

use crate::rig::Rig;

pub use random_faults::{RandomFaultsReport, rounds};

/// The number of zones of the default rig.
const ZONES: usize = 3;
/// The numbers of all zones of the default rig.
const ALL_ZONES: [usize; ZONES] = [0, 1, 2];

/// A script of faults.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Its name on the command line.
    pub name: &'static str,
    /// Runs the script with a path of the program and a seed, and returns the rig, which is still running.
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
        run: zones::coordinator_isolated,
    },
    Scenario {
        name: "rolling",
        run: processes::rolling_restart,
    },
    Scenario {
        name: "orders",
        run: operator::operator_commands,
    },
    Scenario {
        name: "slow-and-lossy",
        run: zones::slow_and_lossy,
    },
];
