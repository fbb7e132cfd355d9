//! Configuration of a process of the fleet.

use std::net::SocketAddr;

use linenthread_core::interface::TenthMillis;
use linenthread_frames::Secrets;
use snafu::ensure;

use crate::error::{ConfigError, DuplicateVoterSnafu, NoProbeIntervalSnafu, NotAmongVotersSnafu};
use crate::node_identity::NodeIdentity;

/// Name and address of another process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerAddress {
    /// The process's name.
    pub name: String,
    /// Its address for connections and for gossip.
    pub address: SocketAddr,
}

/// Configuration of a process.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// This process.
    pub local: NodeIdentity,
    /// All voters. This process is a voter if its own name is among them.
    pub voters: Vec<PeerAddress>,
    /// Approximate number of members.
    pub expected_members: u32,
    /// Interval at which one random member is probed.
    pub probe_interval: TenthMillis,
    /// The shared secrets with which the processes of the fleet authenticate each other.
    pub secrets: Secrets,
    /// Seed of all randomness. It must differ at each start: nonces must not repeat.
    pub seed: u64,
}

impl FleetConfig {
    /// Checks the configuration as far as possible without the other processes.
    ///
    /// # Errors
    /// The probe interval is not positive, or two voters have the same name.
    pub fn validate(&self) -> Result<(), ConfigError> {
        ensure!(self.probe_interval > 0, NoProbeIntervalSnafu);
        let names = self.voters.iter().map(|voter| voter.name.as_str());
        check_unique(names)
    }
}

/// Configuration of a voter.
#[derive(Clone, Debug)]
pub struct VoterConfig {
    /// Its name.
    pub name: String,
    /// Names of all voters, including its own.
    pub voters: Vec<String>,
    /// Seed of all randomness.
    pub seed: u64,
}

impl VoterConfig {
    /// Checks that this process can be a voter.
    ///
    /// # Errors
    /// Two voters have the same name, or this process is not among them.
    pub fn validate(&self) -> Result<(), ConfigError> {
        let name = &self.name;
        ensure!(self.voters.contains(name), NotAmongVotersSnafu { name });
        check_unique(self.voters.iter().map(String::as_str))
    }

    /// Returns the other voters' names.
    pub(crate) fn others(&self) -> impl Iterator<Item = &String> {
        let voters = self.voters.iter();
        voters.filter(|name| **name != self.name)
    }
}

/// Configuration of a process's membership.
#[derive(Clone, Debug)]
pub struct MembersConfig {
    /// This process.
    pub local: NodeIdentity,
    /// Members to which this process announces itself in order to join.
    pub seeds: Vec<PeerAddress>,
    /// Approximate number of members: it determines how long a member is suspected before it is declared down.
    pub expected_members: u32,
    /// Interval at which one random member is probed.
    pub probe_interval: TenthMillis,
    /// The shared secrets that authenticate datagrams.
    pub secrets: Secrets,
    /// Seed of all randomness.
    pub random_seed: u64,
}

fn check_unique<'n>(names: impl Iterator<Item = &'n str>) -> Result<(), ConfigError> {
    let mut seen = Vec::new();
    for name in names {
        ensure!(!seen.contains(&name), DuplicateVoterSnafu { name });
        seen.push(name);
    }
    Ok(())
}
