//! The control node as a state machine: it maintains the replica registry, serves operators and ingress nodes, and
//! takes part in the consensus on the configuration.
//!
//! This crate does no I/O and reads no clock. Its driver (the daemon, a simulation or a test) passes in messages, calls
//! and the current [`linenthread_time::Instant`], and carries out the returned [`Effect`]s in order. The crate must not
//! depend on sockets, files, threads or the time of day; only [`StateLog`] writes bytes, to the
//! [`linenthread_store::Files`] passed to it.
//!
//! Start reading at [`ControlNode`] (`control_node`), then `control_node/ticks` for work driven by time and
//! `control_node/sessions` for work driven by messages. The state tables and decision functions don't depend on each
//! other; the modules below `control_node` connect them.
//!
//! | concern | state tables and decision functions | connected in, below `control_node` |
//! | --- | --- | --- |
//! | scheduling and pending jobs | `tick_schedule`, `pending_jobs` | `ticks`, `sessions`, `register_driver` |
//! | contact with a quorum, and which calls are answered without it | `quorum_contact` | `contact`, `admission`, `heartbeats` |
//! | hello messages and heartbeats, by kind of peer | `peer_hello`, `peer_heartbeat` | `sessions`, `heartbeats` |
//! | the other control nodes | `membership`, `control_peer`, `address_book` | `heartbeats`, `replica_updates` |
//! | replicas | `replica_heartbeat`, `replica_registry`, `registered_replica`, `change_log`, `pending_drains`, `replica_snapshot` | `replica_calls`, `replica_updates` |
//! | operators | | `operator_calls`, `status` |
//! | ingress nodes | `ingress_nodes`, `ingress_peer` | `ingress_updates` |
//! | wall-clock time, for usage report windows only | `agreed_time` | `heartbeats` |
//! | leadership | `quota_allocator`, `retry_budget` | `leader_lease` |
//! | usage reports | `usage_ledger`, `usage_duty`, `usage_body`, `platform_call` | `usage` |
//! | voters | `voting_state`, [`reconfiguration`] | `voters` |
//! | graceful shutdown | [`graceful_shutdown`] | `shutdown` |
//! | durable state | `local_durability`, `state_log` | `durability` |

mod address_book;
mod agreed_time;
mod change_log;
mod config;
mod control_node;
mod control_peer;
mod effect;
mod event;
pub mod graceful_shutdown;
mod ids;
mod ingress_nodes;
mod ingress_peer;
mod local_durability;
mod membership;
mod peer_heartbeat;
mod peer_hello;
mod pending_drains;
mod pending_jobs;
mod platform_call;
mod quorum_contact;
mod quota_allocator;
pub mod reconfiguration;
mod registered_replica;
mod replica_heartbeat;
mod replica_registry;
mod replica_snapshot;
mod response;
mod retry_budget;
mod state_log;
mod tick_schedule;
mod timing;
mod usage_body;
pub mod usage_duty;
pub mod usage_ledger;
mod voting_state;

pub use agreed_time::AgreedTime;
pub use change_log::{ChangeLog, ChangeLogOffset};
pub use config::{NodeConfig, UsageConfig};
pub use control_node::ControlNode;
pub use effect::Effect;
pub use event::ControlEvent;
pub use ids::{CallId, SessionId};
pub use ingress_nodes::IngressIncarnation;
pub use platform_call::{PlatformCall, PlatformCallId, PlatformOutcome};
pub use quota_allocator::QuotaRequestNumber;
pub use registered_replica::{HeartbeatOutcome, RegisteredReplica};
pub use replica_heartbeat::{ReplicaHeartbeat, ReportedPhase};
pub use replica_registry::{Observation, ReplicaRegistry};
pub use response::{Response, UnavailableReason};
pub use retry_budget::{EarlierGrants, RetryBudget};
pub use state_log::{OpenedState, StateLog, StateLogError};
pub use timing::CONTACT_TIMEOUT;

// Consensus types that appear in the public interface of this crate.
pub use linenthread_consensus::{
    AfterSync, Epoch, Incarnation, NodeId, Order, Revision, ValueNumber,
};
