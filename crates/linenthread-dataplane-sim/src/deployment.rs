//! The simulated ingress node: its settings, configuration and data plane.

use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

use linenthread_config::Settings;
use linenthread_dataplane::{DataPlane, RetryQuota, clock};
use linenthread_time::Instant;

use crate::network::Network;

/// Host of all routes.
pub const HOST: &str = "index.example";
/// Zone of the ingress node and of all replicas.
pub(crate) const ZONE: &str = "z";
/// Backends of the route whose responses are merged.
pub(crate) const MERGED_BACKENDS: [&str; 3] = ["s1", "s2", "s3"];
/// Backend of the route whose requests must not be executed twice.
pub(crate) const MUTATING_BACKEND: &str = "s4";
/// Maximum number of records in a merged response.
pub(crate) const RECORD_LIMIT: usize = 7;
/// Time-out of all routes, in milliseconds.
pub const ROUTE_TIMEOUT_MS: u64 = 1_000;
/// Retry budget per window. It is large, so that many retries are sent.
pub(crate) const RETRY_ALLOWANCE: f64 = 1_000.0;

/// Creates the data plane of an ingress node without a configuration, and restarts the clock of the data plane.
pub fn data_plane_without_configuration(seed: u64, network: Network) -> Rc<DataPlane<Network>> {
    clock::restart();
    DataPlane::new(Rc::new(settings()), seed, network)
}

/// Creates the data plane of an ingress node with a configuration without tenants and a quota of `retries_per_window`
/// retries in each window, and restarts the clock of the data plane.
pub fn data_plane(seed: u64, network: Network, retries_per_window: f64) -> Rc<DataPlane<Network>> {
    let plane = data_plane_without_configuration(seed, network);
    plane.apply_configuration(configuration(1, None).as_bytes());
    plane.set_retry_quota(RetryQuota {
        retries_per_window,
        expires_at: Instant::NEVER,
        ingress_index: 0,
        ingress_count: 1,
        epoch: 1,
    });
    plane
}

/// Returns the settings of the ingress node.
pub fn settings() -> Settings {
    Settings {
        node_name: "ingress".into(),
        zone: ZONE.into(),
        ip_addr: Ipv4Addr::LOCALHOST.into(),
        ingress_bind: None,
        readiness_bind: None,
        control_bind: None,
        peers_port: 1,
        bootstrap_peers: Vec::new(),
        initial_boot: false,
        quorum_member: false,
        machine_faults: 1,
        state_dir: None,
        heartbeat_interval: Duration::from_secs(1),
        drain_timeout: Duration::from_secs(3),
        shutdown_grace: Duration::from_secs(6),
        retry_ratio: 0.2,
        retry_window: Duration::from_secs(10),
        retry_allowance: RETRY_ALLOWANCE,
        platform: None,
        revocation_limit: None,
        pass_through: false,
    }
}

/// Returns a configuration as JSON. `clients` is the JSON list of its tenants, if it has any.
pub(crate) fn configuration(revision: u64, clients: Option<&str>) -> String {
    let merged = MERGED_BACKENDS
        .map(|backend| format!("\"{backend}\""))
        .join(",");
    let routes = [
        route(
            "all",
            "idempotent",
            &format!(r#""fanout":[{merged}],"result_limit":{RECORD_LIMIT},"min_coverage":0.3"#),
        ),
        route(
            "one",
            "idempotent",
            &format!(r#""backend":"{}""#, MERGED_BACKENDS[0]),
        ),
        route(
            "open",
            "idempotent",
            &format!(r#""public":true,"backend":"{}""#, MERGED_BACKENDS[0]),
        ),
        route(
            "once",
            "mutating",
            &format!(r#""backend":"{MUTATING_BACKEND}""#),
        ),
    ];
    let clients = clients.map_or(String::new(), |clients| format!(r#","clients":{clients}"#));
    format!(
        r#"{{"revision":{revision},"route_table":[{}],"backends":[]{clients}}}"#,
        routes.join(",")
    )
}

fn route(name: &str, mode: &str, destination: &str) -> String {
    format!(
        r#"{{"label":"{name}","host":"{HOST}","path_prefix":"/{name}/","mode":"{mode}",
            "limit_ms":{ROUTE_TIMEOUT_MS},"target_ms":100,"rank":1,"tries":3,{destination}}}"#
    )
}
