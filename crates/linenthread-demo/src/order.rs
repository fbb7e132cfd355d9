//! Orders: the configuration changes that operators send.

use linenthread_ctl::Request;
use linenthread_ctl::control_api::{BASE_REVISION_HEADER, REPLACE_CONFIGURATION_PATH};
use serde_json::{Value, json};

/// The key of the tenant that is the same in all configurations of [`Order::new`].
pub const STEADY_KEY: &str = "k4steady8rrytapjsujqurt";
const STEADY_TENANT: &str = "steady";
/// The prefix of the other tenant's keys.
pub(crate) const CHANGING_KEY_PREFIX: &str = "k7changing-yiikdrbn4ryrb-";
/// The tenant whose only key changes with each order of [`Order::new`].
const CHANGING_TENANT: &str = "changing";

/// Returns the key that only orders of this revision contain: the order of the next revision revokes it.
pub fn key_of_revision(revision: u64) -> String {
    format!("{CHANGING_KEY_PREFIX}{revision}")
}

/// A tenant of a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tenant {
    /// The name, which is forwarded to replicas.
    pub name: &'static str,
    /// The keys of its clients.
    pub keys: Vec<String>,
}

impl Tenant {
    /// Creates a tenant with these keys.
    pub fn new(name: &'static str, keys: &[&str]) -> Tenant {
        Tenant {
            name,
            keys: keys.iter().map(ToString::to_string).collect(),
        }
    }
}

/// An operator's order: a configuration, and the revision that it replaces.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The revision that the order replaces; 0 for none.
    pub base_revision: u64,
    /// The revision of the configuration.
    pub revision: u64,
    /// The configuration as JSON.
    pub document: Vec<u8>,
}

impl Order {
    /// Creates an order with routes to these services: `/all/` to all of them, `/NAME/` to a single one, and
    /// `/once/NAME/` for requests that are not idempotent. Orders of one revision with different variants have
    /// different configurations. Of the two tenants, one has [`STEADY_KEY`], the other the
    /// [key of the revision](key_of_revision).
    pub fn new(base: u64, revision: u64, services: &[&str], variant: u64) -> Order {
        let mut document = document(revision, services, variant);
        document["clients"] = clients(&[
            Tenant::new(STEADY_TENANT, &[STEADY_KEY]),
            Tenant::new(CHANGING_TENANT, &[&key_of_revision(revision)]),
        ]);
        Order::with_document(base, revision, &document)
    }

    /// Creates an order with the same routes and without tenants: clients need no key.
    pub fn without_clients(base: u64, revision: u64, services: &[&str]) -> Order {
        Order::with_document(base, revision, &document(revision, services, 0))
    }

    /// Creates an order with the same routes, open only to clients of these tenants.
    pub fn for_tenants(base: u64, revision: u64, services: &[&str], tenants: &[Tenant]) -> Order {
        let mut document = document(revision, services, 0);
        document["clients"] = clients(tenants);
        Order::with_document(base, revision, &document)
    }

    fn with_document(base: u64, revision: u64, document: &Value) -> Order {
        Order {
            base_revision: base,
            revision,
            document: document.to_string().into_bytes(),
        }
    }

    /// Returns the order that replaces this one, of the next revision.
    pub(crate) fn next(&self, services: &[&str]) -> Order {
        Order::new(self.revision, self.revision + 1, services, 0)
    }

    /// Returns the headers of [`request`](Order::request).
    pub(crate) fn headers(&self) -> [(&'static str, String); 1] {
        [(BASE_REVISION_HEADER, self.base_revision.to_string())]
    }

    /// Returns the call that replaces the configuration, with these [`headers`](Order::headers).
    pub(crate) fn request<'a>(&'a self, headers: &'a [(&'static str, String)]) -> Request<'a> {
        Request {
            method: "POST",
            path: REPLACE_CONFIGURATION_PATH,
            headers,
            body: &self.document,
        }
    }
}

fn clients(tenants: &[Tenant]) -> Value {
    tenants
        .iter()
        .map(|tenant| json!({"label": tenant.name, "credentials": tenant.keys, "rank": 1}))
        .collect()
}

/// Returns the configuration of an order, without its tenants.
fn document(revision: u64, services: &[&str], variant: u64) -> Value {
    let all = json!({"fanout": services, "result_limit": 5, "min_coverage": 0.5});
    let mut routes = vec![route("all", "/all/", "idempotent", &all)];
    for service in services {
        let destination = json!({"backend": service});
        routes.push(route(
            service,
            &format!("/{service}/"),
            "idempotent",
            &destination,
        ));
        routes.push(route(
            &format!("once-{service}"),
            &format!("/once/{service}/"),
            "mutating",
            &destination,
        ));
    }
    let backends: Vec<Value> = services
        .iter()
        .map(|service| json!({"label": service, "max_conns": 60}))
        .collect();
    json!({"revision": revision, "route_table": routes, "backends": backends,
        "constraints": {"header_bytes": 4_096, "payload_bytes": 2_000, "header_ms": 1_000,
            "quiet_ms": 5_000 + variant}})
}

fn route(label: &str, prefix: &str, mode: &str, destination: &Value) -> Value {
    let mut route = json!({"label": label, "host": "index.example", "path_prefix": prefix,
        "mode": mode, "limit_ms": 3_000, "target_ms": 1_000, "rank": 1, "tries": 2});
    for (field, value) in destination.as_object().into_iter().flatten() {
        route[field] = value.clone();
    }
    route
}
