//! Agreement of the counted disks. [`Register`] decides one [`linenthread_messages::Value`] after another: value n
//! names the disks that decide value n + 1, each value is a Paxos instance of its own. [`LeaderLease`] is a lease
//! that more than half of them give to one node under an epoch. Both are state machines: `now` as an
//! [`linenthread_time::Instant`] and messages in, messages and records out; whoever drives them syncs a record before it sends what
//! waits on it.
//!
//! | module | job |
//! | --- | --- |
//! | `register` | the whole: takes messages and time, passes them to the parts, adopts decided values |
//! | `decided_state` | the newest decided value and the ledger, and how an order is judged by them |
//! | `acceptor` | promises and acceptances for the next number |
//! | `proposer` | orders and other changes that wait, and the round that decides one |
//! | `reader` | reads that wait, and the question that confirms the newest value |
//! | `ledger` | the orders that were taken, apart from the value |
//! | `order_log_catch_up` | asks others for orders that the ledger lacks |
//! | `durability` | which of the decided values and orders are synced |
//! | `durable_state` | what a disk holds, from its records |
//! | `lease` | the leader lease |
//!
//! Named rules: *one-value-a-number*, *an-empty-disk-is-nobody*, *no-ack-before-half-the-disks*,
//! *reads-are-newest*, *nothing-goes-back*, *one-holder-an-epoch* (`docs/system-design.md`); *one-a-base*,
//! *acked-lasts*, *never-refused-when-taken* (`docs/control-orders.md`).
#![expect(
    missing_docs,
    reason = "public items of this package are not all documented yet"
)]

mod acceptor;
mod decided_state;
mod durability;
mod durable_state;
mod effects;
mod hash;
mod lease;
mod order;
mod order_log;
mod order_log_catch_up;
mod proposer;
mod reader;
mod register;

pub use decided_state::{DecidedState, RECENT_ORDERS, Verdict};
pub use durable_state::DurableState;
pub use effects::{Effect, JobId, Outcome};
pub use hash::{fnv1a_64, genesis_id};
pub use lease::LeaderLease;
pub use order::{Change, document_digest};
pub use order_log::{MAX_LOGGED_ORDERS, MAX_ORDERS_PER_MESSAGE, OrderLog};
pub use register::Register;
