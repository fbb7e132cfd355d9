//! `linenthread try`: a demo on loopback, of stub replicas, stub service discovery and this program, with rows to
//! query.

mod error;
mod programs;
mod queries;
mod sites;
mod zones;

use std::process::ExitCode;

/// Replica groups of the demo, of one replica each.
const REPLICA_GROUPS: usize = 4;
/// Shards of each index.
const SHARDS: usize = 8;
/// The shard whose response to a query of pledges is late.
const LATE_SHARD: usize = 5;

/// Options of `linenthread try`.
#[derive(Clone)]
pub struct DemoOptions {
    /// Show some answers and end.
    pub show: bool,
    /// Seed of the rows.
    pub seed: u64,
    /// With two sites, all replicas are behind a gateway.
    pub sites: u8,
    /// Run three zones and the loss of one instead.
    pub zones: Option<u8>,
}

/// What the demo sets up.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Scenario {
    /// One program with all replicas.
    OneSite,
    /// A program that reaches all replicas over a link to a second one, the gateway.
    TwoSites,
    /// Three zones, of which one is lost and comes back.
    ThreeZones,
}

impl DemoOptions {
    fn scenario(&self) -> Scenario {
        match (self.zones, self.sites) {
            (Some(_), _) => Scenario::ThreeZones,
            (None, 2) => Scenario::TwoSites,
            (None, _) => Scenario::OneSite,
        }
    }
}

/// Runs the demo that the options choose.
pub fn run(options: &DemoOptions) -> ExitCode {
    if options.scenario() == Scenario::ThreeZones {
        return zones::run(options.seed);
    }
    match sites::run(options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("linenthread: {error}");
            ExitCode::FAILURE
        }
    }
}
