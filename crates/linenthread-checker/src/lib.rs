//! Exhaustive checks of the consensus: every interleaving of bounded scenarios, over the very state machines that the
//! daemons run ([`linenthread_consensus::Register`], [`linenthread_consensus::LeaderLease`]).
//!
//! A message in flight may be delivered at any time or never, which covers loss, delay and reordering. Time is abstract:
//! a tick moves a node's clock past every time-out. The invariants are those of `docs/control-orders.md`.
//!
//! This package knows nothing of the control node around the state machines, of sessions, or of real disks; for those
//! see the simulation of the whole system. Start reading at [`Model`] and [`explore`], then at [`Scenario`].
//!
//! | module | job |
//! | --- | --- |
//! | `model` | what can be explored |
//! | `search` | breadth-first search over the states of a model |
//! | `fingerprint` | what stands for a state in the set of the visited ones |
//! | `node_index` | the nodes of a model |
//! | `register` | the register as a model: [`Scenario`] |
//! | `lease` | the leader lease as a model: [`LeaseScenario`] |

mod fingerprint;
mod lease;
mod model;
mod node_index;
mod register;
mod search;

pub use fingerprint::Fingerprint;
pub use lease::{LeaseAction, LeaseScenario, LeaseState};
pub use model::Model;
pub use node_index::NodeIndex;
pub use register::{
    Action, Call, EventBudget, ParseCallError, Scenario, ScheduledCall, SystemState,
};
pub use search::{Report, Violation, explore};
