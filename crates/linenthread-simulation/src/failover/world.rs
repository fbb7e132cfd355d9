//! The state of a run: coordinators, replicas and the network between them.

use linenthread_core::interface::{
    MembershipEntry, MembershipUpdate, Phase, QueryIndex, ReplicaIndex, SubRequestIndex,
    TenthMillis,
};
use linenthread_zones::{FailoverController, Report};
use oorandom::Rand64;

use super::coordinator::{CoordinatorNode, zone_routes};
use super::event::Event;
use super::fault::Fault;
use super::policy::Policy;
use super::replica::Replica;
use super::statistics::Totals;
use super::topology;
use super::{CORES, NODES_PER_ZONE, REPLICAS, SERVICE_TIME, START, SUB_REQUESTS_PER_QUERY, ZONES};
use crate::event_queue::EventQueue;
use crate::number;

/// The id of the first replica; the value is arbitrary.
const FIRST_REPLICA_ID: u64 = 1_000;
/// The one-way latency within a zone.
const LOCAL_LATENCY: TenthMillis = 5;
/// The one-way latency between zones.
const REMOTE_LATENCY: TenthMillis = 25;
/// The factor by which the replicas of a slow zone are slower.
const SLOWDOWN: f64 = 6.0;

/// An attempt of a sub-request.
pub(super) struct Attempt {
    pub(super) coordinator: usize,
    pub(super) query: QueryIndex,
    pub(super) sub_request: SubRequestIndex,
    pub(super) number: usize,
    pub(super) replica: usize,
    pub(super) sent_at: TenthMillis,
    pub(super) is_over: bool,
    /// The length of the replica's queue when the attempt arrived.
    pub(super) queue_depth: u32,
}

/// The state of a run.
pub(super) struct World {
    pub(super) now: TenthMillis,
    pub(super) policy: Policy,
    pub(super) fault: Fault,
    pub(super) rng: Rand64,
    pub(super) events: EventQueue<Event>,
    pub(super) attempts: Vec<Attempt>,
    pub(super) replicas: Vec<Replica>,
    pub(super) coordinators: Vec<CoordinatorNode>,
    pub(super) membership_updates: Vec<Vec<MembershipEntry>>,
    /// Queries per tenth of a millisecond at one coordinator.
    pub(super) query_rate: f64,
    pub(super) controller: FailoverController,
    /// The sum of the reports that the leader has not processed yet.
    pub(super) pending_report: Report,
    pub(super) fault_is_active: bool,
    pub(super) fault_is_over: bool,
    pub(super) totals: Totals,
}

impl World {
    /// Creates the state before the first query.
    pub(super) fn new(policy: Policy, fault: Fault, utilization: f64, seed: u64) -> World {
        let capacity = number::to_f64(REPLICAS) * number::to_f64(CORES) / SERVICE_TIME;
        let coordinators = ZONES * NODES_PER_ZONE;
        let query_rate = capacity * utilization
            / number::to_f64(SUB_REQUESTS_PER_QUERY)
            / number::to_f64(coordinators);
        let mut world = World {
            now: START,
            policy,
            fault,
            rng: Rand64::new(u128::from(seed)),
            events: EventQueue::default(),
            attempts: Vec::new(),
            replicas: vec![Replica::running(); REPLICAS],
            coordinators: (0..coordinators)
                .map(|number| CoordinatorNode::new(number, seed))
                .collect(),
            membership_updates: Vec::new(),
            query_rate,
            controller: topology::controller(START),
            pending_report: Report::default(),
            fault_is_active: false,
            fault_is_over: false,
            totals: Totals::default(),
        };
        let members: Vec<MembershipEntry> = (0..REPLICAS)
            .map(|replica| world.membership_entry(replica, Phase::Ready))
            .collect();
        for node in &mut world.coordinators {
            let snapshot = MembershipUpdate::Snapshot(members.clone());
            node.inputs.membership.push(snapshot);
            if policy != Policy::SelectionOnly {
                node.inputs.zone_routes = Some(zone_routes(node.zone, None));
            }
        }
        world
    }

    pub(super) fn membership_entry(&self, replica: usize, phase: Phase) -> MembershipEntry {
        MembershipEntry {
            replica: ReplicaIndex(replica),
            id: FIRST_REPLICA_ID + number::to_u64(replica),
            replica_group: replica,
            zone: replica % ZONES,
            phase,
            started_at: self.replicas[replica].started_at,
            slow_start_share: None,
        }
    }

    /// Schedules an event after `wait`, but a tenth of a millisecond from now at the earliest.
    pub(super) fn schedule(&mut self, wait: TenthMillis, event: Event) {
        self.events.push(self.now + wait.max(1), event);
    }

    /// Reports whether a zone is currently lost.
    pub(super) fn is_lost(&self, zone: usize) -> bool {
        self.fault_is_active && self.fault.loses(zone)
    }

    /// Reports whether two zones currently cannot reach each other.
    pub(super) fn is_partitioned(&self, a: usize, b: usize) -> bool {
        self.fault_is_active && self.fault.partitions(a, b)
    }

    /// Reports whether a coordinator and a replica cannot reach each other.
    pub(super) fn is_unreachable(&self, coordinator: usize, replica: usize) -> bool {
        self.is_partitioned(self.coordinators[coordinator].zone, replica % ZONES)
    }

    /// Returns the one-way latency between a coordinator and a replica.
    pub(super) fn latency(&self, coordinator: usize, replica: usize) -> TenthMillis {
        if self.coordinators[coordinator].zone == replica % ZONES {
            LOCAL_LATENCY
        } else {
            REMOTE_LATENCY
        }
    }

    /// Returns the current speed of a replica as a fraction of its full speed.
    pub(super) fn speed(&self, replica: usize) -> f64 {
        let is_slow = self.fault_is_active && self.fault.slows(replica % ZONES);
        let slowdown = if is_slow { SLOWDOWN } else { 1.0 };
        self.replicas[replica].warm_up_speed(self.now) / slowdown
    }
}
