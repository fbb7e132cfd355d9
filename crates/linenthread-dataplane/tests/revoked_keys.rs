//! Changes of tenant keys while a client connection stays open: each request is authorized by the configuration in
//! force when it is sent, and no key reaches a replica.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use linenthread_dataplane::connection::HttpConnection;
use linenthread_dataplane::{DataPlane, RetryQuota, UpdateScope, serve};
use linenthread_dataplane_sim::deployment::{HOST, data_plane_without_configuration};
use linenthread_dataplane_sim::network::{
    Accepted, Inbound, InboundEvent, Listener, Network, Peer,
};
use linenthread_dataplane_sim::replica::messages::Message;
use linenthread_dataplane_sim::simulation::in_simulated_time;
use linenthread_http::{BodyPresence, response_framing};
use linenthread_messages::Replica;
use tokio::io::DuplexStream;
use tokio::task::spawn_local;
use tokio::time::Instant;
use yare::parameterized;

/// The backends of the routes; requests to `/all/` go to each of them.
const BACKENDS: [&str; 2] = ["s1", "s2"];
/// Keys of tenants: long and distinctive, so that they are found wherever they are forwarded.
const KEY: &str = "prymh2rrytapjsujqurt";
const OTHER_KEY: &str = "yiikdrbn4ryrbbkf83fg";
/// How long to wait for a response, in simulated time.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// The delay of a simulated replica's response.
const RESPONSE_DELAY: Duration = Duration::from_millis(2);
/// Maximum length of a response head and of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 16_384;

/// Replicas that respond to each request, and record the requests.
#[derive(Clone, Default)]
struct Replicas(Rc<RefCell<Vec<String>>>);

impl Replicas {
    /// Returns the number of requests since the last call of [`Replicas::take_tenants`].
    fn count(&self) -> usize {
        self.0.borrow().len()
    }

    /// Removes the recorded requests and returns the tenant of each.
    ///
    /// # Panics
    /// Panics if a request carries a key, or names more than one tenant.
    fn take_tenants(&self) -> Vec<Option<String>> {
        let received = std::mem::take(&mut *self.0.borrow_mut());
        received.iter().map(|text| tenant_of(text)).collect()
    }
}

/// Returns the tenant that a replica's request names, and checks that it carries no key.
fn tenant_of(request: &str) -> Option<String> {
    let has_key = [KEY, OTHER_KEY].iter().any(|key| request.contains(key));
    assert!(!has_key, "a replica received a key: {request}");
    let names: Vec<&str> = values(request, "authorization");
    assert!(names.is_empty(), "a replica received {names:?}");
    let tenants = values(request, "x-client-name");
    assert!(tenants.len() <= 1, "more than one tenant: {request}");
    tenants.first().map(|name| (*name).to_owned())
}

/// Returns the values of a header in the text of a message.
fn values<'a>(message: &'a str, header: &str) -> Vec<&'a str> {
    let lines = message.lines().take_while(|line| !line.is_empty());
    lines
        .filter_map(|line| line.split_once(':'))
        .filter(|(name, _)| name.eq_ignore_ascii_case(header))
        .map(|(_, value)| value.trim())
        .collect()
}

impl Listener for Replicas {
    fn accept(&self) -> Option<Accepted> {
        Some(Accepted::immediately(self.clone()))
    }
}

impl Peer for Replicas {
    fn receive(&mut self, bytes: &[u8], inbound: &mut Inbound) {
        let text = String::from_utf8_lossy(bytes).into_owned();
        let mut received = self.0.borrow_mut();
        // Each execution has its own seal, so a merged response contains no seal twice.
        let seal = format!("seal-{}", received.len());
        let response = Message {
            request_id: values(&text, "x-attempt-id").first().copied(),
            seal: Some(&seal),
            body: b"a 16-byte record",
            ..Message::default()
        };
        inbound.push(RESPONSE_DELAY, InboundEvent::Bytes(response.to_bytes()));
        received.push(text);
    }
}

/// Returns a configuration with these tenants: routes `/one/` and `/once/` to a single backend, `/all/` to all, and
/// the public route `/open/`. `clients` is its JSON, if the configuration has any.
fn configuration(revision: u64, clients: Option<&str>) -> String {
    let backends = BACKENDS.map(|name| format!("\"{name}\"")).join(",");
    let to_one = format!(r#""backend":"{}""#, BACKENDS[0]);
    let routes = [
        route("one", "idempotent", &to_one),
        route("once", "mutating", &to_one),
        route(
            "all",
            "idempotent",
            &format!(r#""fanout":[{backends}],"result_limit":5,"min_coverage":1.0"#),
        ),
        route("open", "idempotent", &format!(r#"{to_one},"public":true"#)),
    ]
    .join(",");
    let clients = clients.map_or(String::new(), |json| format!(r#","clients":{json}"#));
    format!(r#"{{"revision":{revision},"route_table":[{routes}],"backends":[]{clients}}}"#)
}

fn route(name: &str, mode: &str, destination: &str) -> String {
    format!(
        r#"{{"label":"{name}","host":"{HOST}","path_prefix":"/{name}/","mode":"{mode}",
            "limit_ms":1000,"target_ms":100,"rank":1,"tries":2,{destination}}}"#
    )
}

/// Returns the JSON of tenants and their keys.
fn clients(tenants: &[(&str, &[&str])]) -> String {
    let tenants: Vec<String> = tenants
        .iter()
        .map(|(name, keys)| {
            let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
            format!(
                r#"{{"label":"{name}","credentials":[{}],"rank":1}}"#,
                keys.join(",")
            )
        })
        .collect();
    format!("[{}]", tenants.join(","))
}

/// An ingress node, its replicas, and one client connection to it.
struct Deployment {
    plane: Rc<DataPlane<Network>>,
    replicas: Replicas,
    client: HttpConnection<DuplexStream>,
    requests: usize,
}

impl Deployment {
    fn start() -> Deployment {
        let network = Network::default();
        let plane = data_plane_without_configuration(1, network.clone());
        plane.set_retry_quota(RetryQuota {
            retries_per_window: 100.0,
            expires_at: linenthread_time::Instant::NEVER,
            ingress_index: 0,
            ingress_count: 1,
            epoch: 1,
        });
        let replicas = Replicas::default();
        let registered: Vec<Replica> = BACKENDS
            .iter()
            .zip(1u8..)
            .map(|(backend, n)| {
                let address = SocketAddr::from(([10, 0, 0, n], 80));
                network.listen(address, Rc::new(replicas.clone()));
                Replica {
                    id: format!("i{n}"),
                    backend: (*backend).into(),
                    address: address.to_string(),
                    ..Default::default()
                }
            })
            .collect();
        plane.update_replicas(&registered, UpdateScope::Complete);
        let (client, server) = tokio::io::duplex(MAX_RESPONSE_BYTES);
        let peer = SocketAddr::from(([127, 0, 0, 1], 1));
        spawn_local(serve(server, peer, plane.clone()));
        Deployment {
            plane,
            replicas,
            client: HttpConnection::new(client),
            requests: 0,
        }
    }

    fn configure(&self, revision: u64, clients: Option<&str>) {
        let document = configuration(revision, clients);
        self.plane.apply_configuration(document.as_bytes());
    }

    /// Sends a request on the client connection and returns the status of the response.
    async fn get(&mut self, path: &str, key: Option<&str>) -> u16 {
        self.send("GET", path, key, "").await
    }

    async fn send(&mut self, method: &str, path: &str, key: Option<&str>, body: &str) -> u16 {
        self.requests += 1;
        let id = self.requests;
        let key = key.map_or(String::new(), |key| {
            format!("Authorization: Bearer {key}\r\n")
        });
        let length = body.len();
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: a{id}\r\n{key}\
             Content-Length: {length}\r\n\r\n{body}"
        );
        let deadline = Instant::now() + RESPONSE_TIMEOUT;
        self.client
            .write(request.as_bytes(), deadline)
            .await
            .expect("the request is written");
        let head = self
            .client
            .read_response_head(MAX_RESPONSE_BYTES, deadline)
            .await
            .expect("a response head");
        let framing = response_framing(&head, BodyPresence::Present).expect("a valid framing");
        self.client
            .read_body(
                framing,
                MAX_RESPONSE_BYTES,
                RESPONSE_TIMEOUT,
                Some(deadline),
            )
            .await
            .expect("the complete body");
        head.status()
    }
}

/// Returns the expected tenants of `count` requests of one tenant.
fn tenant_of_each(tenant: &str, count: usize) -> Vec<Option<String>> {
    vec![Some(tenant.to_owned()); count]
}

// Guards against running a request with a key that the configuration in force no longer contains (CONFIG).
#[parameterized(
    idempotent = { "/one/x", 1 },
    mutating = { "/once/x", 1 },
    fan_out = { "/all/x", 2 },
)]
fn a_revoked_key_is_rejected_on_an_open_connection(path: &str, replicas: usize) {
    in_simulated_time(async {
        let mut deployment = Deployment::start();
        deployment.configure(1, Some(&clients(&[("left", &[KEY, OTHER_KEY])])));
        assert_eq!(deployment.get(path, Some(KEY)).await, 200);
        assert_eq!(deployment.replicas.count(), replicas);

        deployment.configure(2, Some(&clients(&[("left", &[OTHER_KEY])])));
        assert_eq!(deployment.get(path, Some(KEY)).await, 401);
        assert_eq!(
            deployment.replicas.count(),
            replicas,
            "no request reached a replica after the revocation"
        );
        assert_eq!(deployment.get(path, Some(OTHER_KEY)).await, 200);
        assert_eq!(
            deployment.replicas.take_tenants(),
            tenant_of_each("left", 2 * replicas)
        );
    });
}

// Guards against accepting the keys of a tenant that the configuration no longer contains (CONFIG).
#[test]
fn the_keys_of_a_removed_tenant_are_rejected_on_an_open_connection() {
    in_simulated_time(async {
        let mut deployment = Deployment::start();
        let both: [(&str, &[&str]); 2] = [("left", &[KEY]), ("right", &[OTHER_KEY])];
        deployment.configure(1, Some(&clients(&both)));
        assert_eq!(deployment.get("/one/x", Some(KEY)).await, 200);
        deployment.configure(2, Some(&clients(&both[1..])));
        assert_eq!(deployment.get("/one/x", Some(KEY)).await, 401);
        assert_eq!(deployment.get("/one/x", Some(OTHER_KEY)).await, 200);
        let tenants = deployment.replicas.take_tenants();
        assert_eq!(
            tenants,
            [tenant_of_each("left", 1), tenant_of_each("right", 1)].concat()
        );
    });
}

// Guards against passing a replica the former tenant of a key instead of the present one (UNASKED).
#[test]
fn a_key_moved_to_another_tenant_identifies_that_tenant_on_an_open_connection() {
    in_simulated_time(async {
        let mut deployment = Deployment::start();
        deployment.configure(1, Some(&clients(&[("left", &[KEY]), ("right", &[])])));
        assert_eq!(deployment.get("/one/x", Some(KEY)).await, 200);
        deployment.configure(2, Some(&clients(&[("left", &[]), ("right", &[KEY])])));
        assert_eq!(deployment.get("/one/x", Some(KEY)).await, 200);
        let tenants = deployment.replicas.take_tenants();
        assert_eq!(
            tenants,
            [tenant_of_each("left", 1), tenant_of_each("right", 1)].concat()
        );
    });
}

// Guards against passing a replica a tenant's former name (UNASKED).
#[test]
fn a_renamed_tenant_has_its_new_name_on_an_open_connection() {
    in_simulated_time(async {
        let mut deployment = Deployment::start();
        deployment.configure(1, Some(&clients(&[("before", &[KEY])])));
        assert_eq!(deployment.get("/all/x", Some(KEY)).await, 200);
        deployment.configure(2, Some(&clients(&[("after", &[KEY])])));
        assert_eq!(deployment.get("/all/x", Some(KEY)).await, 200);
        let tenants = deployment.replicas.take_tenants();
        assert_eq!(
            tenants,
            [tenant_of_each("before", 2), tenant_of_each("after", 2)].concat()
        );
    });
}

// Guards against a 401 for a key of the configuration in force, which only an older configuration would justify
// (CONFIG).
#[test]
fn an_added_key_is_accepted_at_once_on_a_connection_where_it_was_rejected() {
    in_simulated_time(async {
        let mut deployment = Deployment::start();
        deployment.configure(1, Some(&clients(&[("left", &[OTHER_KEY])])));
        assert_eq!(deployment.get("/one/x", Some(KEY)).await, 401);
        deployment.configure(2, Some(&clients(&[("left", &[OTHER_KEY, KEY])])));
        assert_eq!(deployment.get("/one/x", Some(KEY)).await, 200);
        assert_eq!(
            deployment.replicas.take_tenants(),
            tenant_of_each("left", 1)
        );
    });
}

// Guards against an older configuration that arrives late and restores a revoked key (CONFIG).
#[test]
fn an_older_configuration_that_arrives_late_does_not_restore_a_revoked_key() {
    in_simulated_time(async {
        let mut deployment = Deployment::start();
        let with_key = clients(&[("left", &[KEY])]);
        deployment.configure(3, Some(&clients(&[("left", &[OTHER_KEY])])));
        for older in [1, 2, 3] {
            deployment.configure(older, Some(&with_key));
            assert_eq!(deployment.get("/one/x", Some(KEY)).await, 401);
        }
        assert_eq!(deployment.replicas.take_tenants(), []);
        deployment.configure(4, Some(&with_key));
        assert_eq!(deployment.get("/one/x", Some(KEY)).await, 200);
    });
}

// Guards against requiring keys under a configuration without `clients`, and against not requiring them under one with
// `clients` (CONFIG).
#[test]
fn keys_are_required_only_while_the_configuration_has_clients() {
    in_simulated_time(async {
        let mut deployment = Deployment::start();
        let some = clients(&[("left", &[KEY])]);
        // Each configuration, and the statuses of requests without a key, with the tenant's key and with an unknown
        // one.
        let steps = [
            (None, [200, 200, 200]),
            (Some(some.as_str()), [401, 200, 401]),
            (Some("[]"), [401, 401, 401]),
            (None, [200, 200, 200]),
            (Some(some.as_str()), [401, 200, 401]),
        ];
        for (revision, (clients, expected)) in (1..).zip(steps) {
            deployment.configure(revision, clients);
            let mut statuses = Vec::new();
            for key in [None, Some(KEY), Some(OTHER_KEY)] {
                statuses.push(deployment.get("/one/x", key).await);
            }
            assert_eq!(statuses, expected, "revision {revision}");
            let served = expected.iter().filter(|status| **status == 200).count();
            let tenants = match (clients, served) {
                (None, served) => vec![None; served],
                (Some(_), served) => tenant_of_each("left", served),
            };
            assert_eq!(deployment.replicas.take_tenants(), tenants);
        }
    });
}

// Guards against requiring a key on a public route (DENIED), and against forwarding it there (UNASKED).
#[test]
fn a_public_route_needs_no_key_and_forwards_none() {
    in_simulated_time(async {
        let mut deployment = Deployment::start();
        let some = clients(&[("left", &[KEY])]);
        for (revision, clients) in (1..).zip([None, Some("[]"), Some(some.as_str())]) {
            deployment.configure(revision, clients);
            for key in [None, Some(KEY), Some(OTHER_KEY)] {
                assert_eq!(deployment.get("/open/x", key).await, 200);
            }
            assert_eq!(deployment.replicas.take_tenants().len(), 3);
        }
    });
}

// Guards against parsing the body of a rejected request as the next request on its connection (MIXED).
#[test]
fn a_connection_is_usable_after_a_rejected_request_with_a_body() {
    in_simulated_time(async {
        let mut deployment = Deployment::start();
        deployment.configure(1, Some(&clients(&[("left", &[KEY])])));
        let smuggled = format!("GET /open/y HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: s\r\n\r\n");
        let rejected = deployment.send("POST", "/once/x", Some(OTHER_KEY), &smuggled);
        assert_eq!(rejected.await, 401);
        assert_eq!(deployment.get("/one/x", Some(KEY)).await, 200);
        assert_eq!(
            deployment.replicas.take_tenants(),
            tenant_of_each("left", 1)
        );
    });
}

// Guards against a 401 instead of a 404 for a route that does not exist (DENIED).
#[test]
fn an_unknown_route_responds_404_with_and_without_a_key() {
    in_simulated_time(async {
        let mut deployment = Deployment::start();
        deployment.configure(1, Some(&clients(&[("left", &[KEY])])));
        for key in [None, Some(KEY), Some(OTHER_KEY)] {
            assert_eq!(deployment.get("/none/x", key).await, 404);
        }
    });
}
