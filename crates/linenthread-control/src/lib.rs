//! A control node as one state machine: it keeps the registry of replicas, serves operators and ingress nodes, and
//! takes part in the agreement on the configuration.
//!
//! The package does no I/O and reads no clock. Whoever drives it (the daemon, a simulation, a test) passes in
//! messages, calls and the present [`linenthread_time::Instant`], and carries out the [`Effect`]s that come back, in
//! their order. It must not know of sockets, files, threads or the time of day; only [`StateLog`] writes bytes, to
//! whatever [`linenthread_store::Files`] it is given.
//!
//! Start reading at [`ControlNode`] (`control_node`), then `ticks` for what happens by time and `sessions` for what
//! happens by message.
//!
//! | concern | modules |
//! | --- | --- |
//! | the node and what drives it | `control_node`, `ticks`, `tick_schedule`, `sessions`, `register_driver`, `pending_jobs` |
//! | contact with a quorum, and what may be answered without it | `quorum_contact`, `admission`, `heartbeats` |
//! | the other control nodes | `membership`, `address_book` |
//! | replicas | `replica_registry`, `replica_calls`, `replica_updates`, `pending_drains`, `replica_snapshot` |
//! | operators | `operator_calls`, `status` |
//! | ingress nodes | `ingress_nodes`, `ingress_updates`, `change_log` |
//! | leadership | `leader_lease`, `quota_allocator`, `retry_budget` |
//! | voters | `voters`, with the pure decisions in [`reconfiguration`] |
//! | graceful shutdown | `shutdown`, with the pure decisions in [`graceful_shutdown`] |
//! | durable state | `own_durability`, `state_log` |

mod address_book;
mod admission;
mod change_log;
mod config;
mod control_node;
mod control_peer;
mod effect;
mod event;
pub mod graceful_shutdown;
mod heartbeats;
mod ids;
mod ingress_nodes;
mod ingress_peer;
mod ingress_updates;
mod leader_lease;
mod membership;
mod operator_calls;
mod own_durability;
mod pending_drains;
mod pending_jobs;
mod quorum_contact;
mod quota_allocator;
pub mod reconfiguration;
mod register_driver;
mod replica_calls;
mod replica_registry;
mod replica_snapshot;
mod replica_updates;
mod response;
mod retry_budget;
mod sessions;
mod shutdown;
mod state_log;
mod status;
mod tick_schedule;
mod ticks;
mod timing;
mod voters;

pub use change_log::{ChangeLog, ChangeLogOffset};
pub use config::NodeConfig;
pub use control_node::ControlNode;
pub use effect::Effect;
pub use event::ControlEvent;
pub use ids::{CallId, SessionId};
pub use ingress_nodes::IngressIncarnation;
pub use replica_registry::{
    HeartbeatOutcome, Observation, RegisteredReplica, ReplicaHeartbeat, ReplicaPhase,
    ReplicaRegistry,
};
pub use response::{Response, UnavailableReason};
pub use retry_budget::RetryBudget;
pub use state_log::{OpenedState, StateLog, StateLogError};
pub use timing::CONTACT_TIMEOUT;

// Types of the consensus that this interface is made of.
pub use linenthread_consensus::{
    DeferredMessage, Epoch, Incarnation, NodeId, Revision, ValueNumber,
};
