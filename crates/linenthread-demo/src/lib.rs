//! The system at work on loopback: control nodes and fronts as real processes, each at an address of its own
//! in 127.0.0.0/8, stand-in replicas that note what they ran and misbehave on cue, calls as clients and
//! operators make them, and rounds that bring about the worst days of a deployment.
#![expect(
    missing_docs,
    reason = "public items of this package are not all documented yet"
)]

mod cluster;
mod log_lines;
mod machine;
mod operator;
mod replica;
pub mod rounds;

pub use cluster::Cluster;
pub use machine::Signal;
pub use operator::{
    Observed, Order, Writer, Written, drain_at, read_at, replace_anywhere, replace_at,
};
pub use replica::{Misbehaviour, Ran, Replica, records};
