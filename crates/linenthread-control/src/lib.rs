//! ControlNode of the system as state machines; no I/O, and no clock is read. Times are milliseconds of a steady
//! clock. [`ControlNode`] is one node. It owns these tables, and routes each message to one of them:
//!
//! | table | module |
//! | --- | --- |
//! | sessions with other control nodes, who is in contact | `membership`, `dialling` |
//! | replicas, and calls that wait until a majority knows | `replicas`, `drains` |
//! | sessions of fronts and the log of changes that they follow | `fronts`, `log` |
//! | jobs of the register | `requests` |
//! | what the leader allots of the further tries | `allotments`, `budget` |
//!
//! What it does with them: `node` (agreement, time), `sessions`
//! (routing), `contact` (what may be said without a majority,
//! or after a freeze), `replica_calls`, `configuration` (orders, reads, updates of fronts), `leader` (the
//! lease), `voters` (who votes, leaving) by the pure decisions of [`reconfiguration`].
#![expect(
    missing_docs,
    reason = "public items of this package are not all documented yet"
)]

mod change_log;
mod config;
mod contact;
mod control_node;
mod dialling;
mod drains;
mod ingress_nodes;
mod leader;
mod membership;
mod orders;
mod quota;
pub mod reconfiguration;
mod replica_registry;
mod replica_requests;
mod requests;
mod retry_budget;
mod sessions;
mod state_log;
mod status;
mod timing;
mod voters;

pub use change_log::ChangeLog;
pub use config::{Effect, NodeConfig, Response};
pub use control_node::ControlNode;
pub use replica_registry::{HeartbeatOutcome, KnownReplica, ReplicaHeartbeat, ReplicaRegistry};
pub use retry_budget::RetryBudget;
pub use state_log::{OpenedState, StateLog, StateLogError};
pub use timing::CONTACT;

/// A connection with a peer, named by whoever owns the sockets.
pub type SessionId = u64;
/// A call that waits for its answer, named by whoever took it.
pub type CallId = u64;
