//! What a process of the fleet is configured with.

use std::net::SocketAddr;

use linenthread_core::interface::TenthMillis;
use linenthread_frames::Secrets;
use snafu::ensure;

use crate::error::{ConfigError, DuplicateVoterSnafu, NoProbeIntervalSnafu, NotAmongVotersSnafu};
use crate::node_identity::NodeIdentity;

/// Where another process is reached.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerAddress {
    /// The process's name.
    pub name: String,
    /// Its address for connections and for gossip.
    pub address: SocketAddr,
}

/// What a process is configured with.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// This process.
    pub local: NodeIdentity,
    /// Every voter. A process is a voter where its own name is among them.
    pub voters: Vec<PeerAddress>,
    /// About how many members there are.
    pub expected_members: u32,
    /// How often one random member is asked for a sign of life.
    pub probe_interval: TenthMillis,
    /// What all processes of the fleet prove to each other that they know.
    pub secrets: Secrets,
    /// Determines all that is random. It must be another one at each start: nonces must not repeat.
    pub seed: u64,
}

impl FleetConfig {
    /// Checks what can be checked without the other processes.
    ///
    /// # Errors
    /// The probe interval is not positive, or two voters have one name.
    pub fn validate(&self) -> Result<(), ConfigError> {
        ensure!(self.probe_interval > 0, NoProbeIntervalSnafu);
        let names = self.voters.iter().map(|voter| voter.name.as_str());
        check_unique(names)
    }
}

/// Who a voter is.
#[derive(Clone, Debug)]
pub struct VoterConfig {
    /// Its name.
    pub name: String,
    /// All voters' names, its own included.
    pub voters: Vec<String>,
    /// Determines all that is random.
    pub seed: u64,
}

impl VoterConfig {
    /// Checks that this process can be a voter.
    ///
    /// # Errors
    /// Two voters have one name, or this process is none of them.
    pub fn validate(&self) -> Result<(), ConfigError> {
        let name = &self.name;
        ensure!(self.voters.contains(name), NotAmongVotersSnafu { name });
        check_unique(self.voters.iter().map(String::as_str))
    }

    /// The other voters' names.
    pub(crate) fn others(&self) -> impl Iterator<Item = &String> {
        let voters = self.voters.iter();
        voters.filter(|name| **name != self.name)
    }
}

/// How a process takes part in the membership.
#[derive(Clone, Debug)]
pub struct MembersConfig {
    /// This process.
    pub local: NodeIdentity,
    /// Members that are asked for all others at first.
    pub seeds: Vec<PeerAddress>,
    /// About how many members there are: it sets how long a suspicion lasts.
    pub expected_members: u32,
    /// How often one random member is asked for a sign of life.
    pub probe_interval: TenthMillis,
    /// What datagrams are proven with.
    pub secrets: Secrets,
    /// Determines all that is random.
    pub random_seed: u64,
}

fn check_unique<'n>(names: impl Iterator<Item = &'n str>) -> Result<(), ConfigError> {
    let mut known = Vec::new();
    for name in names {
        ensure!(!known.contains(&name), DuplicateVoterSnafu { name });
        known.push(name);
    }
    Ok(())
}
