//! The simulated system: control nodes, ingress nodes and replicas, sessions with latencies, and events in order.
//!
//! [`run`] is the event loop. It uses [`control_nodes`], [`ingress_nodes`] and [`callers`], and they use [`responses`]
//! and the state in [`state`].

mod callers;
mod control_nodes;
mod ingress_nodes;
mod responses;
mod run;
mod state;

pub(crate) use run::MEASURED_FROM;
pub(crate) use state::{ControlMachine, World, control_name};
