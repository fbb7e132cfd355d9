use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::LazyLock;

use crate::{Fault, Schema, fault, hold, schema};

static SCHEMA: LazyLock<Schema> = LazyLock::new(|| schema(include_str!("../settings.schema.json")));

/// The settings of one process. Times are in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    pub node_name: String,
    pub zone: String,
    pub ip_addr: std::net::IpAddr,
    pub ingress: Option<SocketAddr>,
    pub readiness: Option<SocketAddr>,
    pub control: Option<SocketAddr>,
    /// Where co-ordinators speak to each other: the first port that is free for that.
    pub peers_port: u16,
    pub bootstrap_peers: Vec<SocketAddr>,
    pub initial_boot: bool,
    pub quorum_member: bool,
    /// So many machines whose disks count may be lost together.
    pub machine_faults: usize,
    pub state_dir: Option<String>,
    pub heartbeat_ms: u64,
    pub drain_ms: u64,
    pub grace_ms: u64,
    pub retry_ratio: f64,
    pub retry_window_ms: u64,
    pub retry_allowance: f64,
    /// Requests are passed on with no decision, for measurements; no file says this.
    pub pass_through: bool,
}

impl Settings {
    /// Reads the file's text; a fault names the line, or the field that is missing.
    ///
    /// # Errors
    /// Any line that is not `field=value`, a field given twice, or one that the schema refuses.
    pub fn read(text: &str) -> Result<Settings, Fault> {
        let mut fields = serde_json::Map::new();
        let mut lines = BTreeMap::new();
        for (n, line) in text.lines().enumerate() {
            let (line, at) = (line.trim(), format!("line {}", n + 1));
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let Some((field, value)) = line.split_once('=') else {
                return Err(fault(at, "is not field=value"));
            };
            let (field, value) = (field.trim(), value.trim());
            if lines.insert(field.to_owned(), at.clone()).is_some() {
                return Err(fault(at, format!("{field} is given twice")));
            }
            fields.insert(field.to_owned(), value.into());
        }
        let document = serde_json::Value::Object(fields);
        hold(&SCHEMA, &document).map_err(|f| {
            let field = f.place.trim_start_matches('/').to_owned();
            match lines.get(&field) {
                Some(line) => fault(format!("{line}, {field}"), f.cause),
                None => f,
            }
        })?;
        let text = |field: &str| {
            document
                .get(field)
                .and_then(|v| v.as_str())
                .unwrap_or_default()
        };
        let wrong = |field: &str, cause: String| {
            fault(
                lines
                    .get(field)
                    .cloned()
                    .unwrap_or_else(|| field.to_owned()),
                format!("{field}: {cause}"),
            )
        };
        let address = |field: &str| match text(field) {
            "" => Ok(None),
            t => t
                .parse()
                .map(Some)
                .map_err(|_| wrong(field, format!("{t} is no address"))),
        };
        let number = |field: &str, usual: f64| match text(field) {
            "" => Ok(usual),
            t => t.parse::<f64>().map_err(|e| wrong(field, e.to_string())),
        };
        let (first, last) = text("port_range").split_once(',').unwrap_or_default();
        let port = |t: &str| {
            t.parse::<u16>()
                .map_err(|e| wrong("port_range", e.to_string()))
        };
        let (peers_port, last) = (port(first)?, port(last)?);
        if peers_port > last || peers_port == 0 {
            return Err(wrong("port_range", "no port is in it".into()));
        }
        let peers = text("bootstrap_peers").split(',').filter(|t| !t.is_empty());
        let peer = |t: &str| {
            t.parse()
                .map_err(|_| wrong("bootstrap_peers", format!("{t} is no address")))
        };
        let settings = Settings {
            node_name: text("node_name").to_owned(),
            zone: text("zone").to_owned(),
            ip_addr: text("ip_addr")
                .parse()
                .map_err(|_| wrong("ip_addr", "is no address".into()))?,
            ingress: address("bind.ingress")?,
            readiness: address("bind.readiness")?,
            control: address("bind.control_plane")?,
            peers_port,
            bootstrap_peers: peers.map(peer).collect::<Result<_, _>>()?,
            initial_boot: text("initial_boot") == "true",
            quorum_member: text("quorum_member") == "true",
            machine_faults: number("fault_budget.machine_faults", 1.0)?.min(16.0) as usize,
            state_dir: Some(text("state_dir"))
                .filter(|t| !t.is_empty())
                .map(str::to_owned),
            heartbeat_ms: number("heartbeat_ms", 1_000.0)?.max(1.0) as u64,
            drain_ms: number("limits_table.drain_ms", 3_000.0)? as u64,
            grace_ms: (number("limits_table.grace_s", 6.0)? * 1_000.0) as u64,
            retry_ratio: number("limits_table.retry_ratio", 0.0)?,
            retry_window_ms: (number("limits_table.retry_window_s", 10.0)? * 1_000.0).max(1.0)
                as u64,
            retry_allowance: number("limits_table.retry_allowance", 0.0)?,
            pass_through: false,
        };
        if settings.ingress.is_none() && settings.control.is_none() {
            return Err(fault(
                "bind.ingress, bind.control_plane",
                "neither is given: there is nothing to serve",
            ));
        }
        if settings.control.is_some() && settings.state_dir.is_none() {
            return Err(fault(
                "state_dir",
                "is needed where bind.control_plane is given",
            ));
        }
        Ok(settings)
    }
}
