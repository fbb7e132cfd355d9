//! The settings file of a process, which the platform writes as lines of `field=value`.

use std::collections::BTreeMap;
use std::net::{AddrParseError, IpAddr, SocketAddr};
use std::str::FromStr;
use std::sync::LazyLock;
use std::time::Duration;

use serde_json::{Map, Value};
use snafu::{OptionExt, ResultExt, ensure};

use crate::error::{
    DuplicateFieldSnafu, EmptyPortRangeSnafu, IncompleteSnafu, InvalidAddressSnafu,
    InvalidNumberSnafu, InvalidPortSnafu, MissingStateDirSnafu, NotFieldAndValueSnafu,
    NothingToServeSnafu, SettingsError,
};
use crate::platform_settings::PlatformSettings;
use crate::schema::{Schema, Violation};

static SCHEMA: LazyLock<Schema> =
    LazyLock::new(|| Schema::compile(include_str!("../settings.schema.json")));

/// Maximum number of tolerated machine faults: more would need more voters than any deployment has.
const MAX_MACHINE_FAULTS: f64 = 16.0;
/// Minimum interval or window: a timer with interval 0 would fire continuously, and a window of length 0 would count
/// nothing.
pub(crate) const MIN_INTERVAL_MS: f64 = 1.0;
pub(crate) const MS_PER_S: f64 = 1_000.0;

// Defaults of fields that are absent from the settings file. They are `f64`, since the platform may write fractions.
const DEFAULT_MACHINE_FAULTS: f64 = 1.0;
const DEFAULT_HEARTBEAT_MS: f64 = 1_000.0;
const DEFAULT_DRAIN_MS: f64 = 3_000.0;
const DEFAULT_GRACE_S: f64 = 6.0;
const DEFAULT_RETRY_RATIO: f64 = 0.0;
const DEFAULT_RETRY_WINDOW_S: f64 = 10.0;
const DEFAULT_RETRY_ALLOWANCE: f64 = 0.0;
const DEFAULT_REVOKE_MS: f64 = 5_000.0;

/// The settings of one process.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the node, unique in the system.
    pub node_name: String,
    /// The failure domain in which the node runs.
    pub zone: String,
    /// Address of the node.
    pub ip_addr: IpAddr,
    /// Listen address for clients' requests; absent: this is not an ingress node.
    pub ingress_bind: Option<SocketAddr>,
    /// Listen address of the readiness check, which the platform sends to ingress nodes.
    pub readiness_bind: Option<SocketAddr>,
    /// Listen address of the control API for replicas and operators; absent: this is not a control node.
    pub control_bind: Option<SocketAddr>,
    /// Port for sessions between nodes: the first of the port range.
    pub peers_port: u16,
    /// Control addresses of the initial control nodes.
    pub bootstrap_peers: Vec<SocketAddr>,
    /// Whether this is the first start of the system, so that an empty disk does not mean lost data.
    pub initial_boot: bool,
    /// Whether the node may be a voter.
    pub quorum_member: bool,
    /// Number of voters' machines whose simultaneous loss is tolerated.
    pub machine_faults: usize,
    /// Directory of the control node's state.
    pub state_dir: Option<String>,
    /// Interval between a replica's heartbeats.
    pub heartbeat_interval: Duration,
    /// Time for which a departing replica continues to serve the requests it has accepted.
    pub drain_timeout: Duration,
    /// Maximum time from SIGTERM to the end of the process.
    pub shutdown_grace: Duration,
    /// Retries that the retry budget permits, as a fraction of first attempts.
    pub retry_ratio: f64,
    /// Window over which the retry budget is counted.
    pub retry_window: Duration,
    /// Retries that the retry budget permits in each window even without traffic.
    pub retry_allowance: f64,
    /// Settings for reporting usage to the platform; absent: usage is not reported.
    pub platform: Option<PlatformSettings>,
    /// Maximum time for which an ingress node without contact to control nodes may accept a revoked key; absent: no
    /// limit.
    pub revocation_limit: Option<Duration>,
    /// Whether requests are forwarded without any decision, to measure the overhead of the decisions. Set by a
    /// command-line flag, never by a settings file.
    pub pass_through: bool,
}

impl Settings {
    /// Parses and validates the text of a settings file. Unknown fields are ignored.
    ///
    /// # Errors
    /// Returns the first error found: a line that is not `field=value`, or a field that is given twice, invalid or
    /// missing.
    pub fn parse(text: &str) -> Result<Settings, SettingsError> {
        let fields = Fields::parse(text)?;
        let settings = Settings {
            node_name: fields.required("node_name")?.value.clone(),
            zone: fields.required("zone")?.value.clone(),
            ip_addr: fields.required("ip_addr")?.parse_address("ip_addr")?,
            ingress_bind: fields.address("bind.ingress")?,
            readiness_bind: fields.address("bind.readiness")?,
            control_bind: fields.address("bind.control_plane")?,
            peers_port: fields.first_port()?,
            bootstrap_peers: fields.addresses("bootstrap_peers")?,
            initial_boot: fields.flag("initial_boot"),
            quorum_member: fields.flag("quorum_member"),
            machine_faults: fields.machine_faults()?,
            state_dir: fields.get("state_dir").map(|field| field.value.clone()),
            heartbeat_interval: fields.heartbeat_interval()?,
            drain_timeout: fields.drain_timeout()?,
            shutdown_grace: fields.shutdown_grace()?,
            retry_ratio: fields.number("limits_table.retry_ratio", DEFAULT_RETRY_RATIO)?,
            retry_window: fields.retry_window()?,
            retry_allowance: fields
                .number("limits_table.retry_allowance", DEFAULT_RETRY_ALLOWANCE)?,
            platform: PlatformSettings::from_fields(&fields)?,
            revocation_limit: fields.revocation_limit()?,
            pass_through: false,
        };
        settings.validate()?;
        Ok(settings)
    }

    /// Checks the rules that involve several fields.
    ///
    /// # Errors
    /// [`SettingsError::NothingToServe`] or [`SettingsError::MissingStateDir`].
    pub fn validate(&self) -> Result<(), SettingsError> {
        let serves = self.ingress_bind.is_some() || self.control_bind.is_some();
        ensure!(serves, NothingToServeSnafu);
        let can_store = self.control_bind.is_none() || self.state_dir.is_some();
        ensure!(can_store, MissingStateDirSnafu);
        Ok(())
    }
}

/// Converts milliseconds to a duration, rounded down to whole milliseconds.
pub(crate) fn duration_from_millis(millis: f64) -> Duration {
    Duration::from_millis(floor(millis))
}

/// Rounds a number down to an integer, saturated at 0 and at `u64::MAX`.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates, and the standard library has no other conversion"
)]
fn floor(number: f64) -> u64 {
    number as u64
}

/// The fields of a settings file that conforms to the schema.
pub(crate) struct Fields(BTreeMap<String, Field>);

/// The value and the line of a field.
pub(crate) struct Field {
    value: String,
    /// Line of the file, from 1.
    pub(crate) line: usize,
}

impl Fields {
    fn parse(text: &str) -> Result<Fields, SettingsError> {
        let mut fields = BTreeMap::new();
        for (line, content) in (1..).zip(text.lines()) {
            let content = content.trim();
            if content.is_empty() || content.starts_with('#') {
                continue;
            }
            let (field, value) = content
                .split_once('=')
                .context(NotFieldAndValueSnafu { line })?;
            let field = field.trim().to_owned();
            ensure!(
                !fields.contains_key(&field),
                DuplicateFieldSnafu { line, field }
            );
            let value = value.trim().to_owned();
            fields.insert(field, Field { value, line });
        }
        let fields = Fields(fields);
        SCHEMA
            .check(&fields.to_json())
            .map_err(|violation| fields.schema_error(violation))?;
        Ok(fields)
    }

    /// Returns the fields in the form that the schema describes: an object whose values are strings.
    fn to_json(&self) -> Value {
        let fields = self.0.iter();
        let pairs = fields.map(|(name, field)| (name.clone(), field.value.as_str().into()));
        Value::Object(pairs.collect::<Map<_, _>>())
    }

    fn schema_error(&self, violation: Violation) -> SettingsError {
        let Violation { path, reason } = violation;
        let field = path.trim_start_matches('/').to_owned();
        match self.0.get(&field) {
            Some(&Field { line, .. }) => SettingsError::InvalidValue {
                line,
                field,
                reason,
            },
            None => SettingsError::Incomplete { reason },
        }
    }

    /// Returns a field, or `None` if it is absent or empty.
    pub(crate) fn get(&self, name: &str) -> Option<&Field> {
        self.0.get(name).filter(|field| !field.value.is_empty())
    }

    /// Returns a field that the schema requires.
    fn required(&self, name: &str) -> Result<&Field, SettingsError> {
        self.get(name).with_context(|| IncompleteSnafu {
            reason: format!("\"{name}\" is a required property"),
        })
    }

    fn flag(&self, name: &str) -> bool {
        self.get(name).is_some_and(|field| field.value == "true")
    }

    pub(crate) fn number(&self, name: &'static str, default: f64) -> Result<f64, SettingsError> {
        self.get(name)
            .map_or(Ok(default), |field| field.parse_number(name))
    }

    fn machine_faults(&self) -> Result<usize, SettingsError> {
        let faults = self.number("fault_budget.machine_faults", DEFAULT_MACHINE_FAULTS)?;
        let faults = floor(faults.min(MAX_MACHINE_FAULTS));
        Ok(usize::try_from(faults).unwrap_or(usize::MAX))
    }

    fn heartbeat_interval(&self) -> Result<Duration, SettingsError> {
        let millis = self.number("heartbeat_ms", DEFAULT_HEARTBEAT_MS)?;
        Ok(duration_from_millis(millis.max(MIN_INTERVAL_MS)))
    }

    fn drain_timeout(&self) -> Result<Duration, SettingsError> {
        let millis = self.number("limits_table.drain_ms", DEFAULT_DRAIN_MS)?;
        Ok(duration_from_millis(millis))
    }

    fn shutdown_grace(&self) -> Result<Duration, SettingsError> {
        let seconds = self.number("limits_table.grace_s", DEFAULT_GRACE_S)?;
        Ok(duration_from_millis(seconds * MS_PER_S))
    }

    fn retry_window(&self) -> Result<Duration, SettingsError> {
        let seconds = self.number("limits_table.retry_window_s", DEFAULT_RETRY_WINDOW_S)?;
        Ok(duration_from_millis(
            (seconds * MS_PER_S).max(MIN_INTERVAL_MS),
        ))
    }

    fn revocation_limit(&self) -> Result<Option<Duration>, SettingsError> {
        let millis = self.number("limits_table.revoke_ms", DEFAULT_REVOKE_MS)?;
        let is_limited = self.flag("limits_table.revocation_total");
        Ok(is_limited.then(|| duration_from_millis(millis)))
    }

    pub(crate) fn address(&self, name: &'static str) -> Result<Option<SocketAddr>, SettingsError> {
        self.get(name)
            .map(|field| field.parse_address(name))
            .transpose()
    }

    /// Reports whether a comma-separated list contains an item.
    pub(crate) fn list_contains(&self, name: &str, item: &str) -> bool {
        self.get(name)
            .is_some_and(|field| field.value.split(',').any(|other| other.trim() == item))
    }

    /// Parses a comma-separated list of addresses.
    fn addresses(&self, name: &'static str) -> Result<Vec<SocketAddr>, SettingsError> {
        let Some(field) = self.get(name) else {
            return Ok(Vec::new());
        };
        field
            .value
            .split(',')
            .filter(|value| !value.is_empty())
            .map(|value| parse_address(name, value, field.line))
            .collect()
    }

    /// Returns the first port of the port range.
    fn first_port(&self) -> Result<u16, SettingsError> {
        let Field { value, line } = self.required("port_range")?;
        let line = *line;
        let (first, last) = value.split_once(',').unwrap_or_default();
        let first: u16 = first.parse().context(InvalidPortSnafu { line })?;
        let last: u16 = last.parse().context(InvalidPortSnafu { line })?;
        ensure!(0 < first && first <= last, EmptyPortRangeSnafu { line });
        Ok(first)
    }
}

impl Field {
    pub(crate) fn parse_number(&self, name: &'static str) -> Result<f64, SettingsError> {
        let line = self.line;
        self.value
            .parse()
            .context(InvalidNumberSnafu { line, field: name })
    }

    fn parse_address<A>(&self, name: &'static str) -> Result<A, SettingsError>
    where
        A: FromStr<Err = AddrParseError>,
    {
        parse_address(name, &self.value, self.line)
    }
}

/// Parses an address; `name` and `line` identify the field in errors.
fn parse_address<A>(name: &'static str, value: &str, line: usize) -> Result<A, SettingsError>
where
    A: FromStr<Err = AddrParseError>,
{
    value.parse().context(InvalidAddressSnafu {
        line,
        field: name,
        value,
    })
}
