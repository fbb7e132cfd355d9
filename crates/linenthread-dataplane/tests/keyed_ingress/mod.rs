//! A test fixture: an ingress node, its clients and a replica, with one route that needs a key and one public route.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use linenthread_config::Settings;
use linenthread_dataplane::connection::HttpConnection;
use linenthread_dataplane::{DataPlane, RetryQuota, UpdateScope, serve};
use linenthread_dataplane_sim::deployment::data_plane_without_configuration;
use linenthread_dataplane_sim::network::{
    Accepted, Inbound, InboundEvent, Listener, Network, Peer,
};
use linenthread_dataplane_sim::replica::messages::Message;
use linenthread_http::{BodyPresence, response_framing};
use linenthread_time::Instant;
use tokio::io::DuplexStream;
use tokio::task::spawn_local;

/// One tenant with one key.
pub(crate) const ONE_TENANT: &str =
    r#"[{"label":"milo40","credentials":["key-of-milo40"],"rank":1}]"#;
/// Maximum length of a response head, in bytes.
const MAX_HEAD_BYTES: usize = 4_096;
/// Maximum length of a response body, in bytes.
const MAX_BODY_BYTES: usize = 4_096;
/// How long a client waits for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Replicas that respond to each request, and count the requests.
#[derive(Clone, Default)]
pub(crate) struct Replicas {
    /// The number of requests that have run.
    pub(crate) requests: Rc<Cell<usize>>,
}

impl Listener for Replicas {
    fn accept(&self) -> Option<Accepted> {
        Some(Accepted::immediately(self.clone()))
    }
}

impl Peer for Replicas {
    fn receive(&mut self, _: &[u8], inbound: &mut Inbound) {
        self.requests.set(self.requests.get() + 1);
        let response = Message {
            request_id: Some("a"),
            seal: Some("seal"),
            body: b"body",
            ..Message::default()
        };
        let event = InboundEvent::Bytes(response.to_bytes());
        inbound.push(Duration::from_millis(2), event);
    }
}

/// Creates an ingress node without a configuration, with settings modified by `change`, and a replica of its only
/// backend.
pub(crate) fn ingress(
    replicas: &Replicas,
    change: impl FnOnce(&mut Settings),
) -> Rc<DataPlane<Network>> {
    let network = Network::default();
    let default_plane = data_plane_without_configuration(1, network.clone());
    let mut settings = default_plane.settings().clone();
    change(&mut settings);
    let plane = DataPlane::new(Rc::new(settings), 1, network.clone());
    let address = SocketAddr::from(([10, 0, 0, 1], 80));
    network.listen(address, Rc::new(replicas.clone()));
    plane.set_retry_quota(RetryQuota {
        retries_per_window: 100.0,
        expires_at: Instant::NEVER,
        ingress_index: 0,
        ingress_count: 1,
        epoch: 1,
    });
    let replica = linenthread_messages::Replica {
        id: "i1".into(),
        backend: "s1".into(),
        address: address.to_string(),
        ..Default::default()
    };
    plane.update_replicas(&[replica], UpdateScope::Complete);
    plane
}

/// Returns a configuration with these tenants, or without the field if `None`.
pub(crate) fn configuration(revision: u64, clients: Option<&str>) -> String {
    let clients = clients.map_or_else(String::new, |clients| format!(r#","clients":{clients}"#));
    let route = |name: &str, public: bool| {
        format!(
            r#"{{"label":"{name}","host":"index.example","path_prefix":"/{name}/","mode":"idempotent",
                "limit_ms":1000,"backend":"s1","public":{public}}}"#
        )
    };
    let routes = [route("closed", false), route("open", true)].join(",");
    format!(
        r#"{{"revision":{revision},"route_table":[{routes}],"backends":[{{"label":"s1"}}],"constraints":{{}}
            {clients}}}"#
    )
}

/// A client connection to an ingress node.
pub(crate) struct Client(HttpConnection<DuplexStream>);

impl Client {
    pub(crate) fn connect(plane: Rc<DataPlane<Network>>) -> Client {
        let (client, server) = tokio::io::duplex(MAX_HEAD_BYTES);
        spawn_local(serve(server, SocketAddr::from(([127, 0, 0, 1], 1)), plane));
        Client(HttpConnection::new(client))
    }

    /// Sends a request with these header lines, reads the complete response and returns its status.
    pub(crate) async fn status(&mut self, path: &str, headers: &str) -> u16 {
        let deadline = tokio::time::Instant::now() + RESPONSE_TIMEOUT;
        let request = format!(
            "GET {path} HTTP/1.1\r\nHost: index.example\r\nX-Attempt-Id: a\r\n{headers}\r\n"
        );
        self.0.write(request.as_bytes(), deadline).await.unwrap();
        let head = self
            .0
            .read_response_head(MAX_HEAD_BYTES, deadline)
            .await
            .unwrap();
        let framing = response_framing(&head, BodyPresence::Present).unwrap();
        let body = self
            .0
            .read_body(framing, MAX_BODY_BYTES, RESPONSE_TIMEOUT, None);
        body.await.unwrap();
        head.status()
    }
}
