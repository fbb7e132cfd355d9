//! The configuration that operators replace while the system runs: routes, backends and limits.

use std::collections::HashSet;
use std::sync::LazyLock;
use std::time::Duration;

use serde::{Deserialize, Deserializer};
use snafu::ensure;

use crate::client::{Client, validate_clients};
use crate::error::{
    ConfigurationError, DuplicateBackendSnafu, DuplicateRouteSnafu, MutatingFanOutSnafu,
    UnknownBackendSnafu, ZeroWeightsSnafu,
};
use crate::schema::Schema;

/// The JSON schema of configuration documents.
pub(crate) const CONFIGURATION_SCHEMA: &str = include_str!("../configuration.schema.json");

static SCHEMA: LazyLock<Schema> =
    LazyLock::new(|| Schema::compile(CONFIGURATION_SCHEMA).with_secret("/clients"));

/// Whether requests of a route may be sent more than once.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Mode {
    /// Requests may be repeated: they can be retried, hedged and fanned out.
    Idempotent,
    /// Requests change state: a request that may have reached a replica is not sent again.
    Mutating,
}

/// A backend that receives part of a route's traffic.
#[derive(Clone, Debug, Deserialize)]
pub struct WeightedBackend {
    /// Name of the backend.
    pub backend: String,
    /// Its weight relative to the other backends of the route; 0 for no traffic.
    #[serde(rename = "share")]
    pub weight: f64,
}

/// Which requests a route matches, and where and how they are sent. Exactly one of `backend`, `weighted_backends` and
/// `fanout` is given.
#[derive(Clone, Debug, Deserialize)]
pub struct Route {
    /// Name of the route, for logs.
    #[serde(rename = "label")]
    pub name: String,
    /// The `Host` that the route matches, regardless of case and port.
    pub host: String,
    /// Prefix of the request path; begins and ends with `/`. The route with the longest matching prefix is used.
    pub path_prefix: String,
    /// Whether requests may be sent more than once.
    pub mode: Mode,
    /// Timeout of a request in milliseconds; may be fractional.
    #[serde(rename = "limit_ms")]
    pub timeout_ms: f64,
    /// Target latency of responses in milliseconds; absent: the timeout.
    #[serde(default, rename = "target_ms")]
    pub latency_target_ms: Option<f64>,
    /// Priority under load; 0 is the highest.
    #[serde(default, rename = "rank")]
    pub priority: i64,
    /// Maximum number of attempts at each sub-request, including the first.
    #[serde(default = "one_attempt", rename = "tries")]
    pub max_attempts: usize,
    /// The backend that receives all requests.
    #[serde(default)]
    pub backend: Option<String>,
    /// The backends between which requests are split.
    #[serde(default, rename = "apportion")]
    pub weighted_backends: Option<Vec<WeightedBackend>>,
    /// The backends that each receive every request; their responses are merged.
    #[serde(default)]
    pub fanout: Option<Vec<String>>,
    /// Maximum number of records in a merged response.
    #[serde(default)]
    pub result_limit: usize,
    /// Minimum fraction of backends, from 0 to 1, whose responses a merged response must include.
    #[serde(default)]
    pub min_coverage: f64,
    /// Whether requests are accepted without a tenant's key.
    #[serde(default)]
    pub public: bool,
}

/// Returns the default of [`Route::max_attempts`].
fn one_attempt() -> usize {
    1
}

impl Route {
    /// Returns the names of all backends to which requests on this route may be sent.
    pub fn backends(&self) -> impl Iterator<Item = &str> {
        let weighted = self.weighted_backends.iter().flatten();
        self.backend
            .as_deref()
            .into_iter()
            .chain(weighted.map(|weighted| weighted.backend.as_str()))
            .chain(self.fanout.iter().flatten().map(String::as_str))
    }

    /// Returns the lower-case host and the path prefix that the route matches. If two routes had the same, one of them
    /// would never be used.
    fn host_and_prefix(&self) -> (String, &str) {
        (self.host.to_ascii_lowercase(), &self.path_prefix)
    }

    /// Reports whether requests that must not be repeated would be sent to several backends.
    fn fans_out_mutating_requests(&self) -> bool {
        self.fanout.is_some() && self.mode == Mode::Mutating
    }

    /// Reports whether the route splits its traffic and no backend has a positive weight.
    fn has_zero_weights(&self) -> bool {
        self.weighted_backends
            .as_ref()
            .is_some_and(|all| all.iter().map(|w| w.weight).sum::<f64>() <= 0.0)
    }
}

/// A service whose replicas are interchangeable.
#[derive(Clone, Debug, Deserialize)]
pub struct Backend {
    /// Name of the backend, by which routes and replicas refer to it.
    #[serde(rename = "label")]
    pub name: String,
    /// Path of the replicas' health check.
    #[serde(default, rename = "probe_path")]
    pub health_check_path: Option<String>,
    /// Maximum number of connections that a replica accepts from all ingress nodes together; absent: no limit.
    #[serde(default, rename = "max_conns")]
    pub max_connections: Option<usize>,
}

/// Size limits and timeouts of clients' requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct RequestLimits {
    /// Maximum length of a request head, in bytes.
    #[serde(rename = "header_bytes")]
    pub max_header_bytes: usize,
    /// Maximum length of a request body, in bytes.
    #[serde(rename = "payload_bytes")]
    pub max_body_bytes: usize,
    /// Timeout for receiving a request head, from its first byte to its last.
    #[serde(rename = "header_ms", deserialize_with = "milliseconds")]
    pub header_timeout: Duration,
    /// Time after which an idle connection is closed.
    #[serde(rename = "quiet_ms", deserialize_with = "milliseconds")]
    pub idle_timeout: Duration,
}

/// Decodes a whole number of milliseconds.
fn milliseconds<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    u64::deserialize(deserializer).map(Duration::from_millis)
}

/// The limits that apply where a configuration sets none.
impl Default for RequestLimits {
    fn default() -> Self {
        RequestLimits {
            max_header_bytes: 16_384,
            max_body_bytes: 262_144,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One revision of the configuration.
#[derive(Clone, Debug, Deserialize)]
pub struct Configuration {
    /// Revision number, from 1; each replacement has a higher one.
    pub revision: u64,
    /// The routes. Requests that match none are rejected.
    #[serde(rename = "route_table")]
    pub routes: Vec<Route>,
    /// The backends to which routes may refer.
    pub backends: Vec<Backend>,
    /// Limits that apply to the requests of all clients.
    #[serde(default, rename = "constraints")]
    pub limits: RequestLimits,
    /// The tenants whose requests are accepted; absent: requests need no key. With an empty list, requests are accepted
    /// on public routes only.
    #[serde(default)]
    pub clients: Option<Vec<Client>>,
}

impl Configuration {
    /// Decodes a configuration that was validated before, such as one that control nodes have agreed on.
    ///
    /// # Errors
    /// [`ConfigurationError::Decode`] if the document is not a configuration.
    pub fn decode(document: &[u8]) -> Result<Configuration, ConfigurationError> {
        serde_json::from_slice(document).map_err(|error| ConfigurationError::Decode {
            line: error.line(),
            column: error.column(),
        })
    }

    /// Decodes and validates a document from an operator: against the schema first, then with
    /// [`Configuration::validate`].
    ///
    /// # Errors
    /// Returns the first violation, with its position in the document.
    pub fn parse(document: &[u8]) -> Result<Configuration, ConfigurationError> {
        let value: serde_json::Value =
            serde_json::from_slice(document).map_err(|source| ConfigurationError::Syntax {
                line: source.line(),
                column: source.column(),
                source,
            })?;
        SCHEMA
            .check(&value)
            .map_err(|violation| ConfigurationError::Schema {
                path: violation.path,
                reason: violation.reason,
            })?;
        let configuration = Configuration::decode(document)?;
        configuration.validate()?;
        Ok(configuration)
    }

    /// Checks the rules that the schema can't express. Backend names are unique, and routes refer to existing backends.
    /// No two routes have the same host and path prefix. A route that splits its traffic has a positive weight, and one
    /// that fans out is idempotent. Tenants have unique, valid names and share no keys.
    ///
    /// # Errors
    /// Returns the first violation, with its position in the document.
    pub fn validate(&self) -> Result<(), ConfigurationError> {
        let backends = self.backend_names()?;
        let mut matches = HashSet::new();
        for (index, route) in self.routes.iter().enumerate() {
            let unknown = route.backends().find(|name| !backends.contains(name));
            if let Some(backend) = unknown {
                return UnknownBackendSnafu { index, backend }.fail();
            }
            let is_new = matches.insert(route.host_and_prefix());
            ensure!(
                is_new,
                DuplicateRouteSnafu {
                    index,
                    host: &route.host,
                    path_prefix: &route.path_prefix,
                }
            );
            ensure!(!route.has_zero_weights(), ZeroWeightsSnafu { index });
            ensure!(
                !route.fans_out_mutating_requests(),
                MutatingFanOutSnafu { index }
            );
        }
        validate_clients(self.clients.as_deref().unwrap_or_default())
    }

    /// Returns the names of the backends, or an error if a name occurs twice.
    fn backend_names(&self) -> Result<HashSet<&str>, ConfigurationError> {
        let mut names = HashSet::new();
        for (index, Backend { name, .. }) in self.backends.iter().enumerate() {
            let is_new = names.insert(name.as_str());
            ensure!(is_new, DuplicateBackendSnafu { index, name });
        }
        Ok(names)
    }
}
