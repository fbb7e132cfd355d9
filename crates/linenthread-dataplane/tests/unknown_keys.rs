//! Requests whose key is not in the configuration in force: no replica runs them, and the response is a 401.

mod keyed_ingress;

use linenthread_dataplane_sim::simulation::in_simulated_time;
use yare::parameterized;

use self::keyed_ingress::{Client, ONE_TENANT, Replicas, configuration, ingress};

// Guards against running a request whose key was never in any configuration (ROUTE).
#[parameterized(
    known_key = { ONE_TENANT, "/closed/x", "Authorization: Bearer key-of-milo40\r\n", 200 },
    unknown_key = { ONE_TENANT, "/closed/x", "Authorization: Bearer key-of-nobody\r\n", 401 },
    key_in_upper_case = { ONE_TENANT, "/closed/x", "Authorization: Bearer KEY-OF-MILO40\r\n", 401 },
    part_of_a_key = { ONE_TENANT, "/closed/x", "Authorization: Bearer key-of-milo4\r\n", 401 },
    no_key = { ONE_TENANT, "/closed/x", "", 401 },
    other_scheme = { ONE_TENANT, "/closed/x", "Authorization: Basic key-of-milo40\r\n", 401 },
    claimed_tenant = { ONE_TENANT, "/closed/x", "X-Client-Name: milo40\r\n", 401 },
    no_tenants = { "[]", "/closed/x", "Authorization: Bearer key-of-milo40\r\n", 401 },
    public_without_key = { ONE_TENANT, "/open/x", "", 200 },
    public_with_unknown_key = { ONE_TENANT, "/open/x", "Authorization: Bearer key-of-nobody\r\n", 200 },
    public_without_tenants = { "[]", "/open/x", "", 200 },
    no_route = { ONE_TENANT, "/nowhere/x", "", 404 },
)]
fn only_requests_with_a_known_key_run(clients: &str, path: &str, headers: &str, expected: u16) {
    let replicas = Replicas::default();
    let status = in_simulated_time(async {
        let plane = ingress(&replicas, |_| {});
        plane.apply_configuration(configuration(1, Some(clients)).as_bytes());
        Client::connect(plane).status(path, headers).await
    });
    let runs = usize::from(expected == 200);
    assert_eq!((status, replicas.requests.get()), (expected, runs));
}

// Guards against a revoked key that remains valid on a connection on which it was used before.
#[test]
fn a_key_removed_by_a_later_revision_is_rejected_on_open_connections() {
    let replicas = Replicas::default();
    let key = "Authorization: Bearer key-of-milo40\r\n";
    let statuses = in_simulated_time(async {
        let plane = ingress(&replicas, |_| {});
        plane.apply_configuration(configuration(1, Some(ONE_TENANT)).as_bytes());
        let mut client = Client::connect(plane.clone());
        let before = client.status("/closed/x", key).await;
        let without = r#"[{"label":"milo40","credentials":["another-key"]}]"#;
        plane.apply_configuration(configuration(2, Some(without)).as_bytes());
        let after = client.status("/closed/x", key).await;
        let renewed = "Authorization: Bearer another-key\r\n";
        [before, after, client.status("/closed/x", renewed).await]
    });
    assert_eq!(statuses, [200, 401, 200]);
    assert_eq!(replicas.requests.get(), 2);
}
