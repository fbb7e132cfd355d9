//! Exhaustive model checker for the consensus. It explores every interleaving of bounded scenarios, using the same
//! state machines as the daemons ([`linenthread_consensus::Register`], [`linenthread_consensus::LeaderLease`]).
//!
//! A message in flight may be delivered at any time or never, which covers loss, delay and reordering. Time is abstract
//! in the register model: a tick advances the clock of a node past every time-out. The invariants are those of
//! `docs/control-orders.md`.
//!
//! Neither the rest of the control node nor sessions or real disks are modelled; the simulation of the whole system
//! covers them. The entry points are [`Model`] and [`explore`]; [`Scenario`] is the main model.
//!
//! | module | job |
//! | --- | --- |
//! | `model` | the trait of models that can be explored |
//! | `search` | breadth-first search over the states of a model |
//! | `fingerprint` | hashes that represent states in the set of visited states |
//! | `node_index` | the nodes of a model |
//! | `register` | the model of the register: [`Scenario`] |
//! | `lease` | the model of the leader lease: [`LeaseScenario`] |

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
