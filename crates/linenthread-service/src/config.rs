//! Reads and validates the platform's configuration file.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use linenthread_core::interface::CoordinatorConfig;
use linenthread_protocol::membership::{self, MembershipError};
use linenthread_terms::{self as terms, ClusterConfig, SettingsError};
use serde_json::Value;
use snafu::{OptionExt, ResultExt, Snafu};
use tracing::{info, warn};

/// Minimum number of file descriptors: with fewer, none are left for clients after those of replicas and service
/// discovery.
const MIN_SOCKETS: usize = 64;

/// The reason why a configuration is invalid. Each message is one line and names the field.
#[derive(Debug, Snafu)]
pub enum ConfigError {
    /// The text is not valid JSON.
    #[snafu(display("does not parse: {source}"))]
    Parse {
        /// The parser's error.
        source: serde_json::Error,
    },
    /// A required field is missing.
    #[snafu(display("{field} is missing"))]
    Missing {
        /// The field.
        field: &'static str,
    },
    /// A field is not a string.
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
    /// The seed is not a hexadecimal number.
    #[snafu(display("seed is not hexadecimal"))]
    Seed {
        /// The parser's error.
        source: std::num::ParseIntError,
    },
    /// The limit of file descriptors is too low for the process to serve clients.
    #[snafu(display("limits.sockets is not a number of at least {MIN_SOCKETS}"))]
    TooFewSockets,
    /// A setting of the decision module, the replicas or the connections to them is invalid.
    #[snafu(display("{source}"))]
    Settings {
        /// The setting and the reason.
        source: SettingsError,
    },
    /// An index has a fetch step, which the protocol between co-ordinators and replicas does not support.
    #[snafu(display(
        "settings: family-info.fetch-parts: index {index} has a second step, which the protocol does not support"
    ))]
    FetchStep {
        /// The index's position in the settings.
        index: usize,
    },
    /// The cached list of replicas is invalid.
    #[snafu(display("known: {source}"))]
    Members {
        /// The decoder's error.
        source: MembershipError,
    },
}

/// The reason why a configuration file cannot be used. Each message is one line and names the file.
#[derive(Debug, Snafu)]
pub enum ConfigFileError {
    /// The file cannot be read.
    #[snafu(display("{}: {source}", file.display()))]
    Read {
        /// The file.
        file: PathBuf,
        /// The operating system's error.
        source: io::Error,
    },
    /// The file's contents are invalid.
    #[snafu(display("{}: {source}", file.display()))]
    Invalid {
        /// The file.
        file: PathBuf,
        /// The field and the reason.
        source: ConfigError,
    },
}

/// The configuration of a co-ordinator.
#[derive(Clone, Debug)]
pub struct Config {
    /// The process's name.
    pub name: String,
    /// The address on which it accepts clients.
    pub listen: SocketAddr,
    /// The address of service discovery.
    pub discovery: SocketAddr,
    /// The seed of all random numbers of the process.
    pub seed: u64,
    /// The number of file descriptors that the process may use.
    pub max_file_descriptors: usize,
    /// The replicas to use until service discovery responds.
    pub cached_membership: membership::MembershipList,
    /// Settings of the decision module.
    pub coordinator: CoordinatorConfig,
    /// Settings of the replicas and of connections to them.
    pub cluster: ClusterConfig,
}

/// The top-level fields of the file.
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
    /// Reads a configuration file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or its contents are invalid.
    pub fn read(file: &Path) -> Result<Config, ConfigFileError> {
        let text = std::fs::read(file).context(ReadSnafu { file })?;
        Config::parse(&text).context(InvalidSnafu { file })
    }

    /// Parses the text of a configuration file.
    ///
    /// # Errors
    ///
    /// Returns an error for the first field that is missing or invalid.
    pub fn parse(text: &[u8]) -> Result<Config, ConfigError> {
        let root: Value = serde_json::from_slice(text).context(ParseSnafu)?;
        let fields = Fields(&root);
        let seed = fields.text("seed")?;
        let field = "limits.sockets";
        let sockets = root
            .pointer("/limits/sockets")
            .context(MissingSnafu { field })?;
        let settings = fields.value("settings")?;
        let coordinator_config = terms::coordinator_config(settings).context(SettingsSnafu)?;
        let mut indexes = coordinator_config.indexes.iter();
        if let Some(index) = indexes.position(|index| index.fetch_sub_requests > 0) {
            return FetchStepSnafu { index }.fail();
        }
        let replica_groups = coordinator_config.layout.replica_groups;
        Ok(Config {
            name: fields.text("name")?.to_owned(),
            listen: fields.address("listen")?,
            discovery: fields.address("discovery")?,
            seed: u64::from_str_radix(seed, 16).context(SeedSnafu)?,
            max_file_descriptors: parse_sockets(sockets).context(TooFewSocketsSnafu)?,
            cached_membership: membership::from_value(fields.value("known")?, replica_groups)
                .context(MembersSnafu)?,
            cluster: terms::cluster_config(settings).context(SettingsSnafu)?,
            coordinator: coordinator_config,
        })
    }

    /// Reads the file again while the process runs, and returns the address of service discovery, the only change that
    /// applies at once. Other changes apply at the next start; the log names them. Returns `None` if the file cannot be
    /// used; the current configuration stays in use then.
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
            (
                "limits.sockets",
                new.max_file_descriptors != self.max_file_descriptors,
            ),
            (
                "settings",
                new.coordinator != self.coordinator || new.cluster != self.cluster,
            ),
        ];
        let changed = at_next_start
            .into_iter()
            .filter(|(_, is_changed)| *is_changed);
        let changed: Vec<_> = changed.map(|(name, _)| name).collect();
        info!(discovery = %new.discovery, at_next_start = changed.join(","), "configuration reloaded");
        Some(new.discovery)
    }
}

fn parse_sockets(value: &Value) -> Option<usize> {
    let sockets = usize::try_from(value.as_u64()?).ok()?;
    (sockets >= MIN_SOCKETS).then_some(sockets)
}
