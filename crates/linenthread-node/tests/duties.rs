//! Status of the duties at the platform: read from processes on loopback and combined by `linenthread-ctl`.

use std::path::Path;
use std::time::{Duration, Instant};

use linenthread_ctl::control_api::DUTIES_PATH;
use linenthread_ctl::{DutiesStatus, DutyHolder, DutyReport, Request};
use linenthread_demo::Cluster;

/// The timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a duty may be without a holder.
const HOLDER_TIMEOUT: Duration = Duration::from_secs(20);
/// The timeout for an expected log line.
const LOG_TIMEOUT: Duration = Duration::from_secs(20);
/// The interval between two reads of the status.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const CONTROL_NODES: [&str; 3] = ["control-1", "control-2", "control-3"];

/// Returns the status combined from the reports of all control nodes that respond.
fn duties(cluster: &Cluster) -> DutiesStatus {
    let reports = cluster
        .control_addresses()
        .into_iter()
        .filter_map(|address| {
            Request::get(DUTIES_PATH)
                .send_to(address, CALL_TIMEOUT)
                .ok()
        });
    let reports: Vec<DutyReport> = reports
        .flat_map(|response| serde_json::from_slice::<Vec<DutyReport>>(&response.body).unwrap())
        .collect();
    DutiesStatus::new(&reports, Vec::new())
}

/// Waits until a node holds the duty with a fencing token above `min_exclusive`, and returns the holder.
fn wait_for_holder(cluster: &Cluster, min_exclusive: u64) -> DutyHolder {
    let deadline = Instant::now() + HOLDER_TIMEOUT;
    loop {
        let mut duties = duties(cluster).duties;
        let holder = duties.pop().and_then(|duty| duty.holder);
        match holder.filter(|holder| holder.fence > min_exclusive) {
            Some(holder) => return holder,
            None => assert!(Instant::now() < deadline, "no node holds the duty"),
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

// Guards against JSON keys that the daemon writes but `linenthread-ctl` does not read, and against a holder that is
// missing from the status.
#[test]
fn the_status_shows_the_holder_of_the_duty_and_its_successor() {
    let mut cluster = Cluster::new(Path::new(env!("CARGO_BIN_EXE_linenthread-node"))).unwrap();
    // Nothing listens on the discard port, so the platform is unreachable.
    cluster.set_further_settings("cloud_api.address=127.0.0.1:9\ncloud_api.tasks=accounting\n");
    cluster.start(3, 1).unwrap();
    let first = wait_for_holder(&cluster, 0);
    assert!(CONTROL_NODES.contains(&first.node.as_str()), "{first:?}");
    cluster.kill(&first.node);
    let second = wait_for_holder(&cluster, first.fence);
    assert_ne!(second.node, first.node);
    assert!(second.held_ms < 10_000, "{second:?}");
}

#[test]
fn there_are_no_duties_if_the_settings_contain_no_platform() {
    let mut cluster = Cluster::new(Path::new(env!("CARGO_BIN_EXE_linenthread-node"))).unwrap();
    cluster.start(3, 1).unwrap();
    for node in CONTROL_NODES {
        assert!(cluster.wait_for_line(node, &["event=control_listening"], LOG_TIMEOUT));
    }
    for address in cluster.control_addresses() {
        let response = Request::get(DUTIES_PATH).send_to(address, CALL_TIMEOUT);
        let response = response.unwrap();
        assert_eq!((response.status, response.body), (200, b"[]".to_vec()));
    }
}
