//! The decisions of a co-ordinator of queries over replicated shards.
//!
//! [`Coordinator`] is a deterministic state machine: each [`step`](Coordinator::step) takes what has arrived
//! since the last one ([`interface::Inputs`]) and writes its decisions to a [`DecisionSink`]. The package does
//! no I/O, reads no clock, and knows no protocol: its callers decode requests and settings, hand out indices
//! for replicas and queries, and carry the decisions out.
//!
//! A "co-ordinator" is here whoever runs a [`Coordinator`]: the process `linenthread` (`linenthread-service`), and each
//! dispatcher of an ingress node (`linenthread-dataplane`). Where the module counts co-ordinators, it counts processes
//! of the first kind, or ingress nodes.
//!
//! Start reading with [`interface`], the plain types that go in and come out, then [`policy`], where each
//! decision has a module. The records and sums that decisions are based on are in `state`; nothing is
//! decided there. What turns floating-point numbers into integers is in [`conversion`].

pub mod conversion;
pub mod interface;
pub mod policy;
mod state;

pub use interface::DecisionSink;
pub use policy::Coordinator;
