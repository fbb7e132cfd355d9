//! The settings file of a process: lines of `field=value`, as the platform writes them.

use std::collections::BTreeMap;
use std::net::{AddrParseError, IpAddr, SocketAddr};
use std::str::FromStr;
use std::sync::LazyLock;
use std::time::Duration;

use serde_json::{Map, Value};
use snafu::{OptionExt, ResultExt, ensure};

use crate::error::{
    DuplicateFieldSnafu, EmptyPortRangeSnafu, InvalidAddressSnafu, InvalidNumberSnafu,
    InvalidPortSnafu, MissingStateDirSnafu, NotFieldAndValueSnafu, NothingToServeSnafu,
    SettingsError,
};
use crate::schema::{Schema, Violation};

static SCHEMA: LazyLock<Schema> =
    LazyLock::new(|| Schema::compile(include_str!("../settings.schema.json")));

/// The most machine faults that can be asked for: more would need more voters than any deployment has.
const MAX_MACHINE_FAULTS: f64 = 16.0;
const DEFAULT_MACHINE_FAULTS: f64 = 1.0;
const DEFAULT_HEARTBEAT_MS: f64 = 1_000.0;
const DEFAULT_DRAIN_MS: f64 = 3_000.0;
const DEFAULT_GRACE_S: f64 = 6.0;
const DEFAULT_RETRY_WINDOW_S: f64 = 10.0;
const MS_PER_S: f64 = 1_000.0;
/// An interval or a window can't be shorter than this.
const MIN_INTERVAL_MS: f64 = 1.0;

/// The settings of one process.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the node, unique in the system.
    pub node_name: String,
    /// The failure domain in which the node runs.
    pub zone: String,
    /// Address of the node.
    pub ip_addr: IpAddr,
    /// Where clients' requests are accepted; absent: this is no ingress node.
    pub ingress_bind: Option<SocketAddr>,
    /// Where the platform asks whether the ingress node is ready.
    pub readiness_bind: Option<SocketAddr>,
    /// Where replicas and operators are served; absent: this is no control node.
    pub control_bind: Option<SocketAddr>,
    /// Port of the sessions between nodes: the first of the port range.
    pub peers_port: u16,
    /// Control addresses of the first control nodes.
    pub bootstrap_peers: Vec<SocketAddr>,
    /// This is the very first start of the system, so an empty disk has lost nothing.
    pub initial_boot: bool,
    /// Whether the node's disk may vote.
    pub quorum_member: bool,
    /// How many machines of voters may be lost at the same time.
    pub machine_faults: usize,
    /// Directory of the control node's state.
    pub state_dir: Option<String>,
    /// Interval between two heartbeats of a replica.
    pub heartbeat_interval: Duration,
    /// How long a replica that leaves goes on serving what it has accepted.
    pub drain_timeout: Duration,
    /// How long the process may take from SIGTERM to its end.
    pub shutdown_grace: Duration,
    /// Retries that the budget permits, as a fraction of first attempts.
    pub retry_ratio: f64,
    /// Window over which the retry budget is counted.
    pub retry_window: Duration,
    /// Retries a window that the budget permits even without traffic.
    pub retry_allowance: f64,
    /// Requests are forwarded without any decision, to measure the overhead of the decisions. A command-line
    /// flag sets this; no settings file can.
    pub pass_through: bool,
}

impl Settings {
    /// Parses and validates the text of a settings file. Unknown fields are ignored.
    ///
    /// # Errors
    /// The first line that is not `field=value`, or the first field that is given twice, has a bad value or is
    /// missing.
    pub fn parse(text: &str) -> Result<Settings, SettingsError> {
        let fields = Fields::parse(text)?;
        let settings = Settings {
            node_name: fields.text("node_name").to_owned(),
            zone: fields.text("zone").to_owned(),
            ip_addr: fields.ip_addr("ip_addr")?,
            ingress_bind: fields.address("bind.ingress")?,
            readiness_bind: fields.address("bind.readiness")?,
            control_bind: fields.address("bind.control_plane")?,
            peers_port: fields.first_port()?,
            bootstrap_peers: fields.addresses("bootstrap_peers")?,
            initial_boot: fields.flag("initial_boot"),
            quorum_member: fields.flag("quorum_member"),
            machine_faults: fields.machine_faults()?,
            state_dir: fields.optional("state_dir").map(str::to_owned),
            heartbeat_interval: {
                let millis = fields.number("heartbeat_ms", DEFAULT_HEARTBEAT_MS)?;
                whole_millis(millis.max(MIN_INTERVAL_MS))
            },
            drain_timeout: whole_millis(fields.number("limits_table.drain_ms", DEFAULT_DRAIN_MS)?),
            shutdown_grace: whole_millis(
                fields.number("limits_table.grace_s", DEFAULT_GRACE_S)? * MS_PER_S,
            ),
            retry_ratio: fields.number("limits_table.retry_ratio", 0.0)?,
            retry_window: {
                let seconds =
                    fields.number("limits_table.retry_window_s", DEFAULT_RETRY_WINDOW_S)?;
                whole_millis((seconds * MS_PER_S).max(MIN_INTERVAL_MS))
            },
            retry_allowance: fields.number("limits_table.retry_allowance", 0.0)?,
            pass_through: false,
        };
        settings.validate()?;
        Ok(settings)
    }

    /// Checks what concerns more than one field.
    ///
    /// # Errors
    /// If the process would serve nothing, or a control node has nowhere to store its state.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let serves = self.ingress_bind.is_some() || self.control_bind.is_some();
        ensure!(serves, NothingToServeSnafu);
        let can_store = self.control_bind.is_none() || self.state_dir.is_some();
        ensure!(can_store, MissingStateDirSnafu);
        Ok(())
    }
}

/// Whole milliseconds, rounded down; beyond what a `u64` holds: its most.
fn whole_millis(millis: f64) -> Duration {
    // A cast from a float saturates, and there is no conversion without it.
    Duration::from_millis(millis as u64)
}

/// The fields of a settings file that has passed the schema, with the line of each.
struct Fields(BTreeMap<String, Field>);

struct Field {
    value: String,
    line: usize,
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

    /// The value of a field, if it is given and not empty.
    fn optional(&self, field: &str) -> Option<&str> {
        let value = &self.0.get(field)?.value;
        (!value.is_empty()).then_some(value)
    }

    /// The value of a field; empty if it isn't given.
    fn text(&self, field: &str) -> &str {
        self.optional(field).unwrap_or_default()
    }

    /// Line of a field, from 1; 0 if it isn't given.
    fn line(&self, field: &str) -> usize {
        self.0.get(field).map_or(0, |field| field.line)
    }

    fn flag(&self, field: &str) -> bool {
        self.text(field) == "true"
    }

    fn number(&self, field: &'static str, default: f64) -> Result<f64, SettingsError> {
        let Some(value) = self.optional(field) else {
            return Ok(default);
        };
        let line = self.line(field);
        value.parse().context(InvalidNumberSnafu { line, field })
    }

    fn machine_faults(&self) -> Result<usize, SettingsError> {
        let faults = self.number("fault_budget.machine_faults", DEFAULT_MACHINE_FAULTS)?;
        // A cast from a float rounds down, and there is no conversion without it.
        Ok(faults.min(MAX_MACHINE_FAULTS) as usize)
    }

    fn parse_address<A>(&self, field: &'static str, value: &str) -> Result<A, SettingsError>
    where
        A: FromStr<Err = AddrParseError>,
    {
        let line = self.line(field);
        value
            .parse()
            .context(InvalidAddressSnafu { line, field, value })
    }

    fn ip_addr(&self, field: &'static str) -> Result<IpAddr, SettingsError> {
        self.parse_address(field, self.text(field))
    }

    fn address(&self, field: &'static str) -> Result<Option<SocketAddr>, SettingsError> {
        self.optional(field)
            .map(|value| self.parse_address(field, value))
            .transpose()
    }

    fn addresses(&self, field: &'static str) -> Result<Vec<SocketAddr>, SettingsError> {
        let values = self.text(field).split(',').filter(|v| !v.is_empty());
        values
            .map(|value| self.parse_address(field, value))
            .collect()
    }

    /// The first port of the range.
    fn first_port(&self) -> Result<u16, SettingsError> {
        let line = self.line("port_range");
        let (first, last) = self.text("port_range").split_once(',').unwrap_or_default();
        let first: u16 = first.parse().context(InvalidPortSnafu { line })?;
        let last: u16 = last.parse().context(InvalidPortSnafu { line })?;
        ensure!(0 < first && first <= last, EmptyPortRangeSnafu { line });
        Ok(first)
    }
}
