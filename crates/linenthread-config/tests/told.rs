//! What the system is told: each fault names its place, and what is good is read as it was meant.

use linenthread_config::{Configuration, Plan, Settings, Target};
use yare::parameterized;

const SETTINGS: &str = "node_name=hub-1\nzone=a\nip_addr=10.1.0.3\nprovides=control\n\
    bind.control_plane=10.1.0.3:8729\nport_range=7120,7135\nbootstrap_peers=10.1.0.3:8729,10.2.0.4:8729\n\
    initial_boot=true\nquorum_member=true\nfault_budget.machine_faults=2\nstate_dir=/data/hub\n\
    heartbeat_ms=1200\nlimits_table.retry_ratio=0.2\nlimits_table.grace_s=6\nnew.field=kept out\n";

#[test]
fn settings_are_read() {
    let read = Settings::read(SETTINGS).unwrap();
    assert_eq!(read.control.unwrap().to_string(), "10.1.0.3:8729");
    assert_eq!(
        (
            read.peers_port,
            read.bootstrap_peers.len(),
            read.machine_faults
        ),
        (7120, 2, 2)
    );
    assert_eq!(
        (read.grace_ms, read.retry_ratio, read.initial_boot),
        (6_000, 0.2, true)
    );
    assert_eq!((read.ingress, read.drain_ms), (None, 3_000));
}

#[parameterized(
    no_pair = { "zone=a", "zone", "line 2", "not field=value" },
    twice = { "zone=a", "zone=a\nzone=b", "line 3", "given twice" },
    no_address = { "bind.control_plane=10.1.0.3:8729", "bind.control_plane=hub:80", "line 5", "match" },
    no_flag = { "initial_boot=true", "initial_boot=yes", "line 8", "yes" },
    no_number = { "limits_table.grace_s=6", "limits_table.grace_s=six", "line 14", "six" },
    no_port = { "port_range=7120,7135", "port_range=7135,7120", "line 6", "no port" },
    port_too_high = { "port_range=7120,7135", "port_range=71200,71350", "line 6", "number too large" },
    no_name = { "node_name=hub-1\n", "", "", "node_name" },
    no_disk = { "state_dir=/data/hub\n", "", "state_dir", "needed" },
    nothing_to_serve = { "bind.control_plane=10.1.0.3:8729\n", "", "bind.ingress", "nothing to serve" },
)]
fn a_bad_setting_is_told_with_its_place(good: &str, bad: &str, place: &str, cause: &str) {
    let said = Settings::read(&SETTINGS.replacen(good, bad, 1))
        .unwrap_err()
        .to_string();
    assert!(said.contains(place) && said.contains(cause), "{said}");
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
    unknown_service = { configuration(&route("h", "/a/", r#""backend":"s9""#)), "/route_table/0", "s9" },
    unknown_shard = { configuration(&route("h", "/a/", r#""fanout":["s1","s9"]"#)), "/route_table/0", "s9" },
    one_place_twice = {
        configuration(
            &[route("h", "/a/", r#""backend":"s1""#), route("H", "/a/", r#""backend":"s2""#)].join(",")
        ),
        "/route_table/1", "twice"
    },
    no_weight = {
        configuration(&route("h", "/a/", r#""apportion":[{"backend":"s1","share":0}]"#)),
        "/route_table/0", "sum to 0"
    },
    no_time = {
        configuration(&route("h", "/a/", r#""backend":"s1""#))
            .replace(r#""limit_ms":600"#, r#""limit_ms":0"#),
        "/route_table/0/limit_ms", "0"
    },
    no_target = { configuration(&route("h", "/a/", r#""tries":2"#)), "/route_table/0", "" },
    two_targets = {
        configuration(&route("h", "/a/", r#""backend":"s1","fanout":["s2"]"#)), "/route_table/0", ""
    },
    open_prefix = { configuration(&route("h", "/a", r#""backend":"s1""#)), "/route_table/0/path_prefix", "" },
    no_revision = { configuration("").replace(r#""revision":3,"#, ""), "", "revision" },
    mutating_fanout = {
        configuration(&route("h", "/a/", r#""fanout":["s1"]"#)).replace("idempotent", "mutating"),
        "/route_table/0", "idempotent"
    },
)]
fn a_bad_configuration_is_told_with_its_place(document: String, place: &str, cause: &str) {
    let said = Configuration::judge(document.as_bytes())
        .unwrap_err()
        .to_string();
    assert!(said.contains(place) && said.contains(cause), "{said}");
}

#[parameterized(
    longest = { "h", "/a/b/c", Some("/a/b/") },
    shorter = { "h", "/a/x", Some("/a/") },
    exact = { "h", "/a/", Some("/a/") },
    not_whole = { "h", "/ab", None },
    other_host = { "g", "/a/b/c", None },
    any_case_and_port = { "H:80", "/a/x", Some("/a/") },
)]
fn the_longest_prefix_of_the_host_wins(host: &str, path: &str, prefix: Option<&str>) {
    let two = [
        route("h", "/a/", r#""backend":"s1""#),
        route("h", "/a/b/", r#""fanout":["s1","s2"]"#),
    ];
    let plan = Plan::new(Configuration::judge(configuration(&two.join(",")).as_bytes()).unwrap());
    assert_eq!(
        plan.route(host, path).map(|p| p.route.path_prefix.as_str()),
        prefix
    );
    assert_eq!(
        (plan.constraints.quiet_ms, plan.constraints.header_bytes),
        (9, 16_384)
    );
}

#[test]
fn shares_are_drawn_as_weighed() {
    let shares = r#""apportion":[{"backend":"s1","share":1},{"backend":"s2","share":0},{"backend":"s3","share":3}]"#;
    let plan = Plan::new(
        Configuration::judge(configuration(&route("h", "/", shares)).as_bytes()).unwrap(),
    );
    let target = &plan.routes[0].target;
    let drawn = |n: f64| {
        target
            .drawn(n)
            .map(std::string::ToString::to_string)
            .unwrap()
    };
    assert_eq!(
        [drawn(0.0), drawn(0.249), drawn(0.25), drawn(0.999)],
        ["s1", "s1", "s3", "s3"]
    );
    assert!(matches!(target, Target::One(_)));
}
