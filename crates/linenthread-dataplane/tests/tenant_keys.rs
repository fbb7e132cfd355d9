//! Tests of clients' keys: which tenant a replica sees, that it never sees the key, and which requests without a key
//! are rejected.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use linenthread_config::Settings;
use linenthread_dataplane::connection::HttpConnection;
use linenthread_dataplane::{DataPlane, UpdateScope, clock, serve};
use linenthread_dataplane_sim::deployment::{self, HOST, data_plane};
use linenthread_dataplane_sim::network::{
    Accepted, Inbound, InboundEvent, Listener, Network, Peer,
};
use linenthread_dataplane_sim::replica::messages::{self, Message};
use linenthread_dataplane_sim::simulation::in_simulated_time;
use linenthread_http::{BodyPresence, Head, response_framing};
use tokio::io::DuplexStream;
use tokio::task::spawn_local;
use tokio::time::Instant;
use yare::parameterized;

/// The retry quota of the ingress node: more than any test needs.
const RETRIES_PER_WINDOW: f64 = 100.0;
/// Maximum length of a message in these tests, in bytes.
const MAX_MESSAGE_BYTES: usize = 16_384;
/// Longer than any exchange takes.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(10);

/// Two tenants, the first with two keys.
const CLIENTS: &str = r#"[{"label":"acme","credentials":["qwertz-1-acme","qwertz-2-acme"]},
    {"label":"globex","credentials":["qwertz-3-globex"]}]"#;
/// A header line with a key of `acme`.
const ACME: &str = "Authorization: Bearer qwertz-1-acme\r\n";
/// A header line with a key of no tenant.
const UNKNOWN: &str = "Authorization: Bearer qwertz-9-nobody\r\n";
/// A text that all keys of these tests contain, and nothing else does.
const KEY_SUBSTRING: &str = "qwertz";

/// How a replica replies to a request.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Reply {
    Answer,
    Reject,
    Reset,
    Nothing,
}

/// Replicas that record the bytes of each request.
struct Replicas {
    reply: Cell<Reply>,
    received: RefCell<Vec<String>>,
}

impl Replicas {
    fn new(reply: Reply) -> Rc<Replicas> {
        Rc::new(Replicas {
            reply: Cell::new(reply),
            received: RefCell::default(),
        })
    }

    fn responding() -> Rc<Replicas> {
        Replicas::new(Reply::Answer)
    }

    /// Returns the values of all `X-Client-Name` lines of each request, in the order of the requests.
    fn client_names(&self) -> Vec<Vec<String>> {
        self.header_values("x-client-name")
    }

    fn header_values(&self, name: &str) -> Vec<Vec<String>> {
        let values = |text: &String| {
            let values: Vec<String> = parse(text.as_bytes())
                .header_values(name)
                .map(|value| String::from_utf8_lossy(value).into_owned())
                .collect();
            values
        };
        self.received.borrow().iter().map(values).collect()
    }

    fn count(&self) -> usize {
        self.received.borrow().len()
    }

    /// Checks that no request contained an `Authorization` line or, anywhere in its bytes, a key.
    fn assert_no_key_received(&self) {
        for text in self.received.borrow().iter() {
            assert!(
                !text.contains(KEY_SUBSTRING),
                "a replica received a key: {text}"
            );
            assert!(
                !text.to_ascii_lowercase().contains("authorization"),
                "a replica received an Authorization header: {text}"
            );
        }
    }
}

fn parse(request: &[u8]) -> Head {
    Head::parse_request(&mut BytesMut::from(request), MAX_MESSAGE_BYTES)
        .expect("a valid request")
        .expect("a complete request head")
}

/// Accepts connections to the replicas.
struct ReplicaListener(Rc<Replicas>);

impl Listener for ReplicaListener {
    fn accept(&self) -> Option<Accepted> {
        Some(Accepted::immediately(ReplicaListener(self.0.clone())))
    }
}

impl Peer for ReplicaListener {
    fn receive(&mut self, bytes: &[u8], inbound: &mut Inbound) {
        let ReplicaListener(replicas) = self;
        let text = String::from_utf8_lossy(bytes).into_owned();
        replicas.received.borrow_mut().push(text);
        let head = parse(bytes);
        let request_id = head.header("x-attempt-id");
        let event = match replicas.reply.get() {
            Reply::Answer => InboundEvent::Bytes(sealed(request_id)),
            Reply::Reject => InboundEvent::Bytes(messages::rejection(request_id)),
            Reply::Reset => InboundEvent::Reset,
            Reply::Nothing => return,
        };
        inbound.push(Duration::from_millis(2), event);
    }
}

fn sealed(request_id: Option<&str>) -> Vec<u8> {
    Message {
        request_id,
        seal: Some("seal"),
        body: b"sixteen byte rec",
        ..Message::default()
    }
    .to_bytes()
}

/// Returns a configuration with these `clients`, or without the field. The routes `/one/` (one backend), `/once/` (one
/// backend, mutating) and `/all/` (three backends) need a key; `/open/` is public.
fn document(revision: u64, clients: Option<&str>) -> String {
    let route = |name: &str, mode: &str, rest: &str| {
        format!(
            r#"{{"label":"{name}","host":"{HOST}","path_prefix":"/{name}/","mode":"{mode}",
                "limit_ms":1000,"target_ms":100,"rank":9,"tries":3,{rest}}}"#
        )
    };
    let routes = [
        route("one", "idempotent", r#""backend":"s1""#),
        route("once", "mutating", r#""backend":"s4","public":false"#),
        route(
            "all",
            "idempotent",
            r#""fanout":["s1","s2","s3"],"result_limit":7,"min_coverage":0.3"#,
        ),
        route("open", "idempotent", r#""backend":"s1","public":true"#),
    ]
    .join(",");
    let clients = clients.map_or(String::new(), |clients| format!(r#","clients":{clients}"#));
    format!(r#"{{"revision":{revision},"route_table":[{routes}],"backends":[]{clients}}}"#)
}

/// Creates an ingress node with these replicas for all backends, and a configuration with these clients.
fn ingress(replicas: &Rc<Replicas>, clients: Option<&str>) -> Rc<DataPlane<Network>> {
    let network = Network::default();
    let plane = data_plane(1, network.clone(), RETRIES_PER_WINDOW);
    start(&plane, &network, replicas, clients);
    plane
}

/// Creates the same without the decision module.
fn pass_through_ingress(replicas: &Rc<Replicas>, clients: Option<&str>) -> Rc<DataPlane<Network>> {
    clock::restart();
    let network = Network::default();
    let settings = Settings {
        pass_through: true,
        ..deployment::settings()
    };
    let plane = DataPlane::new(Rc::new(settings), 1, network.clone());
    start(&plane, &network, replicas, clients);
    plane
}

fn start(
    plane: &DataPlane<Network>,
    network: &Network,
    replicas: &Rc<Replicas>,
    clients: Option<&str>,
) {
    plane.apply_configuration(document(2, clients).as_bytes());
    let registered = (1u8..=8).map(|n| {
        let address = SocketAddr::from(([10, 0, 0, n], 80));
        network.listen(address, Rc::new(ReplicaListener(replicas.clone())));
        linenthread_messages::Replica {
            id: format!("i{n}"),
            backend: format!("s{}", 1 + n % 4),
            address: address.to_string(),
            ..Default::default()
        }
    });
    plane.update_replicas(&registered.collect::<Vec<_>>(), UpdateScope::Complete);
}

/// A client connection.
struct Client(HttpConnection<DuplexStream>);

impl Client {
    fn connect(plane: &Rc<DataPlane<Network>>) -> Client {
        let (client, server) = tokio::io::duplex(MAX_MESSAGE_BYTES);
        let peer = SocketAddr::from(([127, 0, 0, 1], 1));
        spawn_local(serve(server, peer, plane.clone()));
        Client(HttpConnection::new(client))
    }

    /// Sends a request with these header lines and without a body, and returns the head of the response.
    async fn get(&mut self, path: &str, headers: &str) -> Head {
        self.send("GET", path, &format!("{headers}\r\n")).await
    }

    /// Writes a request; `rest` follows the header line with its id.
    async fn write(&mut self, method: &str, path: &str, rest: &str) {
        let Client(http) = self;
        let request =
            format!("{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: a\r\n{rest}");
        let deadline = Instant::now() + EXCHANGE_TIMEOUT;
        http.write(request.as_bytes(), deadline).await.unwrap();
    }

    /// Sends a request, reads the complete response and returns its head.
    async fn send(&mut self, method: &str, path: &str, rest: &str) -> Head {
        self.write(method, path, rest).await;
        let Client(http) = self;
        let deadline = Instant::now() + EXCHANGE_TIMEOUT;
        let head = http.read_response_head(MAX_MESSAGE_BYTES, deadline).await;
        let head = head.unwrap();
        let framing = response_framing(&head, BodyPresence::Present).unwrap();
        http.read_body(framing, MAX_MESSAGE_BYTES, EXCHANGE_TIMEOUT, Some(deadline))
            .await
            .unwrap();
        head
    }
}

/// Sends one request on a new connection and returns the head of the response.
async fn get(plane: &Rc<DataPlane<Network>>, path: &str, headers: &str) -> Head {
    Client::connect(plane).get(path, headers).await
}

// Guards against a replica that runs a request without the name of the key's tenant, or sees the key.
#[parameterized(
    one_replica = { "/one/x", ACME, "acme", 1 },
    fan_out_to_three_backends = { "/all/x", ACME, "acme", 3 },
    mutating = { "/once/x", ACME, "acme", 1 },
    public = { "/open/x", ACME, "acme", 1 },
    another_tenant = { "/one/x", "Authorization: Bearer qwertz-3-globex\r\n", "globex", 1 },
    second_key = { "/one/x", "Authorization: Bearer qwertz-2-acme\r\n", "acme", 1 },
    other_case_of_scheme_and_name = { "/one/x", "AUTHORIZATION: bEARER qwertz-1-acme\r\n", "acme", 1 },
    several_spaces = { "/one/x", "Authorization:   Bearer   qwertz-1-acme  \r\n", "acme", 1 },
)]
fn a_replica_sees_the_tenant_of_the_key_and_not_the_key(
    path: &str,
    headers: &str,
    tenant: &str,
    replica_count: usize,
) {
    let replicas = Replicas::responding();
    let head =
        in_simulated_time(async { get(&ingress(&replicas, Some(CLIENTS)), path, headers).await });
    assert_eq!(head.status(), 200);
    assert_eq!(replicas.client_names(), vec![vec![tenant]; replica_count]);
    replicas.assert_no_key_received();
}

// Guards against retries and hedges that, unlike the first attempt, contain the key or lack the tenant.
#[parameterized(
    after_a_rejection = { "/one/x", Reply::Reject },
    after_a_rejection_on_a_mutating_route = { "/once/x", Reply::Reject },
    after_a_reset = { "/one/x", Reply::Reset },
    after_no_response = { "/one/x", Reply::Nothing },
    in_a_fan_out = { "/all/x", Reply::Reset },
)]
fn retries_and_hedges_carry_the_tenant_and_not_the_key(path: &str, reply: Reply) {
    let replicas = Replicas::new(reply);
    in_simulated_time(async { get(&ingress(&replicas, Some(CLIENTS)), path, ACME).await });
    let parts = if path.starts_with("/all/") { 3 } else { 1 };
    assert!(replicas.count() > parts, "{} attempts", replicas.count());
    assert_eq!(
        replicas.client_names(),
        vec![vec!["acme"]; replicas.count()]
    );
    replicas.assert_no_key_received();
}

// Guards against forwarding the key, or not requiring one, on the path that measures the cost of the decision module.
#[test]
fn the_pass_through_path_hides_the_key_names_the_tenant_and_rejects_unknown_keys() {
    let replicas = Replicas::responding();
    let statuses = in_simulated_time(async {
        let plane = pass_through_ingress(&replicas, Some(CLIENTS));
        let known = get(&plane, "/all/x", ACME).await.status();
        (known, get(&plane, "/all/x", UNKNOWN).await.status())
    });
    assert_eq!(statuses, (200, 401));
    assert_eq!(replicas.client_names(), vec![vec!["acme"]; 3]);
    replicas.assert_no_key_received();
}

/// Credentials that identify no tenant.
const INVALID_CREDENTIALS: [&str; 9] = [
    UNKNOWN,
    "Authorization: Basic qwertz-1-acme\r\n",
    "Authorization: qwertz-1-acme\r\n",
    "Authorization: Bearerqwertz-1-acme\r\n",
    "Authorization: Bearer\r\n",
    "Authorization: Bearer QWERTZ-1-ACME, qwertz\r\n",
    "Authorization: Bearer qwertz-1-acm\r\n",
    "Authorization: Bearer qwertz-1-acme\r\nauthorization: Bearer qwertz-1-acme\r\n",
    "Authorization: Bearer qwertz-1-acme\r\nX-Other: 1\r\nAuthorization: Basic qwertz\r\n",
];

// Guards against forwarding an invalid `Authorization` like any other header.
#[parameterized(
    on_a_public_route = { "/open/x", Some(CLIENTS) },
    where_the_configuration_has_no_clients = { "/one/x", None },
    on_a_fan_out_where_the_configuration_has_no_clients = { "/all/x", None },
    on_a_public_route_where_no_client_has_a_key = { "/open/x", Some("[]") },
)]
fn invalid_credentials_are_not_forwarded_where_no_key_is_needed(path: &str, clients: Option<&str>) {
    for headers in INVALID_CREDENTIALS {
        let replicas = Replicas::responding();
        let head =
            in_simulated_time(async { get(&ingress(&replicas, clients), path, headers).await });
        assert_eq!(head.status(), 200, "{headers}");
        assert!(replicas.client_names().concat().is_empty(), "{headers}");
        replicas.assert_no_key_received();
    }
}

// Guards against forwarding a valid key when the configuration does not require one.
#[test]
fn a_key_is_not_forwarded_where_the_configuration_has_no_clients() {
    let replicas = Replicas::responding();
    let head = in_simulated_time(async { get(&ingress(&replicas, None), "/one/x", ACME).await });
    assert_eq!(head.status(), 200);
    assert!(replicas.client_names().concat().is_empty());
    replicas.assert_no_key_received();
}

// Guards against a client that impersonates another tenant by sending the header itself.
#[parameterized(
    one_line = { "X-Client-Name: globex\r\n" },
    other_case = { "x-cLIENT-nAME: globex\r\n" },
    several_lines = { "X-Client-Name: globex\r\nX-Other: 1\r\nx-client-name: globex\r\n" },
    empty = { "X-Client-Name:\r\n" },
    named_in_connection = { "Connection: X-Client-Name\r\nX-Client-Name: globex\r\n" },
    named_in_a_list_in_connection = { "Connection: keep-alive, x-client-name, authorization\r\nX-Client-Name: globex\r\n" },
)]
fn a_tenant_name_sent_by_the_client_is_never_forwarded(headers: &str) {
    let cases = [
        ("/one/x", ACME, Some(CLIENTS), vec!["acme"]),
        ("/all/x", ACME, Some(CLIENTS), vec!["acme"]),
        ("/open/x", ACME, Some(CLIENTS), vec!["acme"]),
        ("/open/x", "", Some(CLIENTS), vec![]),
        ("/open/x", UNKNOWN, Some(CLIENTS), vec![]),
        ("/one/x", ACME, None, vec![]),
        ("/one/x", "", None, vec![]),
    ];
    for (path, credentials, clients, expected) in cases {
        for headers in [
            format!("{credentials}{headers}"),
            format!("{headers}{credentials}"),
        ] {
            let replicas = Replicas::responding();
            let head = in_simulated_time(async {
                get(&ingress(&replicas, clients), path, &headers).await
            });
            assert_eq!(head.status(), 200, "{path} {headers}");
            for names in replicas.client_names() {
                assert_eq!(names, expected, "{path} {headers}");
            }
            replicas.assert_no_key_received();
        }
    }
}

// Guards against treating a trailer of a chunked body as a header of the request.
#[test]
fn trailers_set_no_tenant_and_forward_no_key() {
    let replicas = Replicas::responding();
    let rest = format!(
        "{ACME}Transfer-Encoding: chunked\r\nTrailer: X-Client-Name\r\n\r\n\
         2\r\nhi\r\n0\r\nX-Client-Name: globex\r\n{ACME}\r\n"
    );
    let head = in_simulated_time(async {
        let plane = ingress(&replicas, Some(CLIENTS));
        Client::connect(&plane).send("POST", "/once/x", &rest).await
    });
    assert_eq!(head.status(), 200);
    assert_eq!(replicas.client_names(), [["acme"]]);
    replicas.assert_no_key_received();
}

// Guards against running a request without a valid key, and against rejecting it with a status that invites a retry.
#[parameterized(
    one_replica = { "/one/x" },
    fan_out = { "/all/x" },
    mutating = { "/once/x" },
)]
fn a_request_without_a_known_key_is_rejected_and_never_runs(path: &str) {
    let no_key = ["", "X-Client-Name: acme\r\n"];
    for headers in INVALID_CREDENTIALS.into_iter().chain(no_key) {
        for clients in [CLIENTS, "[]"] {
            let replicas = Replicas::responding();
            let head = in_simulated_time(async {
                get(&ingress(&replicas, Some(clients)), path, headers).await
            });
            assert_eq!(head.status(), 401, "{headers}");
            assert_eq!(head.header("www-authenticate"), Some("Bearer"));
            assert_eq!(replicas.count(), 0, "{headers}");
        }
    }
}

// Guards against requiring a key on a public route, and against losing the tenant of a key that was sent there anyway.
#[test]
fn a_public_route_needs_no_key() {
    let replicas = Replicas::responding();
    let statuses = in_simulated_time(async {
        let plane = ingress(&replicas, Some(CLIENTS));
        let mut statuses = Vec::new();
        for headers in ["", UNKNOWN, ACME] {
            statuses.push(get(&plane, "/open/x", headers).await.status());
        }
        statuses
    });
    assert_eq!(statuses, [200, 200, 200]);
    assert_eq!(replicas.client_names(), [vec![], vec![], vec!["acme"]]);
}

// Guards against a 401 for a route that does not exist: it suggests that the route exists, and keeps the client from
// trying again.
#[test]
fn an_unknown_route_responds_404_regardless_of_the_key() {
    let statuses = in_simulated_time(async {
        let plane = ingress(&Replicas::responding(), Some(CLIENTS));
        let mut statuses = Vec::new();
        for headers in ["", UNKNOWN, ACME] {
            statuses.push(get(&plane, "/no/such/route", headers).await.status());
        }
        statuses
    });
    assert_eq!(statuses, [404, 404, 404]);
}

// Guards against a 401 before the first configuration, after which the client would not try again.
#[test]
fn without_a_configuration_a_request_gets_503_and_not_401() {
    let status = in_simulated_time(async {
        let plane = deployment::data_plane_without_configuration(1, Network::default());
        get(&plane, "/one/x", UNKNOWN).await.status()
    });
    assert_eq!(status, 503);
}

// Guards against a 401 that closes the connection, and against parsing the body of the rejected request as the next
// request.
#[parameterized(
    no_body = { "GET", "\r\n" },
    body_with_a_length = { "POST", "Content-Length: 20\r\n\r\nGET /open/y HTTP/1.1" },
    chunked_body = { "POST", "Transfer-Encoding: chunked\r\n\r\n5\r\nGET /\r\n0\r\n\r\n" },
)]
fn a_connection_can_be_used_after_a_rejected_key(method: &str, rest: &str) {
    let replicas = Replicas::responding();
    let (rejected, accepted) = in_simulated_time(async {
        let mut client = Client::connect(&ingress(&replicas, Some(CLIENTS)));
        let rest = format!("{UNKNOWN}{rest}");
        let rejected = client.send(method, "/one/x", &rest).await;
        (rejected, client.get("/one/y", ACME).await)
    });
    assert_eq!((rejected.status(), accepted.status()), (401, 200));
    assert!(rejected.keeps_alive());
    assert_eq!(replicas.client_names(), [["acme"]]);
}

// Guards against a revoked or reassigned key that remains valid on connections opened before.
#[test]
fn a_new_configuration_applies_to_the_next_request_on_an_open_connection() {
    let replicas = Replicas::responding();
    let moved = r#"[{"label":"globex","credentials":["qwertz-1-acme"]}]"#;
    let removed = r#"[{"label":"acme","credentials":["qwertz-2-acme"]}]"#;
    let statuses = in_simulated_time(async {
        let plane = ingress(&replicas, Some(CLIENTS));
        let mut client = Client::connect(&plane);
        let mut statuses = vec![client.get("/one/x", ACME).await.status()];
        let documents = [Some(moved), Some(removed), Some(CLIENTS), None];
        for (revision, clients) in (3..).zip(documents) {
            plane.apply_configuration(document(revision, clients).as_bytes());
            statuses.push(client.get("/one/x", ACME).await.status());
        }
        statuses
    });
    assert_eq!(statuses, [200, 200, 401, 200, 200]);
    assert_eq!(
        replicas.client_names(),
        [vec!["acme"], vec!["globex"], vec!["acme"], vec![]]
    );
}

// Guards against attributing consecutive requests on one connection to the same tenant.
#[test]
fn each_request_on_a_connection_has_the_tenant_of_its_own_key() {
    let replicas = Replicas::responding();
    let statuses = in_simulated_time(async {
        let mut client = Client::connect(&ingress(&replicas, Some(CLIENTS)));
        let mut statuses = Vec::new();
        let globex = "Authorization: Bearer qwertz-3-globex\r\n";
        for headers in [ACME, globex, "", ACME] {
            statuses.push(client.get("/one/x", headers).await.status());
        }
        statuses
    });
    assert_eq!(statuses, [200, 200, 401, 200]);
    assert_eq!(replicas.client_names(), [["acme"], ["globex"], ["acme"]]);
}

/// Sends equally many requests of `acme` and `globex`, alternating and more than the replicas can serve. Returns how
/// many more of `acme` than of `globex` are forwarded.
async fn forwarded_difference_under_load(clients: &str) -> i64 {
    const REQUESTS_OF_EACH: usize = 30;
    /// A new dispatcher rejects no request for overload within this time.
    const WARM_UP: Duration = Duration::from_millis(500);
    let globex = "Authorization: Bearer qwertz-3-globex\r\n";
    let replicas = Replicas::responding();
    let plane = ingress(&replicas, Some(clients));
    for _ in 0..2 {
        assert_eq!(get(&plane, "/once/x", globex).await.status(), 200);
        tokio::time::sleep(WARM_UP).await;
    }
    replicas.reply.set(Reply::Nothing);
    let answered = replicas.count();
    let mut open = Vec::new();
    for _ in 0..REQUESTS_OF_EACH {
        for headers in [globex, ACME] {
            let mut client = Client::connect(&plane);
            client
                .write("GET", "/once/x", &format!("{headers}\r\n"))
                .await;
            open.push(client);
        }
    }
    tokio::time::sleep(Duration::from_millis(5)).await;
    let names = replicas.client_names().split_off(answered).concat();
    assert!(
        names.len() < 2 * REQUESTS_OF_EACH,
        "all requests were forwarded"
    );
    let forwarded = |tenant: &str| {
        names
            .iter()
            .map(|name| i64::from(name == tenant))
            .sum::<i64>()
    };
    forwarded("acme") - forwarded("globex")
}

// Guards against ranking a request under load by its route's priority when its tenant has one.
#[parameterized(
    higher_than_that_of_the_route = { r#","rank":0"#, 1 },
    the_same = { r#","rank":9"#, 0 },
    lower = { r#","rank":20"#, -1 },
    none = { "", 0 },
)]
fn the_priority_of_the_tenant_overrides_that_of_the_route(rank: &str, sign: i64) {
    let clients = format!(
        r#"[{{"label":"acme","credentials":["qwertz-1-acme"]{rank}}},
            {{"label":"globex","credentials":["qwertz-3-globex"]}}]"#
    );
    let difference = in_simulated_time(forwarded_difference_under_load(&clients));
    assert_eq!(difference.signum(), sign, "{difference}");
}
