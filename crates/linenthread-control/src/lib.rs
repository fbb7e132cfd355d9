//! Control of the system as state machines: the cells' replicas, the sessions, the log of changes that fronts
//! follow, and the shares of the budget of further tries. [`Control`] drives them all and the agreement of
//! `linenthread-consensus`; it does no I/O and reads no clock. Times are milliseconds of a steady clock.

mod budget;
mod control;
mod log;
pub mod reconfiguration;
mod replicas;
mod state_log;

pub use budget::Budget;
pub use control::{Answer, CONTACT, Control, Effect, Local};
pub use log::ChangeLog;
pub use replicas::{Beat, Heard, Known, ReplicaRegistry};
pub use state_log::{OpenedState, StateLog, StateLogError};

/// A connection with a peer, named by whoever owns the sockets.
pub type Link = u64;
/// A call that waits for its answer, named by whoever took it.
pub type Token = u64;
