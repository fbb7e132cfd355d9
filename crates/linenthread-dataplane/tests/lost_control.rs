//! An ingress node that has lost contact with the control nodes cannot know which keys were revoked. The settings
//! determine whether it continues to serve.

mod keyed_ingress;

use std::time::Duration;

use linenthread_dataplane_sim::simulation::in_simulated_time;
use yare::parameterized;

use self::keyed_ingress::{Client, ONE_TENANT, Replicas, configuration, ingress};

/// How long an ingress node may serve without contact with the control nodes in these tests.
const REVOKE_MS: u64 = 5_000;
const REVOCATION_LIMIT: Duration = Duration::from_millis(REVOKE_MS);
const KEY: &str = "Authorization: Bearer key-of-milo40\r\n";

/// Returns the status of a request `elapsed_ms` after the last contact with a control node (`None`: no contact yet),
/// and the number of requests that ran.
fn status_after(
    has_limit: bool,
    elapsed_ms: Option<u64>,
    clients: Option<&str>,
    path: &str,
) -> (u16, usize) {
    let replicas = Replicas::default();
    let status = in_simulated_time(async {
        let plane = ingress(&replicas, |settings| {
            settings.revocation_limit = has_limit.then_some(REVOCATION_LIMIT);
        });
        plane.apply_configuration(configuration(1, clients).as_bytes());
        if let Some(elapsed_ms) = elapsed_ms {
            plane.record_control_contact();
            tokio::time::sleep(Duration::from_millis(elapsed_ms)).await;
        }
        Client::connect(plane).status(path, KEY).await
    });
    (status, replicas.requests.get())
}

// Guards against a key that is revoked during a loss of contact and remains valid as long as the loss lasts.
#[parameterized(
    in_contact = { true, Some(0), Some(ONE_TENANT), "/closed/x", 200 },
    at_the_limit = { true, Some(REVOKE_MS), Some(ONE_TENANT), "/closed/x", 200 },
    beyond_the_limit = { true, Some(REVOKE_MS + 1), Some(ONE_TENANT), "/closed/x", 503 },
    never_in_contact = { true, None, Some(ONE_TENANT), "/closed/x", 503 },
    public_route = { true, Some(REVOKE_MS + 1), Some(ONE_TENANT), "/open/x", 200 },
    no_route = { true, Some(REVOKE_MS + 1), Some(ONE_TENANT), "/nowhere/x", 404 },
    without_tenants = { true, Some(REVOKE_MS + 1), None, "/closed/x", 200 },
    no_limit = { false, Some(100 * REVOKE_MS), Some(ONE_TENANT), "/closed/x", 200 },
    no_limit_and_never_in_contact = { false, None, Some(ONE_TENANT), "/closed/x", 200 },
)]
fn a_node_without_control_contact_rejects_requests_that_need_a_key(
    has_limit: bool,
    elapsed_ms: Option<u64>,
    clients: Option<&str>,
    path: &str,
    expected: u16,
) {
    let runs = usize::from(expected == 200);
    let actual = status_after(has_limit, elapsed_ms, clients, path);
    assert_eq!(actual, (expected, runs));
}

// Guards against a node that keeps rejecting requests after contact is restored, and against closing the connection
// with each rejection.
#[test]
fn a_node_serves_again_on_the_same_connection_once_contact_is_restored() {
    let replicas = Replicas::default();
    let statuses = in_simulated_time(async {
        let plane = ingress(&replicas, |settings| {
            settings.revocation_limit = Some(REVOCATION_LIMIT);
        });
        plane.apply_configuration(configuration(1, Some(ONE_TENANT)).as_bytes());
        let mut client = Client::connect(plane.clone());
        let before = client.status("/closed/x", KEY).await;
        plane.record_control_contact();
        [before, client.status("/closed/x", KEY).await]
    });
    assert_eq!(statuses, [503, 200]);
}
