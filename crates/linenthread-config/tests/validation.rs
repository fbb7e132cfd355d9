//! Validation of settings files and configurations: invalid ones are rejected with the position of the error, and valid
//! ones are decoded and routed correctly.

use std::time::Duration;

use linenthread_config::{Configuration, Destination, RoutingTable, Settings};
use yare::parameterized;

const SETTINGS: &str = "node_name=hub-1\nzone=a\nip_addr=10.1.0.3\nprovides=control\n\
    bind.control_plane=10.1.0.3:8729\nport_range=7120,7135\nbootstrap_peers=10.1.0.3:8729,10.2.0.4:8729\n\
    initial_boot=true\nquorum_member=true\nfault_budget.machine_faults=2\nstate_dir=/data/hub\n\
    heartbeat_ms=1200\nlimits_table.retry_ratio=0.2\nlimits_table.grace_s=6\nnew.field=kept out\n";

#[test]
fn settings_are_parsed() {
    let settings = Settings::parse(SETTINGS).unwrap();
    assert_eq!(settings.control_bind.unwrap().to_string(), "10.1.0.3:8729");
    assert_eq!(
        (
            settings.peers_port,
            settings.bootstrap_peers.len(),
            settings.machine_faults
        ),
        (7120, 2, 2)
    );
    assert_eq!(
        (
            settings.shutdown_grace,
            settings.retry_ratio,
            settings.initial_boot
        ),
        (Duration::from_secs(6), 0.2, true)
    );
    assert_eq!(
        (settings.ingress_bind, settings.drain_timeout),
        (None, Duration::from_secs(3))
    );
}

#[test]
fn the_error_for_a_missing_field_names_it() {
    let error = Settings::parse(&SETTINGS.replace("zone=a\n", "")).unwrap_err();
    assert_eq!(error.to_string(), "\"zone\" is a required property");
}

#[parameterized(
    fraction = { "6.5", 6_500 },
    fraction_of_a_millisecond = { "0.0019", 1 },
    zero = { "0", 0 },
    more_than_fits = { "99999999999999999999", u64::MAX },
)]
fn times_are_rounded_down_to_milliseconds(grace_seconds: &str, expected_millis: u64) {
    let text = SETTINGS.replace("grace_s=6", &format!("grace_s={grace_seconds}"));
    let settings = Settings::parse(&text).unwrap();
    assert_eq!(
        settings.shutdown_grace,
        Duration::from_millis(expected_millis)
    );
}

// Guards against accepting revoked keys without limit because these fields are not read.
#[parameterized(
    absent = { "", None },
    absent_limit = { "limits_table.revocation_total=true\n", Some(5_000) },
    both = { "limits_table.revocation_total=true\nlimits_table.revoke_ms=1500.9\n", Some(1_500) },
    at_once = { "limits_table.revocation_total=true\nlimits_table.revoke_ms=0\n", Some(0) },
    off = { "limits_table.revocation_total=false\nlimits_table.revoke_ms=70\n", None },
)]
fn the_revocation_limit_is_read(fields: &str, expected_millis: Option<u64>) {
    let settings = Settings::parse(&format!("{SETTINGS}{fields}")).unwrap();
    let expected = expected_millis.map(Duration::from_millis);
    assert_eq!(settings.revocation_limit, expected);
}

#[test]
fn a_heartbeat_interval_of_zero_becomes_one_millisecond() {
    let settings = Settings::parse(&SETTINGS.replace("heartbeat_ms=1200", "heartbeat_ms=0"));
    assert_eq!(
        settings.unwrap().heartbeat_interval,
        Duration::from_millis(1)
    );
}

#[parameterized(
    rounded_down = { "1.9", 1 },
    limited = { "1000", 16 },
)]
fn machine_faults_are_rounded_down_and_limited(machine_faults: &str, expected: usize) {
    let field = format!("machine_faults={machine_faults}");
    let settings = Settings::parse(&SETTINGS.replace("machine_faults=2", &field)).unwrap();
    assert_eq!(settings.machine_faults, expected);
}

#[parameterized(
    no_equals_sign = { "zone=a", "zone", "line 2", "not field=value" },
    duplicate_field = { "zone=a", "zone=a\nzone=b", "line 3", "given twice" },
    invalid_address = { "bind.control_plane=10.1.0.3:8729", "bind.control_plane=hub:80", "line 5", "match" },
    invalid_flag = { "initial_boot=true", "initial_boot=yes", "line 8", "yes" },
    invalid_revocation = { "new.field=kept out", "limits_table.revocation_total=1", "line 15", "not one of" },
    invalid_number = { "limits_table.grace_s=6", "limits_table.grace_s=six", "line 14", "six" },
    empty_port_range = { "port_range=7120,7135", "port_range=7135,7120", "line 6", "no port" },
    port_too_high = { "port_range=7120,7135", "port_range=71200,71350", "line 6", "number too large" },
    missing_name = { "node_name=hub-1\n", "", "", "node_name" },
    missing_state_dir = { "state_dir=/data/hub\n", "", "state_dir", "needed" },
    nothing_to_serve = { "bind.control_plane=10.1.0.3:8729\n", "", "bind.ingress", "nothing to serve" },
)]
fn invalid_settings_are_rejected_with_their_line_or_field(
    good: &str,
    bad: &str,
    position: &str,
    cause: &str,
) {
    let error = Settings::parse(&SETTINGS.replacen(good, bad, 1))
        .unwrap_err()
        .to_string();
    assert!(error.contains(position) && error.contains(cause), "{error}");
}

fn configuration(routes: &str) -> String {
    let backends = r#"[{"label":"s1","max_conns":68},{"label":"s2"},{"label":"s3"}]"#;
    format!(
        r#"{{"revision":3,"route_table":[{routes}],"backends":{backends},"constraints":{{"quiet_ms":9}}}}"#
    )
}

fn route(host: &str, prefix: &str, rest: &str) -> String {
    format!(
        r#"{{"label":"r","host":"{host}","path_prefix":"{prefix}","mode":"idempotent",
            "limit_ms":600,{rest}}}"#
    )
}

#[parameterized(
    not_json = { "{".into(), "line 1", "EOF" },
    unknown_backend = { configuration(&route("h", "/a/", r#""backend":"s9""#)), "/route_table/0", "s9" },
    unknown_fanout_backend = { configuration(&route("h", "/a/", r#""fanout":["s1","s9"]"#)), "/route_table/0", "s9" },
    duplicate_route = {
        configuration(
            &[route("h", "/a/", r#""backend":"s1""#), route("H", "/a/", r#""backend":"s2""#)].join(",")
        ),
        "/route_table/1", "twice"
    },
    zero_weights = {
        configuration(&route("h", "/a/", r#""apportion":[{"backend":"s1","share":0}]"#)),
        "/route_table/0", "sum to 0"
    },
    zero_timeout = {
        configuration(&route("h", "/a/", r#""backend":"s1""#))
            .replace(r#""limit_ms":600"#, r#""limit_ms":0"#),
        "/route_table/0/limit_ms", "0"
    },
    no_destination = { configuration(&route("h", "/a/", r#""tries":2"#)), "/route_table/0", "" },
    two_destinations = {
        configuration(&route("h", "/a/", r#""backend":"s1","fanout":["s2"]"#)), "/route_table/0", ""
    },
    prefix_without_slash = { configuration(&route("h", "/a", r#""backend":"s1""#)), "/route_table/0/path_prefix", "" },
    missing_revision = { configuration("").replace(r#""revision":3,"#, ""), "", "revision" },
    mutating_fanout = {
        configuration(&route("h", "/a/", r#""fanout":["s1"]"#)).replace("idempotent", "mutating"),
        "/route_table/0", "idempotent"
    },
)]
fn invalid_configurations_are_rejected_with_their_json_path(
    document: String,
    path: &str,
    cause: &str,
) {
    let error = Configuration::parse(document.as_bytes())
        .unwrap_err()
        .to_string();
    assert!(error.contains(path) && error.contains(cause), "{error}");
}

#[parameterized(
    longest = { "h", "/a/b/c", Some("/a/b/") },
    shorter = { "h", "/a/x", Some("/a/") },
    exact = { "h", "/a/", Some("/a/") },
    not_at_a_slash = { "h", "/ab", None },
    other_host = { "g", "/a/b/c", None },
    any_case_and_port = { "H:80", "/a/x", Some("/a/") },
)]
fn the_route_with_the_longest_matching_prefix_is_used(
    host: &str,
    path: &str,
    prefix: Option<&str>,
) {
    let two = [
        route("h", "/a/", r#""backend":"s1""#),
        route("h", "/a/b/", r#""fanout":["s1","s2"]"#),
    ];
    let table =
        RoutingTable::new(Configuration::parse(configuration(&two.join(",")).as_bytes()).unwrap());
    assert_eq!(
        table.find(host, path).map(|p| p.route.path_prefix.as_str()),
        prefix
    );
    assert_eq!(
        (table.limits.idle_timeout, table.limits.max_header_bytes),
        (Duration::from_millis(9), 16_384)
    );
}

#[test]
fn backends_are_picked_in_proportion_to_their_weights() {
    let shares = r#""apportion":[{"backend":"s1","share":1},{"backend":"s2","share":0},{"backend":"s3","share":3}]"#;
    let table = RoutingTable::new(
        Configuration::parse(configuration(&route("h", "/", shares)).as_bytes()).unwrap(),
    );
    let destination = &table.routes[0].destination;
    let picked = |sample: f64| {
        destination
            .pick(sample)
            .map(std::string::ToString::to_string)
            .unwrap()
    };
    assert_eq!(
        [picked(0.0), picked(0.249), picked(0.25), picked(0.999)],
        ["s1", "s1", "s3", "s3"]
    );
    assert!(matches!(destination, Destination::Weighted(_)));
}
