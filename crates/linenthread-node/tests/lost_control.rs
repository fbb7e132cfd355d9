//! An ingress node that loses contact with all control nodes while a tenant's requests arrive; processes on loopback.

use std::path::Path;
use std::time::Duration;

use linenthread_ctl::control_api::{BASE_REVISION_HEADER, REPLACE_CONFIGURATION_PATH};
use linenthread_ctl::{Client, Request};
use linenthread_demo::{Cluster, Order};
use serde_json::{Value, json};

/// The timeout for an expected log line.
const LOG_TIMEOUT: Duration = Duration::from_secs(20);
/// The timeout of one request or call.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// How many requests are sent while waiting for a status.
const MAX_REQUESTS: usize = 300;
/// The interval between these requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
const MACHINES: [&str; 4] = ["control-1", "control-2", "control-3", "ingress-1"];
const CONTROL_NODES: [&str; 3] = ["control-1", "control-2", "control-3"];
const KEY: &str = "key-of-milo40";

/// Starts three control nodes, and an ingress node that accepts keys for 1.5 s without contact with them.
fn cluster() -> Cluster {
    let mut cluster = Cluster::new(Path::new(env!("CARGO_BIN_EXE_linenthread-node"))).unwrap();
    cluster
        .set_further_settings("limits_table.revocation_total=true\nlimits_table.revoke_ms=1500\n");
    cluster.start(3, 1).unwrap();
    for node in CONTROL_NODES {
        assert!(cluster.wait_for_line(node, &["event=control_listening"], LOG_TIMEOUT));
    }
    cluster.start_replicas("s1", 2).unwrap();
    commit_configuration(&cluster);
    assert!(cluster.wait_for_line("ingress-1", &["event=configuration_confirmed"], LOG_TIMEOUT));
    cluster
}

/// Commits a configuration with one tenant.
fn commit_configuration(cluster: &Cluster) {
    let order = Order::new(0, 1, &["s1"], 0);
    let mut document: Value = serde_json::from_slice(&order.document).unwrap();
    document["clients"] = json!([{"label": "milo40", "credentials": [KEY]}]);
    let document = document.to_string();
    let client = Client {
        addresses: cluster.control_addresses(),
        timeout: REQUEST_TIMEOUT,
    };
    let request = Request {
        method: "POST",
        path: REPLACE_CONFIGURATION_PATH,
        headers: &[(BASE_REVISION_HEADER, "0".to_owned())],
        body: document.as_bytes(),
    };
    assert_eq!(client.send(&request, 20).unwrap().status, 200);
}

/// Sends a request of the tenant. Returns the status of the response, or 0 if there is none.
fn request_status(cluster: &Cluster, number: usize) -> u16 {
    let headers = [
        ("Host", "index.example".to_owned()),
        ("X-Attempt-Id", format!("a{number}")),
        ("X-Remaining-Ms", "3000".to_owned()),
        ("Authorization", format!("Bearer {KEY}")),
    ];
    let request = Request {
        method: "GET",
        path: "/s1/x",
        headers: &headers,
        body: &[],
    };
    let peer = cluster.ingress_address("ingress-1").unwrap();
    let response = request.send_to(peer, REQUEST_TIMEOUT);
    response.map_or(0, |response| response.status)
}

/// Sends requests until a response has the expected status. Returns whether there was one.
fn wait_for_status(cluster: &Cluster, expected: u16) -> bool {
    (0..MAX_REQUESTS).any(|number| {
        std::thread::sleep(REQUEST_INTERVAL);
        request_status(cluster, number) == expected
    })
}

// Guards against heartbeats that do not count as contact, contact that is assumed while no control node runs, and keys
// in the logs.
#[test]
fn a_tenant_is_rejected_without_control_nodes_and_its_key_is_not_logged() {
    let mut cluster = cluster();
    assert!(wait_for_status(&cluster, 200));
    for node in CONTROL_NODES {
        let lines = cluster.lines_with_any(node, &[KEY]);
        assert!(lines.is_empty(), "{lines:?}");
        cluster.kill(node);
    }
    assert!(wait_for_status(&cluster, 503));
    // The tenant is still rejected later.
    std::thread::sleep(Duration::from_secs(2));
    assert_eq!(request_status(&cluster, MAX_REQUESTS), 503);
    for node in CONTROL_NODES {
        cluster.start_process(node).unwrap();
    }
    assert!(wait_for_status(&cluster, 200));
    for machine in MACHINES {
        let lines = cluster.lines_with_any(machine, &[KEY]);
        assert!(lines.is_empty(), "{lines:?}");
    }
}
