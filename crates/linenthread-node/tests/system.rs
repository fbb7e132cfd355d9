//! System tests with processes on loopback, for behaviour that depends on real sockets, signals and disks. The tests
//! wait for lines in the logs of the processes, with a timeout.

use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::Duration;

use linenthread_demo::{Cluster, Signal, records};

/// The timeout for an expected log line.
const LOG_TIMEOUT: Duration = Duration::from_secs(20);
const BACKENDS: [&str; 3] = ["s1", "s2", "s3"];

fn start_cluster(control_nodes: usize, ingress_nodes: usize) -> Cluster {
    let mut cluster = Cluster::new(Path::new(env!("CARGO_BIN_EXE_linenthread-node"))).unwrap();
    cluster.start(control_nodes, ingress_nodes).unwrap();
    for number in 1..=control_nodes {
        assert!(cluster.wait_for_line(
            &format!("control-{number}"),
            &["event=control_listening"],
            LOG_TIMEOUT
        ));
    }
    for backend in BACKENDS {
        cluster.start_replicas(backend, 2).unwrap();
    }
    assert_eq!(cluster.configure(0, 1, &BACKENDS).unwrap().status, 200);
    for number in 1..=ingress_nodes {
        assert!(cluster.wait_for_line(
            &format!("ingress-{number}"),
            &["event=configuration_applied", "revision=1"],
            LOG_TIMEOUT
        ));
        assert!(cluster.wait_for_line(
            &format!("ingress-{number}"),
            &["event=configuration_confirmed"],
            LOG_TIMEOUT
        ));
        assert!(cluster.wait_for_line(
            &format!("ingress-{number}"),
            &["event=replicas_updated", "present=6"],
            LOG_TIMEOUT
        ));
    }
    cluster
}

/// Returns the five greatest records of all backends.
fn expected_records(path: &str) -> Vec<u8> {
    let all: Vec<u8> = BACKENDS.iter().flat_map(|s| records(s, path)).collect();
    let mut records: Vec<&[u8]> = all.chunks(16).collect();
    records.sort();
    records
        .iter()
        .rev()
        .take(5)
        .flat_map(|r| r.iter().copied())
        .collect()
}

/// Repeats a query until a complete response arrives, for a limited number of times.
fn complete_response(
    cluster: &Cluster,
    ingress_node: &str,
    path: &str,
    id_prefix: &str,
) -> Option<linenthread_ctl::Response> {
    (0..200).find_map(|number| {
        let response = cluster
            .query(ingress_node, path, &format!("{id_prefix}-{number}"))
            .ok()?;
        (response.status == 200 && response.head.header("x-missing-parts") == Some("0"))
            .then_some(response)
    })
}

#[test]
fn responses_are_merged_and_each_sub_request_ran_on_the_replica_in_its_seal() {
    let cluster = start_cluster(3, 1);
    let response =
        complete_response(&cluster, "ingress-1", "/all/x?y=1", "a").expect("a complete response");
    assert_eq!(response.body, expected_records("/all/x?y=1"));
    let attempt = response.head.header("x-attempt-id").unwrap().to_owned();
    let seals = response.head.header("x-part-seals").unwrap();
    let backends: BTreeSet<&str> = seals
        .split(", ")
        .map(|s| s.split('.').next().unwrap())
        .collect();
    assert_eq!(backends, BTreeSet::from(BACKENDS));
    let ran = |r: &linenthread_demo::Replica| {
        r.received_requests()
            .iter()
            .any(|r| r.attempt == attempt && r.path == "/all/x?y=1")
    };
    for seal in seals.split(", ") {
        let replica_id = seal.split('.').nth(1).unwrap();
        assert!(
            cluster
                .replicas
                .iter()
                .any(|r| r.id == replica_id && ran(r)),
            "{seal}"
        );
    }
}

#[test]
fn queries_are_answered_after_a_replica_has_crashed() {
    let mut cluster = start_cluster(3, 1);
    complete_response(&cluster, "ingress-1", "/all/x", "a").expect("a complete response");
    cluster.replicas[0].crash();
    let response = complete_response(&cluster, "ingress-1", "/all/y", "b")
        .expect("a complete response from the others");
    assert_eq!(response.body, expected_records("/all/y"));
}

#[test]
fn a_control_node_that_lost_its_disk_votes_with_a_new_id_and_nothing_is_lost() {
    let mut cluster = start_cluster(3, 1);
    cluster.kill("control-1");
    cluster.erase_disk("control-1").unwrap();
    assert_eq!(cluster.configure(1, 4, &BACKENDS).unwrap().status, 200);
    cluster.forget_lines("control-2");
    cluster.start_process("control-1").unwrap();
    assert!(cluster.wait_for_line(
        "control-1",
        &["event=control_started", "empty=true", "genesis=false"],
        LOG_TIMEOUT
    ));
    // Replacing the voter takes a separate value, which the new node learns.
    assert!(cluster.wait_for_line(
        "control-1",
        &["event=value_decided", "number=3", "revision=4"],
        LOG_TIMEOUT
    ));
    // The new node and control-3 are a majority, so control-2 may be lost now.
    cluster.kill("control-2");
    assert_eq!(cluster.configure(4, 9, &BACKENDS).unwrap().status, 200);
    assert!(cluster.wait_for_line(
        "ingress-1",
        &["event=configuration_applied", "revision=9"],
        LOG_TIMEOUT
    ));
}

#[test]
fn control_nodes_that_restart_together_keep_the_acknowledged_configuration() {
    let mut cluster = start_cluster(3, 1);
    for node in ["control-1", "control-2", "control-3"] {
        cluster.kill(node);
    }
    // The ingress node continues with its last configuration and replicas.
    assert!(complete_response(&cluster, "ingress-1", "/all/z", "a").is_some());
    for node in ["control-1", "control-2", "control-3"] {
        cluster.start_process(node).unwrap();
    }
    for node in ["control-1", "control-2", "control-3"] {
        assert!(cluster.wait_for_line(node, &["event=control_listening"], LOG_TIMEOUT));
    }
    let client = linenthread_ctl::Client {
        addresses: cluster.control_addresses(),
        timeout: Duration::from_secs(2),
    };
    let read = (0..200).find_map(|_| {
        client
            .send(&linenthread_ctl::Request::get("/Configuration.Read"), 5)
            .ok()
            .filter(|r| r.status == 200)
    });
    let read: serde_json::Value = serde_json::from_slice(&read.expect("a response").body).unwrap();
    assert_eq!(read["revision"], 1);
    assert_eq!(cluster.configure(0, 5, &BACKENDS).unwrap().status, 412);
}

#[test]
fn an_ingress_node_answers_partially_read_requests_during_a_shutdown_and_exits_cleanly() {
    let mut cluster = start_cluster(1, 1);
    complete_response(&cluster, "ingress-1", "/all/x", "a").expect("a complete response");
    let ingress = cluster.ingress_address("ingress-1").unwrap();
    let mut open = TcpStream::connect(ingress).unwrap();
    let mut idle = TcpStream::connect(ingress).unwrap();
    let request = |id: &str| {
        format!(
            "GET /s1/x HTTP/1.1\r\nHost: index.example\r\nX-Attempt-Id: {id}\r\nX-Remaining-Ms: 3000\r\n\r\n"
        )
    };
    // Only part of the request has arrived when the shutdown is requested; the rest follows afterwards.
    let text = request("half");
    open.write_all(&text.as_bytes()[..20]).unwrap();
    let shutdown = std::thread::spawn(move || {
        let exited_cleanly = cluster.shut_down("ingress-1");
        (cluster, exited_cleanly)
    });
    open.write_all(&text.as_bytes()[20..]).unwrap();
    let mut response = Vec::new();
    open.read_to_end(&mut response).unwrap();
    let response = String::from_utf8_lossy(&response).into_owned();
    assert!(
        response.starts_with("HTTP/1.1 200") && response.contains("s1.i-s1-"),
        "{response}"
    );
    let mut rest = Vec::new();
    idle.read_to_end(&mut rest).unwrap();
    assert!(rest.is_empty());
    assert!(shutdown.join().unwrap().1);
}

/// Guards against a request that is cut because the signal comes again, or another one.
#[test]
fn a_second_sigterm_and_a_sighup_do_not_cut_a_request() {
    let mut cluster = start_cluster(1, 1);
    complete_response(&cluster, "ingress-1", "/all/x", "a").expect("a complete response");
    let mut open = TcpStream::connect(cluster.ingress_address("ingress-1").unwrap()).unwrap();
    let request = "GET /s1/x HTTP/1.1\r\nHost: index.example\r\nX-Attempt-Id: b\r\nX-Remaining-Ms: 5000\r\n\r\n";
    open.write_all(&request.as_bytes()[..20]).unwrap();
    for signal in [Signal::Terminate, Signal::Reload, Signal::Terminate] {
        assert!(cluster.signal("ingress-1", signal));
        std::thread::sleep(Duration::from_millis(150));
    }
    open.write_all(&request.as_bytes()[20..]).unwrap();
    let mut response = Vec::new();
    open.read_to_end(&mut response).unwrap();
    let response = String::from_utf8_lossy(&response).into_owned();
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    let status = cluster.wait_for_exit("ingress-1", LOG_TIMEOUT);
    assert!(status.is_some_and(|status| status.success()));
}

/// Returns invalid requests to an ingress node, each with the expected status.
fn invalid_requests() -> Vec<(String, &'static str)> {
    let host = "Host: index.example\r\nX-Remaining-Ms: 900\r\n";
    vec![
        ("\0\0\0\r\n\r\n".to_owned(), "400"),
        (
            format!(
                "GET /s1/x HTTP/1.1\r\n{host}X-Attempt-Id: q\r\nContent-Length: 1\r\n\
                 Content-Length: 2\r\n\r\n"
            ),
            "400",
        ),
        (
            format!("POST /s1/x HTTP/1.1\r\n{host}X-Attempt-Id: q\r\nContent-Length: 2001\r\n\r\n"),
            "413",
        ),
        (
            format!(
                "POST /s1/x HTTP/1.1\r\n{host}X-Attempt-Id: q\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"
            ),
            "400",
        ),
        (
            format!(
                "GET /s1/x HTTP/1.1\r\n{host}X-Attempt-Id: q\r\nX-Long: {}\r\n\r\n",
                "x".repeat(5_000)
            ),
            "431",
        ),
        (
            format!("GET /s1/x HTTP/1.1\r\n{host}Connection: close\r\n\r\n"),
            "400",
        ),
        (
            format!("GET /none/x HTTP/1.1\r\n{host}X-Attempt-Id: q\r\nConnection: close\r\n\r\n"),
            "404",
        ),
    ]
}

/// Returns invalid calls to a control node, each with the expected status.
fn invalid_calls() -> Vec<(String, &'static str)> {
    let heartbeat = |body: &str| {
        format!(
            "POST /Replicas.Heartbeat/i-9 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        )
    };
    vec![
        ("\x16\x03\x01\r\n\r\n".to_owned(), "400"),
        (heartbeat("{}"), "400"),
        (
            heartbeat(
                r#"{"backend":"s","address":"here","zone":"z","phase":"available","call_count":1}"#,
            ),
            "400",
        ),
        (
            heartbeat(
                r#"{"backend":"s","address":"1.2.3.4:5","zone":"z","phase":"asleep","call_count":1}"#,
            ),
            "400",
        ),
        (
            "GET /Replicas.Heartbeat/i HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n".to_owned(),
            "405",
        ),
        (
            "GET /What.Else HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n".to_owned(),
            "404",
        ),
    ]
}

/// Sends bytes on a new connection and reads the response until the connection is closed.
fn exchange(peer: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(peer).unwrap();
    stream.write_all(bytes).unwrap();
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    String::from_utf8_lossy(&response).into_owned()
}

#[test]
fn invalid_input_is_rejected_without_side_effects() {
    let mut cluster = start_cluster(1, 1);
    complete_response(&cluster, "ingress-1", "/all/x", "a").expect("a complete response");
    let (ingress, control) = (
        cluster.ingress_address("ingress-1").unwrap(),
        cluster.control_addresses()[0],
    );
    for (peer, cases) in [(ingress, invalid_requests()), (control, invalid_calls())] {
        for (sent, status) in cases {
            let response = exchange(peer, sent.as_bytes());
            assert!(
                response.starts_with(&format!("HTTP/1.1 {status} ")),
                "{sent:?}: {response:?}"
            );
        }
    }
    // Bytes that are not a valid frame end the connection.
    let peers = SocketAddr::new(control.ip(), 17_120);
    for bytes in [
        &b"GET / HTTP/1.1\r\n\r\n"[..],
        &[0, 0, 0, 3, 0xff, 0xff, 0xff],
        &[0, 0, 0, 0],
    ] {
        exchange(peers, bytes);
    }
    assert!(cluster.wait_for_line("ingress-1", &["event=input_rejected", "peer="], LOG_TIMEOUT));
    assert!(cluster.wait_for_line(
        "control-1",
        &["event=input_rejected", "taking a call"],
        LOG_TIMEOUT
    ));
    assert!(cluster.wait_for_line(
        "control-1",
        &["event=connection_closed", "frame"],
        LOG_TIMEOUT
    ));
    assert!(cluster.is_running("ingress-1") && cluster.is_running("control-1"));
    assert!(complete_response(&cluster, "ingress-1", "/all/after", "z").is_some());
    // No replica has received any of the invalid requests.
    assert!(
        cluster
            .replicas
            .iter()
            .all(|r| r.received_requests().iter().all(|ran| ran.attempt != "q"))
    );
}
