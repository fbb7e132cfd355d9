//! The platform's configuration file, which a co-ordinator reads at its start.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use linenthread_core::interface::CoordinatorConfig;
use linenthread_protocol::membership::{self, MembershipError};
use linenthread_terms::{self as terms, ClusterConfig, SettingsError};
use serde_json::Value;
use snafu::{OptionExt, ResultExt, Snafu};
use tracing::{info, warn};

/// Fewer descriptors than this leave no room for clients beside replicas and service discovery.
const MIN_SOCKETS: usize = 64;

/// Why a configuration cannot be used. Each message is one line and names the field.
#[derive(Debug, Snafu)]
pub(crate) enum ConfigError {
    #[snafu(display("does not parse: {source}"))]
    Parse { source: serde_json::Error },
    #[snafu(display("{field} is missing"))]
    Missing { field: &'static str },
    #[snafu(display("{field} is not a text"))]
    NotText { field: &'static str },
    #[snafu(display("{field} is not an address with its port"))]
    NotAddress { field: &'static str },
    #[snafu(display("seed is not of hex digits"))]
    Seed { source: std::num::ParseIntError },
    #[snafu(display("limits.sockets is no number from {MIN_SOCKETS}"))]
    TooFewSockets,
    #[snafu(display("{source}"))]
    Settings { source: SettingsError },
    #[snafu(display(
        "settings: family-info.fetch-parts: a second step, as index {index} has, has no protocol"
    ))]
    FetchStep { index: usize },
    #[snafu(display("known: {source}"))]
    Members { source: MembershipError },
}

/// Why a configuration file cannot be used. Each message is one line and names the file.
#[derive(Debug, Snafu)]
pub(crate) enum ConfigFileError {
    #[snafu(display("{}: {source}", file.display()))]
    Read { file: PathBuf, source: io::Error },
    #[snafu(display("{}: {source}", file.display()))]
    Invalid { file: PathBuf, source: ConfigError },
}

/// The configuration of a co-ordinator.
#[derive(Clone, Debug)]
pub(crate) struct Config {
    pub name: String,
    pub listen: SocketAddr,
    /// Address of service discovery.
    pub discovery: SocketAddr,
    pub seed: u64,
    /// Descriptors that the process may use.
    pub sockets: usize,
    /// Replicas to begin with, until service discovery answers.
    pub cached_membership: membership::MembershipList,
    /// Settings of the decision module.
    pub coordinator: CoordinatorConfig,
    /// Settings of the replicas and of connections to them.
    pub cluster: ClusterConfig,
}

/// The fields of the file's top level.
struct Fields<'a>(&'a Value);

impl<'a> Fields<'a> {
    fn value(&self, field: &'static str) -> Result<&'a Value, ConfigError> {
        self.0.get(field).context(MissingSnafu { field })
    }

    fn text(&self, field: &'static str) -> Result<&'a str, ConfigError> {
        self.value(field)?.as_str().context(NotTextSnafu { field })
    }

    fn address(&self, field: &'static str) -> Result<SocketAddr, ConfigError> {
        let address = self.text(field)?.parse().ok();
        address.context(NotAddressSnafu { field })
    }
}

impl Config {
    /// Reads the file.
    ///
    /// # Errors
    ///
    /// One line that names the file and the field.
    pub(crate) fn read(file: &Path) -> Result<Config, ConfigFileError> {
        let text = std::fs::read(file).context(ReadSnafu { file })?;
        Config::parse(&text).context(InvalidSnafu { file })
    }

    /// Parses the text of a configuration.
    ///
    /// # Errors
    ///
    /// The first field that is missing or has a bad value.
    pub(crate) fn parse(text: &[u8]) -> Result<Config, ConfigError> {
        let root: Value = serde_json::from_slice(text).context(ParseSnafu)?;
        let fields = Fields(&root);
        let seed = fields.text("seed")?;
        let field = "limits.sockets";
        let sockets = root
            .pointer("/limits/sockets")
            .context(MissingSnafu { field })?;
        let settings = fields.value("settings")?;
        let deployment = terms::coordinator_config(settings).context(SettingsSnafu)?;
        let mut indexes = deployment.indexes.iter();
        if let Some(index) = indexes.position(|index| index.fetch_sub_requests > 0) {
            return FetchStepSnafu { index }.fail();
        }
        let replica_groups = deployment.layout.replica_groups;
        Ok(Config {
            name: fields.text("name")?.to_owned(),
            listen: fields.address("listen")?,
            discovery: fields.address("discovery")?,
            seed: u64::from_str_radix(seed, 16).context(SeedSnafu)?,
            sockets: parse_sockets(sockets).context(TooFewSocketsSnafu)?,
            cached_membership: membership::from_value(fields.value("known")?, replica_groups)
                .context(MembersSnafu)?,
            cluster: terms::cluster_config(settings).context(SettingsSnafu)?,
            coordinator: deployment,
        })
    }

    /// Reads the file again for a process that runs and gives the address of service discovery. Other changes apply
    /// at the next start, which the log says. A file that cannot be used changes nothing.
    pub(crate) fn reload(&self, file: &Path) -> Option<SocketAddr> {
        let new = match Config::read(file) {
            Ok(new) => new,
            Err(error) => {
                warn!("configuration not taken, all goes on as it was: {error}");
                return None;
            }
        };
        let at_next_start = [
            ("name", new.name != self.name),
            ("listen", new.listen != self.listen),
            ("limits.sockets", new.sockets != self.sockets),
            (
                "settings",
                new.coordinator != self.coordinator || new.cluster != self.cluster,
            ),
        ];
        let changed = at_next_start.into_iter().filter(|(_, differs)| *differs);
        let changed: Vec<_> = changed.map(|(name, _)| name).collect();
        info!(roster = %new.discovery, at_next_start = changed.join(","), "configuration read again");
        Some(new.discovery)
    }
}

fn parse_sockets(value: &Value) -> Option<usize> {
    let sockets = usize::try_from(value.as_u64()?).ok()?;
    (sockets >= MIN_SOCKETS).then_some(sockets)
}
