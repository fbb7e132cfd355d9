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
pub enum ConfigError {
    /// It is not JSON.
    #[snafu(display("does not parse: {source}"))]
    Parse {
        /// What is wrong with it.
        source: serde_json::Error,
    },
    /// A required field is missing.
    #[snafu(display("{field} is missing"))]
    Missing {
        /// The field.
        field: &'static str,
    },
    /// A field is not a text.
    #[snafu(display("{field} is not a string"))]
    NotText {
        /// The field.
        field: &'static str,
    },
    /// A field is not a socket address.
    #[snafu(display("{field} is not an address with a port"))]
    NotAddress {
        /// The field.
        field: &'static str,
    },
    /// The seed is no hexadecimal number.
    #[snafu(display("seed is not hexadecimal"))]
    Seed {
        /// What is wrong with it.
        source: std::num::ParseIntError,
    },
    /// The process may use too few descriptors to serve.
    #[snafu(display("limits.sockets is not a number of at least {MIN_SOCKETS}"))]
    TooFewSockets,
    /// The settings of the decision module cannot be used.
    #[snafu(display("{source}"))]
    Settings {
        /// The setting, and what is wrong with it.
        source: SettingsError,
    },
    /// An index needs a second step, for which replicas have no protocol.
    #[snafu(display(
        "settings: family-info.fetch-parts: index {index} has a second step, which the protocol does not support"
    ))]
    FetchStep {
        /// The index's position in the settings.
        index: usize,
    },
    /// The remembered list of replicas cannot be used.
    #[snafu(display("known: {source}"))]
    Members {
        /// What is wrong with it.
        source: MembershipError,
    },
}

/// Why a configuration file cannot be used. Each message is one line and names the file.
#[derive(Debug, Snafu)]
pub enum ConfigFileError {
    /// The file cannot be read.
    #[snafu(display("{}: {source}", file.display()))]
    Read {
        /// The file.
        file: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// Its text cannot be used.
    #[snafu(display("{}: {source}", file.display()))]
    Invalid {
        /// The file.
        file: PathBuf,
        /// The field, and what is wrong with it.
        source: ConfigError,
    },
}

/// The configuration of a co-ordinator.
#[derive(Clone, Debug)]
pub struct Config {
    /// The process's name.
    pub name: String,
    /// Where it accepts clients.
    pub listen: SocketAddr,
    /// Address of service discovery.
    pub discovery: SocketAddr,
    /// The seed of all random numbers of the process.
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
    pub fn read(file: &Path) -> Result<Config, ConfigFileError> {
        let text = std::fs::read(file).context(ReadSnafu { file })?;
        Config::parse(&text).context(InvalidSnafu { file })
    }

    /// Parses the text of a configuration.
    ///
    /// # Errors
    ///
    /// The first field that is missing or has a bad value.
    pub fn parse(text: &[u8]) -> Result<Config, ConfigError> {
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
    pub fn reload(&self, file: &Path) -> Option<SocketAddr> {
        let new = match Config::read(file) {
            Ok(new) => new,
            Err(error) => {
                warn!("configuration rejected, keeping the one in use: {error}");
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
        info!(discovery = %new.discovery, at_next_start = changed.join(","), "configuration reloaded");
        Some(new.discovery)
    }
}

fn parse_sockets(value: &Value) -> Option<usize> {
    let sockets = usize::try_from(value.as_u64()?).ok()?;
    (sockets >= MIN_SOCKETS).then_some(sockets)
}
