//! Agreement of the counted disks. [`Register`] decides one [`linenthread_messages::Value`] after another: value n names
//! the disks that decide value n + 1, each value is a Paxos instance of its own. [`LeaderLease`] is a lease that
//! more than half of them give to one machine under an epoch. Both are state machines: `now` in milliseconds
//! of a steady clock and words in, words and records out; whoever drives them syncs a record before it sends
//! what waits on it.
//!
//! Named rules: *one-value-a-number*, *an-empty-disk-is-nobody*, *no-ack-before-half-the-disks*,
//! *reads-are-newest*, *nothing-goes-back*, *one-holder-an-epoch* (`docs/system-design.md`).

mod lease;
mod register;

pub use lease::LeaderLease;
pub use register::{Change, DurableState, Effect, Job, Outcome, Register, digest, genesis_id};
