//! Tests that no log line contains a key, however the request that carries it ends.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Mutex;
use std::time::Duration;

use linenthread_dataplane::connection::HttpConnection;
use linenthread_dataplane::{DataPlane, serve};
use linenthread_dataplane_sim::deployment::{HOST, data_plane};
use linenthread_dataplane_sim::network::Network;
use linenthread_dataplane_sim::simulation::in_simulated_time;
use log::kv::{Error, Key, Value, VisitSource};
use tokio::io::AsyncReadExt;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// A text that all keys of these tests contain, and nothing else does.
const KEY_SUBSTRING: &str = "qwertz";
/// Longer than any exchange takes.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(20);

/// All log lines, with their fields.
struct Lines(Mutex<Vec<String>>);

static LINES: Lines = Lines(Mutex::new(Vec::new()));

impl log::Log for Lines {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        let mut line = record.args().to_string();
        let fields = record.key_values().visit(&mut Fields(&mut line));
        fields.expect("fields that can be formatted");
        self.0
            .lock()
            .expect("no test panics while it logs")
            .push(line);
    }

    fn flush(&self) {}
}

/// Appends fields to a log line.
struct Fields<'a>(&'a mut String);

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.0.push_str(&format!(" {key}={value} {value:?}"));
        Ok(())
    }
}

/// Sends bytes on a new connection, and reads until it is closed.
async fn send(plane: &Rc<DataPlane<Network>>, bytes: &str) -> String {
    let (client, server) = tokio::io::duplex(16_384);
    let peer = SocketAddr::from(([127, 0, 0, 1], 1));
    spawn_local(serve(server, peer, plane.clone()));
    let (mut reader, writer) = tokio::io::split(client);
    let mut http = HttpConnection::new(tokio::io::join(tokio::io::empty(), writer));
    http.write(bytes.as_bytes(), Instant::now() + EXCHANGE_TIMEOUT)
        .await
        .expect("the request is written");
    let mut response = String::new();
    let reading = reader.read_to_string(&mut response);
    let _ = tokio::time::timeout(EXCHANGE_TIMEOUT, reading).await;
    response
}

// Guards against disclosing a key to readers of an ingress node's logs, or to a client in a response.
#[test]
fn no_log_line_and_no_response_contains_a_key() {
    log::set_logger(&LINES).expect("the only logger");
    log::set_max_level(log::LevelFilter::Trace);
    let start = format!("GET /one/x HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: a\r\n");
    let key = "Authorization: Bearer qwertz-1\r\n";
    let requests = [
        format!("{start}{key}Connection: close\r\n\r\n"),
        format!("{start}Authorization: Bearer qwertz-2\r\nConnection: close\r\n\r\n"),
        format!("{start}{key}{key}Connection: close\r\n\r\n"),
        format!("{start}{key}not a header\r\n\r\n"),
        format!("{start}Authorization: Bearer qwertz\0\r\n\r\n"),
        format!("{start}{key}Content-Length: qwertz\r\n\r\n"),
        format!("{start}{key}X-Remaining-Ms: qwertz\r\nConnection: close\r\n\r\n"),
        format!("{start}{key}X-Attempt-Id: qwertz\r\nConnection: close\r\n\r\n"),
        format!("{start}{key}X-Long: {}\r\n\r\n", "qwertz".repeat(1_000)),
    ];
    let document = format!(
        r#"{{"revision":2,"route_table":[{{"label":"one","host":"{HOST}","path_prefix":"/one/",
            "mode":"idempotent","limit_ms":1000,"backend":"s1"}}],"backends":[],
            "constraints":{{"header_bytes":1024,"payload_bytes":1024,"header_ms":3000,"quiet_ms":15000}},
            "clients":[{{"label":"acme","credentials":["qwertz-1"]}}]}}"#
    );
    // Invalid: a string in place of the list of keys, and a number in place of a key.
    let malformed = [r#""qwertz-1""#, r#"["qwertz-1",2]"#].map(|credentials| {
        document
            .replace(r#""revision":2"#, r#""revision":3"#)
            .replace(r#"["qwertz-1"]"#, credentials)
    });
    in_simulated_time(async {
        let plane = data_plane(1, Network::default(), 0.0);
        plane.apply_configuration(document.as_bytes());
        for document in &malformed {
            plane.apply_configuration(document.as_bytes());
        }
        for request in &requests {
            let response = send(&plane, request).await;
            assert!(response.starts_with("HTTP/1.1 "), "{request}: {response}");
            assert!(!response.contains(KEY_SUBSTRING), "{request}: {response}");
        }
        plane.maintain();
    });
    let lines = LINES.0.lock().expect("no test panicked while logging");
    for event in [
        "configuration_applied",
        "configuration_invalid",
        "input_rejected",
    ] {
        assert!(
            lines.iter().any(|line| line.contains(event)),
            "{event}: {lines:#?}"
        );
    }
    let with_key = lines.iter().find(|line| line.contains(KEY_SUBSTRING));
    assert_eq!(with_key, None);
}
