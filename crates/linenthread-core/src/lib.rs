//! The decisions of a co-ordinator of queries over replicated shards.
//!
//! [`Coordinator`] is a deterministic state machine: each [`step`](Coordinator::step) takes what has arrived
//! since the last one ([`interface::Inputs`]) and writes its decisions to a [`DecisionSink`]. The package does
//! no I/O, reads no clock, and knows no protocol: its callers decode requests and settings, hand out indices
//! for replicas and queries, and carry the decisions out.
//!
//! Start reading with [`interface`], the plain types that go in and come out, then [`policy`], where one module
//! stands for each decision. The records and sums that decisions are based on are in `state`; nothing is
//! decided there. What turns floating-point numbers into integers is in [`conversion`].

pub mod conversion;
pub mod interface;
pub mod policy;
mod state;

pub use interface::DecisionSink;
pub use policy::Coordinator;
