//! How many processes act as one fleet: who is a member and alive, and a small state that is replicated to all.
//!
//! [`Fleet`] is one process's part in it, a state machine without I/O or clock: events and the time go in, actions
//! come out, and all that is random depends on a seed. It consists of [`Members`], gossip with suspicion (SWIM, by
//! `foca`), and [`Voter`], the replicated state among 3, 5 or 7 voters (Raft, by `raft`), whose disk is a log of
//! `linenthread-store`. All other processes follow what the voters commit. The state holds numbered values by topic:
//! a write names the number that it is based on, so that no two values ever have one number. This package must not
//! know what a value means.
//!
//! Start reading at [`Fleet`]; `voter` has the table of a voter's stages. The messages are in [`frame`], and byte by
//! byte in `docs/fleet.md`.
//!
//! The way of a value, from its proposal to all processes:
//!
//! | step | at | where |
//! | --- | --- | --- |
//! | proposed, while the lease lasts | the leader | [`Fleet::propose`], then `voter/inputs.rs` |
//! | appended, synced, sent to the other voters | the leader | `voter/ready.rs`, `storage` |
//! | checked, appended, synced, acknowledged | each other voter | `voter/message_check.rs`, then `voter/ready.rs` |
//! | committed: on the disks of a majority | the leader, then all voters | Raft |
//! | applied, where it is still based on the current value | each voter | `voter/ready.rs`, [`StateTable`] |
//! | passed on | each voter, to its followers | `fleet/replication.rs` |
//! | reported as [`FleetAction::Committed`] | each process | the caller |
//!
//! Invariants, checked by the simulation of fleets: *one-value-per-number* (no two values under one topic and number),
//! *committed-lasts* (what was reported as committed is never undone while a majority of voters has its disks),
//! *one-leader* (at no moment do two processes hold the lease), *new-disk-new-identity* (a voter that lost its disk never votes
//! under its former identity).

mod config;
mod dialer;
mod error;
mod event;
mod fleet;
pub mod frame;
mod identifiers;
mod members;
mod node_identity;
mod random;
mod state_table;
mod storage;
mod voter;
mod voter_identity;

pub use config::{FleetConfig, MembersConfig, PeerAddress, VoterConfig};
pub use error::{
    ConfigError, DatagramError, MessageError, OpenError, ProposeError, RecordError, StartError,
    StorageError,
};
pub use event::{ConnectionEvent, FleetEvent, VoterChange, VoterChangeKind};
pub use fleet::{Fleet, FleetAction, Leader};
pub use identifiers::{
    ConnectionId, FoundersDigest, LogIndex, ProcessIncarnation, Term, VoterIncarnation,
};
pub use members::{Members, MembersAction};
pub use node_identity::NodeIdentity;
pub use state_table::{
    CommittedValue, ConditionalWrite, MAX_TOPICS, MAX_VALUE_BYTES, NumberedValue, StateTable,
};
pub use voter::{Stage, Voter, VoterAction};
