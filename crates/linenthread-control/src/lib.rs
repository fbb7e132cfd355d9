//! Control of the system as state machines; no I/O, and no clock is read. Times are milliseconds of a steady
//! clock. [`Control`] is one node. It owns these tables, and routes each message to one of them:
//!
//! | table | module |
//! | --- | --- |
//! | sessions with other control nodes, who is in contact | `membership`, `dialling` |
//! | replicas, and calls that wait until a majority knows | `replicas`, `drains` |
//! | sessions of fronts and the log of changes that they follow | `fronts`, `log` |
//! | jobs of the register | `requests` |
//! | what the leader allots of the further tries | `allotments`, `budget` |
//!
//! What it does with them: `node` (agreement, time), `sessions`
//! (routing), `contact` (what may be said without a majority,
//! or after a freeze), `replica_calls`, `configuration` (orders, reads, updates of fronts), `leader` (the
//! lease), `voters` (who votes, leaving) by the pure decisions of [`reconfiguration`].
#![expect(
    missing_docs,
    reason = "public items of this package are not all documented yet"
)]

mod allotments;
mod budget;
mod configuration;
mod contact;
mod dialling;
mod drains;
mod fronts;
mod interface;
mod leader;
mod log;
mod membership;
mod node;
pub mod reconfiguration;
mod replica_calls;
mod replicas;
mod requests;
mod sessions;
mod state_log;
mod status;
mod timing;
mod voters;

pub use budget::Budget;
pub use interface::{Answer, Effect, Local};
pub use log::ChangeLog;
pub use node::Control;
pub use replicas::{Beat, Heard, Known, ReplicaRegistry};
pub use state_log::{OpenedState, StateLog, StateLogError};
pub use timing::CONTACT;

/// A connection with a peer, named by whoever owns the sockets.
pub type Link = u64;
/// A call that waits for its answer, named by whoever took it.
pub type Token = u64;
