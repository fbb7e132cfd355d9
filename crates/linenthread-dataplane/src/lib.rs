//! The request path of an ingress node: client connections, the dispatchers that feed requests to the decision module,
//! and the connections to replicas.
//!
//! ```text
//! client -> server (receive, forward) -> data_plane -> dispatcher <-> decision module
//!                                                          |
//! client <- server (respond) <- response <- query <----- pool (exchange) <-> replica
//! ```
//!
//! All I/O goes through the traits in [`transport`] and all time through `tokio::time`, so that the same code runs in
//! the daemon over TCP and in the simulator over in-memory connections with a paused clock. This package is
//! independent of control nodes and operators: its caller supplies configurations, replicas and quotas.
//! `docs/dataplane-safety.md` describes how a response is matched to its request, and what keeps a non-idempotent
//! request from running twice.
//!
//! Start reading at [`DataPlane`] and [`serve`]; the retry rules are in [`outcome`].

mod agreed_clock;
pub mod clock;
pub mod connection;
mod counter;
mod data_plane;
mod dispatcher;
mod graceful_shutdown;
pub mod outcome;
pub mod pool;
mod rejected_input;
mod replica_table;
mod response;
mod retry_quota;
mod server;
mod shutdown;
pub mod transport;
mod usage_counter;
mod usage_rule;
mod zone_indices;

pub use agreed_clock::AgreedClock;
pub use data_plane::DataPlane;
pub use dispatcher::{PendingResponse, QueryParameters};
pub use graceful_shutdown::{ShutdownSchedule, drain};
pub use rejected_input::log_rejected_input;
pub use replica_table::UpdateScope;
pub use retry_quota::RetryQuota;
pub use server::serve;
pub use shutdown::ShutdownWatch;
pub use usage_counter::UsageCounter;
pub use usage_rule::{UsageRule, requests_to_count};
