//! Agreement of the counted disks. [`Register`] decides one [`valentia::Value`] after another: value n names
//! the disks that decide value n + 1, each value is a Paxos instance of its own. [`Duty`] is a lease that
//! more than half of them give to one machine under an epoch. Both are state machines: `now` in milliseconds
//! of a steady clock and words in, words and records out; whoever drives them syncs a record before it sends
//! what waits on it.
//!
//! Named rules: *one-value-a-number*, *an-empty-disk-is-nobody*, *no-ack-before-half-the-disks*,
//! *reads-are-newest*, *nothing-goes-back*, *one-holder-an-epoch* (`docs/system-design.md`).

mod duty;
mod register;

pub use duty::Duty;
pub use register::{Change, Job, Kept, Out, Outcome, Register, digest, genesis_id};
