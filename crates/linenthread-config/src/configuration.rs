use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::sync::LazyLock;

use serde::Deserialize;

use crate::{Fault, Schema, fault, hold, schema};

static SCHEMA: LazyLock<Schema> =
    LazyLock::new(|| schema(include_str!("../configuration.schema.json")));

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Mode {
    Idempotent,
    Mutating,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Share {
    pub backend: String,
    pub share: f64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Route {
    pub label: String,
    pub host: String,
    pub path_prefix: String,
    pub mode: Mode,
    pub limit_ms: f64,
    #[serde(default)]
    pub target_ms: Option<f64>,
    #[serde(default)]
    pub rank: i64,
    #[serde(default = "one")]
    pub tries: usize,
    #[serde(default)]
    pub backend: Option<String>,
    #[serde(default)]
    pub apportion: Option<Vec<Share>>,
    #[serde(default)]
    pub fanout: Option<Vec<String>>,
    #[serde(default)]
    pub result_limit: usize,
    #[serde(default)]
    pub min_coverage: f64,
}

fn one() -> usize {
    1
}

#[derive(Clone, Debug, Deserialize)]
pub struct Backend {
    pub label: String,
    #[serde(default)]
    pub probe_path: Option<String>,
    #[serde(default)]
    pub max_conns: Option<usize>,
}

/// What clients may send, and how long it may take; in bytes and milliseconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct Constraints {
    pub header_bytes: usize,
    pub payload_bytes: usize,
    pub header_ms: u64,
    pub quiet_ms: u64,
}

impl Default for Constraints {
    fn default() -> Self {
        Constraints {
            header_bytes: 16_384,
            payload_bytes: 262_144,
            header_ms: 3_000,
            quiet_ms: 15_000,
        }
    }
}

#[derive(Clone, Debug, Deserialize)]
pub struct Configuration {
    pub revision: u64,
    pub route_table: Vec<Route>,
    pub backends: Vec<Backend>,
    #[serde(default)]
    pub constraints: Constraints,
}

impl Route {
    /// All services that a request on this route may go to.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        let shares = self.apportion.iter().flatten().map(|s| s.backend.as_str());
        self.backend
            .as_deref()
            .into_iter()
            .chain(shares)
            .chain(self.fanout.iter().flatten().map(String::as_str))
    }
}

impl Configuration {
    /// Reads a configuration that has been judged before.
    ///
    /// # Errors
    /// What cannot be decoded.
    pub fn read(document: &[u8]) -> Result<Configuration, Fault> {
        serde_json::from_slice(document).map_err(|e| fault("configuration", e.to_string()))
    }

    /// Reads and judges what an operator sends: the schema first, then what it cannot say.
    ///
    /// # Errors
    /// The path of what is wrong, and why.
    pub fn judge(document: &[u8]) -> Result<Configuration, Fault> {
        let value: serde_json::Value = serde_json::from_slice(document).map_err(|e| {
            fault(
                format!("line {} column {}", e.line(), e.column()),
                e.to_string(),
            )
        })?;
        hold(&SCHEMA, &value)?;
        let read = Configuration::read(document)?;
        let mut known = HashSet::new();
        for (i, backend) in read.backends.iter().enumerate() {
            if !known.insert(backend.label.as_str()) {
                return Err(fault(
                    format!("/backends/{i}"),
                    format!("{} is named twice", backend.label),
                ));
            }
        }
        let mut places = HashSet::new();
        for (i, route) in read.route_table.iter().enumerate() {
            let at = || format!("/route_table/{i}");
            if let Some(service) = route.services().find(|s| !known.contains(s)) {
                return Err(fault(at(), format!("no backend is named {service}")));
            }
            if !places.insert((route.host.to_ascii_lowercase(), route.path_prefix.as_str())) {
                let cause = format!("host {} has prefix {} twice", route.host, route.path_prefix);
                return Err(fault(at(), cause));
            }
            if route
                .apportion
                .iter()
                .flatten()
                .map(|s| s.share)
                .sum::<f64>()
                <= 0.0
                && route.apportion.is_some()
            {
                return Err(fault(at(), "the shares sum to 0"));
            }
            if route.fanout.is_some() && route.mode != Mode::Idempotent {
                return Err(fault(at(), "a route with fanout is idempotent"));
            }
        }
        Ok(read)
    }
}

/// Where a request goes.
#[derive(Clone, Debug)]
pub enum Target {
    /// To one of these, by its share of the whole, which is the last number.
    One(Vec<(Rc<str>, f64)>),
    /// To one replica of each.
    All(Rc<[Rc<str>]>),
}

#[derive(Debug)]
pub struct Planned {
    pub route: Route,
    pub target: Target,
}

/// A configuration as requests are matched against it.
#[derive(Debug)]
pub struct Plan {
    pub revision: u64,
    pub constraints: Constraints,
    pub routes: Vec<Rc<Planned>>,
    pub max_conns: HashMap<Rc<str>, usize>,
    hosts: HashMap<String, HashMap<String, usize>>,
}

impl Plan {
    pub fn new(configuration: Configuration) -> Plan {
        let mut hosts: HashMap<String, HashMap<String, usize>> = HashMap::new();
        let names: HashMap<String, Rc<str>> = configuration
            .backends
            .iter()
            .map(|b| (b.label.clone(), Rc::from(b.label.as_str())))
            .collect();
        let name = |label: &String| {
            names
                .get(label)
                .cloned()
                .unwrap_or_else(|| Rc::from(label.as_str()))
        };
        let limits = configuration
            .backends
            .iter()
            .filter_map(|b| Some((name(&b.label), b.max_conns?)));
        let max_conns = limits.collect();
        let mut routes = Vec::new();
        for (i, route) in configuration.route_table.into_iter().enumerate() {
            let host = hosts.entry(route.host.to_ascii_lowercase()).or_default();
            host.insert(route.path_prefix.clone(), i);
            let target = match (&route.fanout, &route.apportion, &route.backend) {
                (Some(all), _, _) => Target::All(all.iter().map(name).collect()),
                (_, Some(shares), _) => {
                    let mut upto = 0.0;
                    let one = |s: &Share| {
                        upto += s.share;
                        (name(&s.backend), upto)
                    };
                    Target::One(shares.iter().filter(|s| s.share > 0.0).map(one).collect())
                }
                (_, _, only) => Target::One(only.iter().map(|b| (name(b), 1.0)).collect()),
            };
            routes.push(Rc::new(Planned { route, target }));
        }
        Plan {
            revision: configuration.revision,
            constraints: configuration.constraints,
            routes,
            max_conns,
            hosts,
        }
    }

    /// The route of a request: the longest prefix of its path among those of its host.
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Planned>> {
        let host = host.split_once(':').map_or(host, |(name, _)| name);
        let prefixes = match self.hosts.get(host) {
            Some(found) => found,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        let cuts = path
            .bytes()
            .enumerate()
            .rev()
            .filter(|(_, b)| *b == b'/')
            .map(|(i, _)| &path[..=i]);
        cuts.filter_map(|prefix| prefixes.get(prefix))
            .map(|&i| &self.routes[i])
            .next()
    }
}

impl Target {
    /// The one service for a request that draws this number, from 0 up to 1.
    pub fn drawn(&self, number: f64) -> Option<&Rc<str>> {
        let Target::One(shares) = self else {
            return None;
        };
        let whole = shares.last()?.1;
        shares
            .iter()
            .find(|(_, upto)| number * whole < *upto)
            .or(shares.last())
            .map(|(name, _)| name)
    }
}
