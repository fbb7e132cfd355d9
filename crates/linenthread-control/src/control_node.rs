//! [`ControlNode`]: owns the tables of a control node and routes events between them.
//!
//! Each table owns its state and its rules, in its own module in the crate root. The submodules of this module are the
//! routing layer: each passes calls, messages or timer ticks to the tables and turns the results into effects. Only these
//! modules access the fields of [`ControlNode`].

mod admission;
mod contact;
mod durability;
mod heartbeats;
mod ingress_updates;
mod leader_lease;
mod operator_calls;
mod register_driver;
mod replica_calls;
mod replica_updates;
mod sessions;
mod shutdown;
mod status;
mod ticks;
mod usage;
mod voters;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use linenthread_consensus::{DurableState, Epoch, LeaderLease, NodeId, Register, ValueNumber};
use linenthread_messages::{IngressSession, Value};
use linenthread_time::{ClockOffset, Instant};

use crate::address_book::AddressBook;
use crate::agreed_time::AgreedTime;
use crate::ingress_nodes::IngressNodes;
use crate::local_durability::LocalDurability;
use crate::membership::Membership;
use crate::pending_drains::PendingDrains;
use crate::pending_jobs::PendingJobs;
use crate::quorum_contact::QuorumContact;
use crate::quota_allocator::QuotaAllocator;
use crate::replica_snapshot::ReplicaSnapshotWriter;
use crate::tick_schedule::TickSchedule;
use crate::usage_duty::UsageDuty;
use crate::usage_ledger::UsageLedger;
use crate::voting_state::VotingState;
use crate::{NodeConfig, ReplicaRegistry, RetryBudget};

use register_driver::LoopbackEvent;

/// The state machine of one control node: it takes calls, messages and ticks, and returns effects for the caller to
/// perform. It does no I/O and reads no clock.
pub struct ControlNode {
    config: NodeConfig,
    /// The replicated register that holds the configuration and the voters.
    register: Register,
    lease: LeaderLease,
    /// When this node last acquired the leader lease; renewals do not count.
    lease_acquired_at: Option<Instant>,
    voting: VotingState,
    /// Events from this node to itself: messages as one of the voters, and completed syncs of its disk.
    loopback: VecDeque<LoopbackEvent>,
    pending_jobs: PendingJobs,
    durability: LocalDurability,
    contact: QuorumContact,
    membership: Membership,
    agreed_time: AgreedTime,
    address_book: AddressBook,
    registry: ReplicaRegistry,
    pending_drains: PendingDrains,
    snapshot_writer: ReplicaSnapshotWriter,
    ingress_nodes: IngressNodes,
    quota_allocator: QuotaAllocator,
    usage_ledger: UsageLedger,
    usage_duty: UsageDuty,
    /// When a graceful shutdown was requested.
    shutdown_requested_at: Option<Instant>,
    ticks: TickSchedule,
}

impl ControlNode {
    /// Creates a node from the state on its disk. `id` is the identity of the disk; `genesis` is value 0 if the
    /// cluster starts for the first time.
    pub fn new(
        config: NodeConfig,
        id: NodeId,
        mut durable_state: DurableState,
        genesis: Option<Value>,
        now: Instant,
    ) -> ControlNode {
        let replicas = std::mem::take(&mut durable_state.replicas);
        let drains = std::mem::take(&mut durable_state.drains);
        let epoch = durable_state.epoch;
        let budget = RetryBudget::new(config.retry_allowance, config.retry_window);
        let mut control = ControlNode {
            lease: LeaderLease::new(config.incarnation, now, config.is_genesis, epoch),
            lease_acquired_at: None,
            register: Register::new(id, durable_state, genesis, config.incarnation),
            voting: VotingState::new(now),
            loopback: VecDeque::new(),
            pending_jobs: PendingJobs::default(),
            durability: LocalDurability::new(epoch),
            contact: QuorumContact::new(now),
            membership: Membership::default(),
            agreed_time: AgreedTime::default(),
            address_book: AddressBook::new(config.control_address.clone(), &config.bootstrap, now),
            registry: ReplicaRegistry::default(),
            pending_drains: PendingDrains::default(),
            snapshot_writer: ReplicaSnapshotWriter::new(now),
            ingress_nodes: IngressNodes::new(config.incarnation),
            quota_allocator: QuotaAllocator::new(budget, config.is_genesis),
            usage_ledger: UsageLedger::default(),
            usage_duty: new_usage_duty(&config, now),
            shutdown_requested_at: None,
            ticks: TickSchedule::new(),
            config,
        };
        control.adopt_durable_value(now);
        // Replicas known before the restart may still be running: each gets the usual time to send a heartbeat.
        control
            .registry
            .restore(now, replicas.iter().chain(drains.values()));
        control
    }

    fn adopt_durable_value(&mut self, now: Instant) {
        for voter in self.register.voters().to_vec() {
            self.address_book.learn(now, &voter.address);
        }
        self.voting.set_voter(self.is_voter());
        if let Some(value) = self.register.decided() {
            self.voting.on_decided(now, value);
            self.lease.on_decided(value);
            self.lease.observe_epoch(Epoch::new(value.epoch));
        }
    }

    /// Returns this node's view of the replicated register.
    pub fn register(&self) -> &Register {
        &self.register
    }

    /// Returns this node's view of the replicas.
    pub fn registry(&self) -> &ReplicaRegistry {
        &self.registry
    }

    /// Returns the epoch under which this node holds the leader lease, or `None` if it is not the leader.
    pub fn lease_epoch(&self, now: Instant) -> Option<Epoch> {
        self.lease.held_epoch(now)
    }

    /// Returns all ingress nodes that have a session with any control node, by name.
    pub fn ingress_sessions(&self) -> BTreeMap<String, IngressSession> {
        self.ingress_nodes.all_sessions()
    }

    /// Returns the time of day that the control nodes agree on, as an offset from this node's monotonic clock; `None`
    /// while it is unknown. Without contact with a majority ([`ControlNode::has_quorum`]) it may rest on the clocks of
    /// only a few nodes.
    pub fn agreed_offset(&self, now: Instant) -> Option<ClockOffset> {
        self.agreed_time.offset(now)
    }

    fn is_leader(&self, now: Instant) -> bool {
        self.lease_epoch(now).is_some()
    }

    fn is_shutting_down(&self) -> bool {
        self.shutdown_requested_at.is_some()
    }

    /// Returns the number of the newest value, or [`ValueNumber::FIRST`] if there is none.
    fn value_number(&self) -> ValueNumber {
        self.register.value_number()
    }
}

/// Creates the state of usage reporting. Without a usage configuration it is never used to make calls.
fn new_usage_duty(config: &NodeConfig, now: Instant) -> UsageDuty {
    let (lease, calls_per_second) = config
        .usage
        .as_ref()
        .map_or((Duration::ZERO, 1.0), |usage| {
            (usage.lease, usage.calls_per_second)
        });
    UsageDuty::new(now, lease, calls_per_second, config.incarnation.get())
}
