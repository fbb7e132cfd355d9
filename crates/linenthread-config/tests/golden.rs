//! Compatibility of both file formats with commit 464716d: every key is read as it was then.
//!
//! Never change the texts to make a test pass: operators' files and state directories contain such documents.

use std::time::Duration;

use linenthread_config::{Configuration, Mode, Settings};

const SETTINGS: &str = "# a comment\nnode_name=control-1\nzone=zone-a\nip_addr=10.1.0.3\nprovides=control\n\
    bind.ingress=10.1.0.3:8080\nbind.readiness=10.1.0.3:8081\nbind.control_plane=10.1.0.3:8729\n\
    port_range=7120,7135\nbootstrap_peers=10.1.0.3:8729,10.2.0.4:8729\ninitial_boot=true\n\
    quorum_member=true\nfault_budget.machine_faults=2\nstate_dir=/data/control\nheartbeat_ms=1200\n\
    limits_table.drain_ms=3100\nlimits_table.grace_s=6.5\nlimits_table.retry_ratio=0.2\n\
    limits_table.retry_window_s=11\nlimits_table.retry_allowance=4.5\n";

const CONFIGURATION: &str = r#"{
    "revision": 312,
    "route_table": [
        {"label": "find", "host": "search.example", "path_prefix": "/find/", "mode": "idempotent",
         "limit_ms": 600, "target_ms": 250.5, "rank": -3, "tries": 2,
         "fanout": ["shard-1", "shard-2"], "result_limit": 40, "min_coverage": 0.75},
        {"label": "put", "host": "search.example", "path_prefix": "/put/", "mode": "mutating",
         "limit_ms": 900, "backend": "shard-1"},
        {"label": "mixed", "host": "other.example", "path_prefix": "/", "mode": "idempotent",
         "limit_ms": 700, "apportion": [{"backend": "shard-1", "share": 0.25},
                                        {"backend": "shard-2", "share": 0.75}]}
    ],
    "backends": [
        {"label": "shard-1", "probe_path": "/ready", "max_conns": 68},
        {"label": "shard-2"}
    ],
    "constraints": {"header_bytes": 8000, "payload_bytes": 100000, "header_ms": 2000, "quiet_ms": 9000}
}"#;

#[test]
fn every_setting_is_read_from_its_key() {
    let read = Settings::parse(SETTINGS).expect("valid settings");
    let address = |text: &str| text.parse().expect("an address");
    let expected = Settings {
        node_name: "control-1".to_owned(),
        zone: "zone-a".to_owned(),
        ip_addr: "10.1.0.3".parse().expect("an address"),
        ingress_bind: Some(address("10.1.0.3:8080")),
        readiness_bind: Some(address("10.1.0.3:8081")),
        control_bind: Some(address("10.1.0.3:8729")),
        peers_port: 7_120,
        bootstrap_peers: vec![address("10.1.0.3:8729"), address("10.2.0.4:8729")],
        initial_boot: true,
        quorum_member: true,
        machine_faults: 2,
        state_dir: Some("/data/control".to_owned()),
        heartbeat_interval: Duration::from_millis(1_200),
        drain_timeout: Duration::from_millis(3_100),
        shutdown_grace: Duration::from_millis(6_500),
        retry_ratio: 0.2,
        retry_window: Duration::from_millis(11_000),
        retry_allowance: 4.5,
        platform: None,
        revocation_limit: None,
        pass_through: false,
    };
    assert_eq!(read, expected);
}

#[test]
fn every_configuration_field_is_read_from_its_key() {
    let read = Configuration::parse(CONFIGURATION.as_bytes()).expect("a valid configuration");
    assert_eq!(read.revision, 312);
    let [find, put, mixed] = &read.routes[..] else {
        panic!("three routes");
    };
    assert_eq!(
        (find.name.as_str(), find.host.as_str()),
        ("find", "search.example")
    );
    assert_eq!(
        (find.path_prefix.as_str(), find.mode),
        ("/find/", Mode::Idempotent)
    );
    assert_eq!(
        (find.timeout_ms, find.latency_target_ms),
        (600.0, Some(250.5))
    );
    assert_eq!((find.priority, find.max_attempts), (-3, 2));
    let shards = ["shard-1".to_owned(), "shard-2".to_owned()];
    assert_eq!(find.fanout.as_deref(), Some(&shards[..]));
    assert_eq!((find.result_limit, find.min_coverage), (40, 0.75));
    assert_eq!(
        (put.mode, put.max_attempts, put.priority),
        (Mode::Mutating, 1, 0)
    );
    assert_eq!(put.backend.as_deref(), Some("shard-1"));
    let weighted = mixed.weighted_backends.as_ref().expect("weights");
    let weights: Vec<_> = weighted
        .iter()
        .map(|w| (w.backend.as_str(), w.weight))
        .collect();
    assert_eq!(weights, [("shard-1", 0.25), ("shard-2", 0.75)]);
    let [first, second] = &read.backends[..] else {
        panic!("two backends");
    };
    assert_eq!(first.name, "shard-1");
    assert_eq!(first.health_check_path.as_deref(), Some("/ready"));
    assert_eq!(
        (first.max_connections, second.max_connections),
        (Some(68), None)
    );
    let limits = &read.limits;
    assert_eq!(
        (limits.max_header_bytes, limits.max_body_bytes),
        (8_000, 100_000)
    );
    assert_eq!(
        (limits.header_timeout, limits.idle_timeout),
        (Duration::from_millis(2_000), Duration::from_millis(9_000))
    );
}
