//! Configurations of a given size.

use serde_json::json;

/// A valid configuration of this revision and about so many bytes. Routes are added until it is long enough.
pub fn document(revision: u64, bytes: usize) -> Vec<u8> {
    let mut routes = Vec::new();
    let mut backends = Vec::new();
    let mut length = 0;
    while length < bytes {
        let number = routes.len();
        let label = format!("search-{number:05}");
        let backend = json!({"label": label, "probe_path": "/health", "max_conns": 400});
        let route = json!({
            "label": format!("route-{number:05}"),
            "host": format!("team-{:04}.search.example", number / 4),
            "path_prefix": format!("/v1/{number}/"),
            "mode": "idempotent",
            "limit_ms": 800 + number % 7,
            "target_ms": 200,
            "rank": number % 3,
            "tries": 2,
            "backend": label,
        });
        length += route.to_string().len() + backend.to_string().len() + 2;
        routes.push(route);
        backends.push(backend);
    }
    let constraints = json!({"header_bytes": 16_384, "payload_bytes": 262_144});
    json!({
        "revision": revision,
        "route_table": routes,
        "backends": backends,
        "constraints": constraints,
    })
    .to_string()
    .into_bytes()
}
