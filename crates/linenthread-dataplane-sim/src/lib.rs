//! Simulation of the data plane in simulated time. The daemon's own server, dispatchers, decision module and connection
//! pools run against simulated replicas over in-memory connections, with faults drawn from a seed.
//!
//! The checks are black-box: they see the bytes that clients and replicas receive, but none of the data plane's state.
//! The same seed gives the same execution, which is identified by a digest.
//!
//! ```text
//! simulation -> client ------> checker -> event_log
//!     |            |
//!     |        data plane
//!     |            |
//!     +------> replica_set -> replica -> fault_plan, network, content, tenants
//! ```
//!
//! The entry point is [`simulation::run`]. The rules that are checked are listed in [`checker`].

pub mod checker;
mod client;
mod content;
pub mod deployment;
mod event_log;
pub mod fault_plan;
mod ingress_process;
pub mod network;
mod random;
pub mod replica;
mod replica_set;
pub mod simulation;
mod tenants;
