//! Membership and replicated state of a fleet of processes.
//!
//! [`Fleet`] is one process of the fleet, a state machine without I/O or clock: it receives events and the time, and
//! returns actions; all randomness is derived from a seed. It consists of [`Members`], membership by gossip with
//! suspicion (SWIM, by `foca`), and [`Voter`], a state replicated among 3, 5 or 7 voters (Raft, by `raft`) with its
//! disk in a log of `linenthread-store`. All other processes are followers, which receive the values that the voters
//! commit. The state holds numbered values by topic: each write names the number of the value that it is based on, so
//! that no two values have the same topic and number. The contents of a value must not matter to this package.
//!
//! Start reading at [`Fleet`]; `voter` has the table of a voter's stages. The messages are defined in [`frame`] and
//! specified in `docs/fleet.md`.
//!
//! The path of a value from its proposal to all processes:
//!
//! | step | at | where |
//! | --- | --- | --- |
//! | proposed, while the lease lasts | the leader | [`Fleet::propose`], then `voter/inputs.rs` |
//! | appended, synced, sent to the other voters | the leader | `voter/ready.rs`, `storage` |
//! | checked, appended, synced, acknowledged | each other voter | `voter/message_check.rs`, then `voter/ready.rs` |
//! | committed: on the disks of a majority | the leader, then all voters | Raft |
//! | applied, if it is still based on the current value | each voter | `voter/ready.rs`, [`StateTable`] |
//! | forwarded | each voter, to its followers | `fleet/replication.rs` |
//! | reported as [`FleetAction::Committed`] | each process | the caller |
//!
//! Invariants, checked by the simulation of fleets: *one-value-per-number* (no two values have the same topic and
//! number), *committed-lasts* (a value that was reported as committed is never undone while a majority of voters has
//! its disks), *one-leader* (at no moment do two processes hold the lease), *new-disk-new-identity* (a voter that lost
//! its disk never votes under its former identity).

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
