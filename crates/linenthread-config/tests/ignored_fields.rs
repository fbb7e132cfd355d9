//! Detection of configuration fields that have no effect, so that operators can be warned.

use linenthread_config::ignored_fields;
use serde_json::{Value, json};
use yare::parameterized;

fn document() -> Value {
    json!({
        "revision": 1,
        "route_table": [{
            "label": "r", "host": "h", "path_prefix": "/", "mode": "idempotent", "limit_ms": 1, "public": true,
            "apportion": [{ "backend": "b", "share": 1 }]
        }],
        "backends": [{ "label": "b", "probe_path": "/health", "max_conns": 1, "protocol": "h1", "secure": false }],
        "constraints": { "header_bytes": 1, "payload_bytes": 1, "header_ms": 1, "quiet_ms": 1 },
        "clients": [{ "label": "t", "credentials": ["k"], "rank": 1 }]
    })
}

fn ignored(document: &Value) -> Vec<String> {
    ignored_fields(document).into_iter().collect()
}

#[test]
fn no_supported_field_is_reported() {
    assert_eq!(ignored(&document()), Vec::<String>::new());
}

// Guards against fields that are silently ignored because this version doesn't implement them, as `clients` once was.
#[parameterized(
    top_level = { "", "quotas", "/quotas" },
    route = { "/route_table/0", "rate_s", "/route_table/*/rate_s" },
    part_of_a_route = { "/route_table/0/apportion/0", "zone", "/route_table/*/apportion/*/zone" },
    backend = { "/backends/0", "weight", "/backends/*/weight" },
    limits = { "/constraints", "idle_ms", "/constraints/idle_ms" },
)]
fn unknown_fields_are_reported(parent: &str, name: &str, path: &str) {
    let mut document = document();
    document.pointer_mut(parent).expect("an existing parent")[name] = json!({ "nested": 1 });
    assert_eq!(ignored(&document), [path]);
}

// Guards against a backend that is configured for TLS or HTTP/2, which are not supported, without a warning.
#[parameterized(
    protocol = { "protocol", json!("h2") },
    secure = { "secure", json!(true) },
)]
fn unsupported_values_are_reported(name: &str, value: Value) {
    let mut document = document();
    document["backends"][0][name] = value;
    assert_eq!(ignored(&document), [format!("/backends/*/{name}")]);
}

// Guards against logging a key that was misplaced as a field's name.
#[test]
fn names_of_unknown_tenant_fields_are_withheld() {
    let mut document = document();
    document["clients"][0]["secret-key"] = json!(1);
    assert_eq!(ignored(&document), ["/clients/*/(name withheld)"]);
}
