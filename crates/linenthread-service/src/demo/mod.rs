//! `linenthread try`: a demo on loopback that runs this program with stub replicas, stub service discovery and
//! generated rows.

mod error;
mod programs;
mod queries;
mod sites;
mod zones;

use std::process::ExitCode;

/// Number of replica groups, each with one replica.
const REPLICA_GROUPS: usize = 4;
/// Number of shards of each index.
const SHARDS: usize = 8;
/// The shard whose responses to queries of the index "pledges" are too late.
const LATE_SHARD: usize = 5;

/// Options of `linenthread try`.
#[derive(Clone)]
pub struct DemoOptions {
    /// Print the responses to some queries and exit.
    pub show: bool,
    /// Seed for the generated rows.
    pub seed: u64,
    /// 1 or 2; with two sites, all replicas are reached through a gateway.
    pub sites: u8,
    /// If set, run the demo of three zones, of which one is lost.
    pub zones: Option<u8>,
}

/// The set-up of the demo.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Scenario {
    /// One program that is connected to all replicas.
    OneSite,
    /// A program that reaches all replicas over a link to a second program, the gateway.
    TwoSites,
    /// Three zones, of which one is lost and recovers.
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

/// Runs the demo that the options select.
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
