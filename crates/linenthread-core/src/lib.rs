//! Decision logic of a co-ordinator that runs queries over replicated shards.
//!
//! [`Coordinator`] is a deterministic state machine: each [`step`](Coordinator::step) consumes the inputs that arrived
//! since the previous step ([`interface::Inputs`]) and writes its decisions to a [`DecisionSink`]. The crate does no
//! I/O, reads no clock and implements no protocol: callers decode requests and settings, assign indices to replicas and
//! queries, and carry out the decisions.
//!
//! Two components run a [`Coordinator`], and "co-ordinator" means either: the process `linenthread`
//! (`linenthread-service`), and each dispatcher of an ingress node (`linenthread-dataplane`). A number of co-ordinators
//! is the number of `linenthread` processes or of ingress nodes.
//!
//! Start with [`interface`], the input and output types, then [`policy`], which has one module for each decision. The
//! private module `state` holds the records and statistics that decisions are based on, and makes none itself.
//! [`conversion`] converts floating-point numbers and durations to integers.

pub mod conversion;
pub mod interface;
pub mod policy;
mod state;

pub use interface::DecisionSink;
pub use policy::Coordinator;
