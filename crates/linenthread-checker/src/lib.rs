//! Exhaustive checking of the agreement in the small: every interleaving of a bounded instance, over the very state
//! machines that the daemons run ([`linenthread_consensus::Register`], [`linenthread_consensus::LeaderLease`]).
//!
//! | module | job |
//! | --- | --- |
//! | `instance` | what is explored: calls, and how often what may happen |
//! | `world` | one state of all nodes, their disks, the network, and what was answered so far |
//! | `step` | what can happen next, and what the world is then |
//! | `invariants` | what must hold in each state |
//! | `fingerprint` | 128 bits that stand for a state |
//! | `lease` | the leader lease as a second model: [`LeaseInstance`] |
//! | `search` | breadth-first search with a set of the states that were seen |
//!
//! A message in flight may be delivered at any time or never, which covers loss and any order. Time is abstract: a
//! tick of a node moves its clock past each time-out. A set of 128-bit fingerprints stands for the states that were
//! seen.
#![expect(
    missing_docs,
    reason = "public items of this package are not all documented yet"
)]

mod fingerprint;
mod instance;
mod invariants;
mod lease;
mod search;
mod step;
mod world;

pub use instance::{Call, CallFault, Instance};
pub use lease::LeaseInstance;
pub use search::{Breach, Model, Report, explore};
