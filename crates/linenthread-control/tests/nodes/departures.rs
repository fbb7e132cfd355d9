//! Replicas that drain or depart, and losses of control nodes and disks around the acknowledgement.

use linenthread_control::{CallId, ReplicaHeartbeat, ReplicaRegistry, Response};
use linenthread_time::Instant;
use yare::parameterized;

use crate::cluster::{Cluster, ms};

/// The id of the replica that leaves.
const REPLICA: &str = "i-1";
/// How long a call may take at a control node.
const CALL_TIMEOUT_MS: u64 = 900;

fn heartbeat(phase: &str, call_count: u64) -> ReplicaHeartbeat {
    heartbeat_from("10.9.0.1:1", phase, call_count)
}

fn heartbeat_from(address: &str, phase: &str, call_count: u64) -> ReplicaHeartbeat {
    let text = format!(
        r#"{{"backend":"s","address":"{address}","zone":"z","phase":"{phase}","call_count":{call_count}}}"#
    );
    serde_json::from_str(&text).unwrap()
}

/// How a replica announces that it leaves.
#[derive(Clone, Copy)]
enum Leaving {
    Drain,
    Departure,
}

/// A cluster that a replica has sent heartbeats to.
struct Deployment {
    cluster: Cluster,
    last_call: u64,
}

impl Deployment {
    fn new(nodes: usize) -> Deployment {
        Deployment {
            cluster: Cluster::new(nodes, nodes),
            last_call: 1_000_000,
        }
    }

    /// Starts the control nodes and registers the replica long enough ago that the disks list it.
    fn with_replica(nodes: usize) -> Deployment {
        let mut deployment = Deployment::new(nodes);
        for call_count in 1..=4 {
            deployment.heartbeat(0, "available", call_count);
            deployment.cluster.run(ms(800));
        }
        deployment
    }

    fn next_call(&mut self) -> CallId {
        self.last_call += 1;
        CallId(self.last_call)
    }

    fn heartbeat(&mut self, n: usize, phase: &str, call_count: u64) -> CallId {
        let call = self.next_call();
        self.cluster.run_on(n, |control, now, effects| {
            let heartbeat = heartbeat(phase, call_count);
            control.on_replica_heartbeat(now, call, REPLICA, heartbeat, effects);
        });
        call
    }

    /// Sends the first heartbeat of another replica to a control node.
    fn register_another(&mut self) {
        self.register_another_at("10.9.0.2:1", "i-2", 1);
    }

    /// Sends a heartbeat of another replica to a control node.
    fn register_another_at(&mut self, address: &str, id: &str, call_count: u64) {
        let call = self.next_call();
        self.cluster.run_on(0, |control, now, effects| {
            let heartbeat = heartbeat_from(address, "available", call_count);
            control.on_replica_heartbeat(now, call, id, heartbeat, effects);
        });
    }

    /// Announces at a control node that the replica leaves, and waits for the response.
    fn leave(&mut self, n: usize, how: Leaving) -> Response {
        let call = match how {
            Leaving::Drain => self.heartbeat(n, "draining", 5),
            Leaving::Departure => {
                let call = self.next_call();
                self.cluster.run_on(n, |control, now, effects| {
                    control.on_replica_departure(now, call, REPLICA, effects);
                });
                call
            }
        };
        let responded = |cluster: &Cluster| cluster.nodes[n].responses.contains_key(&call);
        assert!(
            self.cluster.run_until(ms(CALL_TIMEOUT_MS + 50), responded),
            "no response in time"
        );
        self.cluster.nodes[n].responses[&call].clone()
    }

    /// Crashes all control nodes, and starts them again in this order, with a pause between them.
    fn restart(&mut self, order: &[usize]) {
        (0..self.cluster.nodes.len()).for_each(|n| self.cluster.crash(n));
        self.cluster.run(ms(500));
        for &n in order {
            self.cluster.nodes[n].sync_time = ms(2);
            self.cluster.start(n);
            self.cluster.run(ms(20));
        }
    }

    /// Reports whether a control node would tell ingress nodes that the replica is available.
    fn offers_replica(&self, n: usize) -> bool {
        let control = self.cluster.nodes[n].control.as_ref();
        control.is_some_and(|control| {
            control.has_quorum(self.cluster.now)
                && control.registry().get(REPLICA).is_some_and(|known| {
                    !known.replica.draining && !known.replica.timed_out_or_ended
                })
        })
    }

    /// Returns when a control node first offers the replica within this time, if one does.
    fn first_offer(&mut self, within_ms: u64) -> Option<Instant> {
        let is_offered = |deployment: &Deployment| {
            (0..deployment.cluster.nodes.len()).any(|n| deployment.offers_replica(n))
        };
        for _ in 0..within_ms / 5 {
            if is_offered(self) {
                return Some(self.cluster.now);
            }
            self.cluster.run(ms(5));
        }
        None
    }
}

/// Guards against DRAIN of review case 3: a restart of all control nodes right after the acknowledgement made the
/// replica available again, from disks that listed it as before.
#[parameterized(
    departure = { Leaving::Departure, &[0, 1, 2] },
    drain = { Leaving::Drain, &[0, 1, 2] },
    called_node_starts_last = { Leaving::Departure, &[2, 1, 0] },
    called_node_does_not_return = { Leaving::Departure, &[1, 2] },
    another_node_does_not_return = { Leaving::Departure, &[2, 0] },
)]
fn an_acknowledged_drain_survives_a_restart_of_all_nodes(how: Leaving, order: &[usize]) {
    // At different times since the last snapshot.
    for wait_ms in (0..1_000).step_by(45) {
        let mut deployment = Deployment::with_replica(3);
        deployment.cluster.run(ms(wait_ms));
        assert!(deployment.offers_replica(1));
        let response = deployment.leave(0, how);
        assert_eq!(response, Response::Acknowledged { report_to: None });
        deployment.restart(order);
        assert_eq!(deployment.first_offer(6_000), None, "after {wait_ms} ms");
    }
}

/// Guards against the same loss where one disk still lists the replica: it stalls, but the departure is acknowledged.
#[parameterized(
    of_the_called_node = { 0, &[0, 1, 2] },
    of_another_node = { 2, &[2, 0, 1] },
    which_starts_with_one_other = { 2, &[2, 1] },
)]
fn a_departure_is_acknowledged_and_survives_beside_a_stalled_disk(stalled: usize, order: &[usize]) {
    let mut deployment = Deployment::with_replica(3);
    deployment.cluster.nodes[stalled].sync_time = ms(60_000);
    let response = deployment.leave(0, Leaving::Departure);
    assert_eq!(response, Response::Acknowledged { report_to: None });
    // Long enough that the other disks hold a newer snapshot, in which the replica is not present.
    deployment.cluster.run(ms(5_000));
    deployment.restart(order);
    assert_eq!(deployment.first_offer(6_000), None);
}

/// Guards against the same loss after the departure has been forgotten everywhere: a disk that stalled for longer than ended
/// replicas are retained still lists the replica.
#[parameterized(
    of_another_node = { 2, &[2, 0, 1] },
    which_starts_with_one_other = { 2, &[2, 1] },
    which_starts_last = { 2, &[0, 1, 2] },
)]
fn a_disk_that_is_older_than_all_records_of_a_departure_adds_no_replica(
    stalled: usize,
    order: &[usize],
) {
    let mut deployment = Deployment::with_replica(3);
    deployment.cluster.nodes[stalled].sync_time = ms(600_000);
    deployment.leave(0, Leaving::Departure);
    deployment.cluster.run(ms(62_000));
    // A change, so that the other disks hold a snapshot that does not know the replica any more.
    deployment.register_another();
    deployment.cluster.run(ms(3_000));
    assert!(deployment.cluster.disk_state(1).drains.is_empty());
    deployment.restart(order);
    assert_eq!(deployment.first_offer(6_000), None);
}

/// Guards against a restart of all nodes that makes ingress nodes wait for heartbeats: what the disks agree on is offered.
#[test]
fn replicas_that_all_disks_list_are_offered_right_after_a_restart_of_all_nodes() {
    let mut deployment = Deployment::with_replica(3);
    deployment.restart(&[0, 1, 2]);
    assert!(deployment.first_offer(200).is_some());
}

/// Guards against a promise that rests on memory alone: without a majority of the disks there is no acknowledgement.
#[test]
fn a_departure_on_one_of_three_disks_is_not_acknowledged() {
    let mut deployment = Deployment::with_replica(3);
    deployment.cluster.nodes[1].sync_time = ms(60_000);
    deployment.cluster.nodes[2].sync_time = ms(60_000);
    let response = deployment.leave(0, Leaving::Departure);
    assert!(matches!(response, Response::Unavailable(_)), "{response:?}");
}

/// Guards against a replica that is kept out longer than needed: once it reports that it is available again, it is
/// offered, also after a restart of all nodes.
#[test]
fn a_replica_that_ends_its_drain_is_offered_again_after_a_restart() {
    let mut deployment = Deployment::with_replica(3);
    deployment.leave(0, Leaving::Drain);
    deployment.heartbeat(1, "available", 6);
    deployment.restart(&[0, 1, 2]);
    deployment.cluster.run(ms(1_500));
    deployment.heartbeat(2, "available", 7);
    assert!(deployment.first_offer(500).is_some());
}

/// Guards against DRAIN of the review's late first heartbeat: the departure of a replica that no heartbeat had arrived of
/// was acknowledged and not recorded, so that the heartbeat added the replica.
#[parameterized(
    at_the_called_node = { 0, false },
    at_another_node = { 1, false },
    after_a_restart = { 1, true },
)]
fn a_first_heartbeat_after_the_departure_adds_no_replica(n: usize, restarts: bool) {
    let mut deployment = Deployment::new(3);
    let response = deployment.leave(0, Leaving::Departure);
    assert_eq!(response, Response::Acknowledged { report_to: None });
    if restarts {
        deployment.restart(&[0, 1, 2]);
    }
    deployment.cluster.run(ms(3_000));
    deployment.heartbeat(n, "available", 1);
    assert_eq!(deployment.first_offer(6_000), None);
}

/// Guards against memory that grows with calls of unknown replicas.
#[test]
fn departures_of_unknown_replicas_are_bounded() {
    let mut registry = ReplicaRegistry::default();
    let now = Instant::from_millis(1_000);
    let mut recorded = 0;
    while registry.can_record_departure(&format!("i-{recorded}")) {
        assert!(registry.mark_departed(now, &format!("i-{recorded}")));
        recorded += 1;
    }
    assert!(recorded > 1_000 && recorded < 10_000, "{recorded}");
    assert!(
        registry.can_record_departure("i-0"),
        "it is recorded already"
    );
    registry.expire(now + ms(60_000), ms(4_000));
    assert!(registry.is_empty());
}

/// Guards against records of departures that pile up on disk: the next snapshot replaces them, and forgets those that
/// ended long ago.
#[test]
fn records_of_departures_do_not_pile_up() {
    let mut deployment = Deployment::with_replica(3);
    deployment.leave(0, Leaving::Departure);
    deployment.cluster.run(ms(5_000));
    assert_eq!(deployment.cluster.disk_state(1).drains.len(), 1);
    deployment.cluster.run(ms(60_000));
    deployment.register_another();
    deployment.cluster.run(ms(3_000));
    let disk = deployment.cluster.disk_state(1);
    assert_eq!((disk.replicas.len(), disk.drains.len()), (1, 0));
}

/// Guards against DRAIN after a drained replica has timed out: the snapshots forgot it, and a node that had been paused
/// since before the drain added it as available.
#[parameterized(
    killed = { false },
    paused = { true },
)]
fn a_drained_replica_that_timed_out_is_not_added_by_a_node_that_missed_the_drain(paused: bool) {
    let mut deployment = Deployment::with_replica(3);
    let others_heartbeat = |deployment: &mut Deployment, count| {
        deployment.register_another_at("10.9.0.3:1", "i-3", count);
        deployment.register_another_at("10.9.0.4:1", "i-4", count);
        deployment.cluster.run(ms(800));
    };
    others_heartbeat(&mut deployment, 1);
    if paused {
        deployment.cluster.nodes[2].paused = true;
    } else {
        deployment.cluster.crash(2);
    }
    assert_eq!(
        deployment.leave(0, Leaving::Drain),
        Response::Acknowledged { report_to: None }
    );
    for count in 2..14 {
        others_heartbeat(&mut deployment, count);
    }
    let known = deployment.cluster.control(1).registry().get(REPLICA);
    assert!(known.is_some_and(|known| known.replica.timed_out_or_ended));
    for n in [0, 1] {
        deployment.cluster.crash(n);
        deployment.cluster.start(n);
    }
    if paused {
        deployment.cluster.resume(2, |_, _, _| {});
    } else {
        deployment.cluster.start(2);
    }
    assert_eq!(deployment.first_offer(6_000), None);
}
