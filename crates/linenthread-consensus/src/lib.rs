//! Consensus of the control nodes: a replicated register, and a leader lease.
//!
//! [`Register`] decides one [`linenthread_messages::Value`] after another. Each value is a Paxos instance of its own,
//! identified by its number; value n names the voters that decide value n + 1. [`LeaderLease`] is a lease that a
//! majority of the voters grants to one node. Its epoch serves as fencing token.
//!
//! Both are state machines without I/O. Their inputs are messages and the current time
//! ([`linenthread_time::Instant`]), their outputs messages and records. The driver syncs a record before it sends the
//! messages that depend on it ([`Effect::Persist`]). This crate does not access sockets, disks or clocks, and does
//! not interpret replicas or configuration documents. `linenthread-control` drives it in the daemons,
//! `linenthread-checker` explores its states exhaustively.
//!
//! [`Register::on_message`] is a good place to start reading. An order passes through [`Register::propose`],
//! `Proposer::tick` (prepare), `Acceptor::on_prepare` (promise), `Proposer::on_promise` (accept),
//! `Acceptor::on_accept` (acknowledgement) and `Register::adopt` (decided).
//!
//! | module | purpose |
//! | --- | --- |
//! | `register` | routes messages and time to the other modules, adopts decided values |
//! | `decided_state` | the newest decided value and the order log; checks orders against them |
//! | `acceptor` | promises and acceptances of this node for the next number |
//! | `proposer` | pending changes, and the round that decides one of them |
//! | `round` | both phases of Paxos for one number, from the proposer's side |
//! | `backoff` | randomized delay before the next round after a rejection |
//! | `round_timeout` | adaptive timeout of one phase of a round |
//! | `proposal` | applies a pending change to the newest value |
//! | `reader` | pending reads, and the round that confirms the newest value |
//! | `order_log` | history of accepted orders, stored outside of the value |
//! | `catch_up` | fetches missing orders from other voters |
//! | `durability` | tracks which decided values and orders are synced |
//! | `durable_state` | rebuilds the stored state from the records on disk |
//! | `lease` | the leader lease |
//! | `change`, `jobs`, `effects` | the caller's proposals, their outcomes, and the driver's actions |
//! | `genesis_value` | the initial value of a cluster |
//! | `node_id`, `value_number`, `revision`, `epoch`, `incarnation` | typed numbers of messages and records |
//! | `timing` | timeouts, intervals and limits |
//!
//! # Invariants
//!
//! The names are those of `docs/system-design.md` and `docs/control-orders.md`:
//!
//! - *one-value-per-number*: no two values are decided under one number. Each number is a Paxos instance whose voters
//!   are fixed by the previous value; promises and acceptances are synced before they are sent.
//! - *decided-by-voters*: only the voters that value n names decide value n + 1.
//! - *new-disk-new-identity*: a node's identity belongs to its disk; a node with a new disk has a new identity, which
//!   is not in the voter set of any value yet.
//! - *acknowledged-at-majority*: an order is acknowledged only after a majority of the voters has synced it.
//! - *no-response-without-quorum*: nothing is acknowledged, rejected or read without a round in which a majority
//!   of the voters took part.
//! - *reads-are-newest*: a read returns no value older than any that was acknowledged or read before it was
//!   submitted.
//! - *monotonic-state*: a node replaces its newest value only with one of a greater number.
//! - *one-order-per-base*: at most one of all orders with the same base is accepted.
//! - *acknowledged-lasts*: an acknowledged order is part of the history of every later value.
//! - *committed-is-never-rejected*: an accepted order is never reported as a conflict, however late it is
//!   resubmitted.
//! - *orders-known-at-each-node*: each node knows all orders up to its newest value, or knows that some are missing.
//! - *one-lease-holder-per-epoch*: under each epoch at most one incarnation of one node holds the leader lease.

mod acceptor;
mod backoff;
mod catch_up;
mod change;
mod decided_state;
mod durability;
mod durable_state;
mod effects;
mod epoch;
mod genesis_value;
mod incarnation;
mod jobs;
mod lease;
mod node_id;
mod order_log;
mod proposal;
mod proposer;
mod reader;
mod register;
mod revision;
mod round;
mod round_timeout;
mod timing;
mod value_number;

pub use change::{Change, Order, document_digest};
pub use durable_state::DurableState;
pub use effects::{AfterSync, Effect, OrderLogRecordNumber, SnapshotNumber, SyncedRecord};
pub use epoch::Epoch;
pub use genesis_value::genesis_value;
pub use incarnation::Incarnation;
pub use jobs::{JobId, Outcome, UnknownReason};
pub use lease::{LeaderLease, LeaseProgress};
pub use node_id::NodeId;
pub use order_log::{MAX_LOGGED_ORDERS, MAX_ORDERS_PER_MESSAGE, OrderLog};
pub use register::Register;
pub use revision::Revision;
pub use timing::LEASE_DURATION;
pub use value_number::ValueNumber;
