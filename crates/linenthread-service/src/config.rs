//! What a co-ordinator is told at its start, read from one file.

use std::net::SocketAddr;
use std::path::Path;

use linenthread_core::interface::CoordinatorConfig;
use linenthread_protocol::membership;
use linenthread_terms::{self as terms, ClusterConfig};
use serde_json::Value;
use tracing::{info, warn};

/// Fewer descriptors than this leave no room for clients beside replicas and roster.
const FEWEST_SOCKETS: usize = 64;

#[derive(Clone, Debug)]
pub(crate) struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub roster: SocketAddr,
    pub seed: u64,
    pub sockets: usize,
    pub remembered: membership::MembershipList,
    pub deployment: CoordinatorConfig,
    pub surroundings: ClusterConfig,
}

impl Config {
    /// Reads the file; what is wrong with it is said in one line that names the field.
    pub(crate) fn read(file: &Path) -> Result<Config, String> {
        let text = std::fs::read(file).map_err(|e| format!("{}: {e}", file.display()))?;
        Config::parse(&text).map_err(|e| format!("{}: {e}", file.display()))
    }

    pub(crate) fn parse(text: &[u8]) -> Result<Config, String> {
        let root: Value =
            serde_json::from_slice(text).map_err(|e| format!("does not parse: {e}"))?;
        let field = |name: &str| root.get(name).ok_or_else(|| format!("{name} is missing"));
        let words = |name: &str| {
            field(name)?
                .as_str()
                .map(str::to_owned)
                .ok_or_else(|| format!("{name} is not a text"))
        };
        let address = |name: &str| {
            words(name)?
                .parse()
                .map_err(|_| format!("{name} is not an address with its port"))
        };
        let seed = words("seed")?;
        let sockets = root
            .pointer("/limits/sockets")
            .ok_or("limits.sockets is missing")?;
        let settings = field("settings")?;
        let deployment = terms::coordinator_config(settings).map_err(|e| e.to_string())?;
        if let Some(i) = deployment
            .indexes
            .iter()
            .position(|i| i.fetch_sub_requests > 0)
        {
            return Err(format!(
                "settings: family-info.fetch-parts: a second step, as index {i} has, has no protocol"
            ));
        }
        Ok(Config {
            name: words("name")?,
            listen: address("listen")?,
            roster: address("discovery")?,
            seed: u64::from_str_radix(&seed, 16).map_err(|_| "seed is not of hex digits")?,
            sockets: sockets
                .as_u64()
                .map(|n| n as usize)
                .filter(|n| *n >= FEWEST_SOCKETS)
                .ok_or_else(|| format!("limits.sockets is no number from {FEWEST_SOCKETS}"))?,
            remembered: membership::from_value(field("known")?, deployment.layout.replica_groups)
                .map_err(|e| format!("known: {e}"))?,
            surroundings: terms::cluster_config(settings).map_err(|e| e.to_string())?,
            deployment,
        })
    }

    /// Reads the file once more, for a program that runs: where the roster is found now. All else is as it
    /// was until the next start, which is said where it matters; and all of it where the file can't be used.
    pub(crate) fn again(&self, file: &Path) -> Option<SocketAddr> {
        let new = match Config::read(file) {
            Ok(new) => new,
            Err(message) => {
                warn!("configuration not taken, all goes on as it was: {message}");
                return None;
            }
        };
        let later = [
            ("name", new.name != self.name),
            ("listen", new.listen != self.listen),
            ("limits.sockets", new.sockets != self.sockets),
            (
                "settings",
                new.deployment != self.deployment || new.surroundings != self.surroundings,
            ),
        ];
        let later: Vec<_> = later
            .iter()
            .filter(|(_, differs)| *differs)
            .map(|(name, _)| *name)
            .collect();
        info!(roster = %new.roster, at_next_start = later.join(","), "configuration read again");
        Some(new.roster)
    }
}
