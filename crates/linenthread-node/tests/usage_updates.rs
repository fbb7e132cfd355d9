//! Usage counts that an ingress node sends to a control node, up to the last request of its shutdown. The ingress node
//! is a real process; the test simulates the control node and the replica.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command};
use std::sync::{Arc, Mutex};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::{Duration, Instant};

use bytes::BytesMut;
use linenthread_messages::{
    Heartbeat, Hello, IngressUpdate, PeerMessage, Replica, UsageUpdate, VERSION, Value, decode,
    encode,
};

const CONTROL_IP: &str = "127.77.1.1";
const INGRESS_IP: &str = "127.77.1.2";
const REPLICA: &str = "127.77.1.3:17130";
const PEERS_PORT: u16 = 17_130;
const CLIENTS_PORT: u16 = 17_131;
const TENANT: &str = "milo40";
const KEY: &str = "key-of-milo40";
/// The agreed wall-clock time when the control node accepts the session.
const AGREED_START_MS: u64 = 1_767_225_600_000;
/// The interval between heartbeats of the control node. It is so short that bytes are always in transit to the ingress
/// node.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(5);
/// The timeout for anything that the test waits for.
const TIMEOUT: Duration = Duration::from_secs(20);
/// How long the replica takes for the request in flight during the shutdown. The request completes after the ingress
/// node has stopped accepting connections, 2.6 s after SIGTERM.
const LAST_REQUEST_DURATION: Duration = Duration::from_millis(3_200);

/// The greatest count of the tenant in each window, over all updates so far.
type UsageCounts = Arc<Mutex<BTreeMap<u64, u64>>>;

/// Returns the number of requests of the tenant in all windows.
fn total(counts: &UsageCounts) -> u64 {
    counts.lock().unwrap().values().sum()
}

fn merge_update(counts: &UsageCounts, update: &UsageUpdate) {
    for usage in &update.ingress_nodes {
        assert_eq!(usage.name, "ingress");
        for window in &usage.windows {
            for count in &window.tenants {
                assert_eq!(count.tenant, TENANT);
                let mut counts = counts.lock().unwrap();
                let known = counts.entry(window.window).or_default();
                *known = count.requests.max(*known);
            }
        }
    }
}

fn configuration() -> Vec<u8> {
    format!(
        r#"{{"revision":1,"route_table":[{{"label":"one","host":"h","path_prefix":"/","mode":"idempotent",
            "limit_ms":8000,"target_ms":4000,"rank":1,"tries":1,"backend":"s"}}],"backends":[],
            "clients":[{{"label":"{TENANT}","credentials":["{KEY}"]}}]}}"#
    )
    .into_bytes()
}

/// Creates the first messages of the control node.
fn initial_messages() -> [PeerMessage; 2] {
    let hello = Hello {
        version: VERSION,
        name: "control".into(),
        zone: "z".into(),
        incarnation: 7,
        ..Hello::default()
    };
    let update = IngressUpdate {
        change_log_id: 7,
        change_log_offset: 1,
        complete: true,
        registry_complete: true,
        value_confirmed: true,
        replicas: vec![Replica {
            id: "r".into(),
            backend: "s".into(),
            address: REPLICA.into(),
            zone: "z".into(),
            capacity: 4,
            ..Replica::default()
        }],
        value: Some(Value {
            number: 1,
            revision: 1,
            document: configuration().into(),
            ..Value::default()
        }),
        ..IngressUpdate::default()
    };
    [
        PeerMessage::Hello(hello),
        PeerMessage::IngressUpdate(update),
    ]
}

/// Sends the initial messages and then heartbeats, until the connection has ended.
fn send_control_messages(mut stream: TcpStream) {
    let started_at = Instant::now();
    let mut bytes = BytesMut::new();
    initial_messages()
        .into_iter()
        .for_each(|message| encode(message, &mut bytes));
    while stream.write_all(&bytes).is_ok() {
        sleep(HEARTBEAT_INTERVAL);
        bytes.clear();
        let elapsed_ms = u64::try_from(started_at.elapsed().as_millis()).unwrap();
        let heartbeat = Heartbeat {
            has_quorum: true,
            agreed_time_ms: Some(AGREED_START_MS + elapsed_ms),
            ..Heartbeat::default()
        };
        encode(PeerMessage::Heartbeat(heartbeat), &mut bytes);
    }
}

/// Simulates a control node for one session. Returns whether the ingress node closed the session gracefully.
fn simulate_control_node(listener: &TcpListener, counts: &UsageCounts) -> bool {
    let (mut stream, _) = listener.accept().unwrap();
    let writer = stream.try_clone().unwrap();
    spawn(move || send_control_messages(writer));
    let (mut buffer, mut chunk) = (BytesMut::new(), [0; 4_096]);
    loop {
        while let Some(message) = decode(&mut buffer).unwrap() {
            if let PeerMessage::UsageUpdate(update) = message {
                merge_update(counts, &update);
            }
        }
        match stream.read(&mut chunk) {
            Ok(0) => {
                let _ = stream.shutdown(std::net::Shutdown::Both);
                return true;
            }
            Ok(length) => buffer.extend_from_slice(&chunk[..length]),
            Err(_) => return false,
        }
    }
}

/// Simulates a replica that responds to each request after the number of milliseconds in its path.
fn simulate_replica(listener: &TcpListener) {
    while let Ok((stream, _)) = listener.accept() {
        spawn(move || answer_requests(stream));
    }
}

fn answer_requests(mut stream: TcpStream) {
    let (mut text, mut chunk) = (String::new(), [0; 4_096]);
    while let Ok(length @ 1..) = stream.read(&mut chunk) {
        text.push_str(&String::from_utf8_lossy(&chunk[..length]));
        while let Some((head, rest)) = text.split_once("\r\n\r\n") {
            let (head, rest) = (head.to_owned(), rest.to_owned());
            let delay_ms = head.split(['/', ' ']).find_map(|part| part.parse().ok());
            sleep(Duration::from_millis(delay_ms.unwrap_or(0)));
            let id = head
                .lines()
                .find_map(|line| line.strip_prefix("X-Attempt-Id: "));
            let response = format!(
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: {}\r\nX-Replica-Seal: s\r\nContent-Length: 0\r\n\r\n",
                id.unwrap_or_default()
            );
            if stream.write_all(response.as_bytes()).is_err() {
                return;
            }
            text = rest;
        }
    }
}

fn start_ingress_node() -> Child {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("usage_updates.conf");
    let settings = format!(
        "node_name=ingress\nzone=z\nip_addr={INGRESS_IP}\nport_range={PEERS_PORT},{}\n\
         bootstrap_peers={CONTROL_IP}:80\ninitial_boot=false\nheartbeat_ms=300\nlimits_table.retry_ratio=0.2\n\
         limits_table.grace_s=6\nlimits_table.retry_allowance=50\n\
         bind.ingress={INGRESS_IP}:{CLIENTS_PORT}\nquorum_member=false\n",
        PEERS_PORT + 9
    );
    std::fs::write(&path, settings).unwrap();
    Command::new(env!("CARGO_BIN_EXE_linenthread-node"))
        .arg("--settings")
        .arg(&path)
        .spawn()
        .unwrap()
}

/// Sends a request to which the replica responds after `delay`. Returns the status, or `None` if there is no response.
fn query(delay: Duration, id: &str) -> Option<u16> {
    let address: SocketAddr = format!("{INGRESS_IP}:{CLIENTS_PORT}").parse().unwrap();
    let mut stream = TcpStream::connect(address).ok()?;
    let request = format!(
        "GET /{} HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: {id}\r\nAuthorization: Bearer {KEY}\r\nConnection: close\r\n\r\n",
        delay.as_millis()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut response = String::new();
    stream.read_to_string(&mut response).ok()?;
    response.split(' ').nth(1)?.parse().ok()
}

fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(
            Instant::now() < deadline,
            "timeout while waiting until {description}"
        );
        sleep(Duration::from_millis(20));
    }
}

fn terminate(process: &Child) {
    let id = process.id().to_string();
    let sent = Command::new("kill").args(["-TERM", &id]).status();
    assert!(sent.unwrap().success());
}

/// The last request that completes during a shutdown must still be counted at the control node. Bytes from the control
/// node are always in transit to the ingress node, so closing the connection too early would reset it and could lose
/// the last counts.
#[test]
fn a_control_node_receives_the_counts_of_all_requests_including_the_last_of_a_shutdown() {
    let replica = TcpListener::bind(REPLICA).unwrap();
    spawn(move || simulate_replica(&replica));
    let control = TcpListener::bind((CONTROL_IP, PEERS_PORT)).unwrap();
    let counts = UsageCounts::default();
    let session: JoinHandle<bool> = {
        let counts = counts.clone();
        spawn(move || simulate_control_node(&control, &counts))
    };
    let mut ingress = start_ingress_node();

    wait_until("the ingress node serves requests", || {
        query(Duration::ZERO, "first") == Some(200)
    });
    wait_until("the first request is reported", || total(&counts) == 1);

    let last = spawn(|| query(LAST_REQUEST_DURATION, "last"));
    sleep(Duration::from_millis(100));
    terminate(&ingress);
    assert_eq!(last.join().unwrap(), Some(200));
    assert!(session.join().unwrap(), "the session is closed gracefully");
    assert!(ingress.wait().unwrap().success());
    assert_eq!(total(&counts), 2);
}
