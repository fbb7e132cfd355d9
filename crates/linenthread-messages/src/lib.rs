//! Messages between the system's own processes, and their framing.
//!
//! A frame consists of a four-byte big-endian length and one [`Envelope`]. The first message on a connection is a
//! [`Hello`] from the side that opened it; a version other than [`VERSION`] ends the connection. The field tags define
//! the wire format and must not change; the Rust names may (`tests/golden.rs` checks the bytes).
//!
//! This crate contains neither I/O nor the rules for handling messages. Start reading at [`PeerMessage`], which lists
//! all messages.

mod agreement;
mod envelope;
mod frame;
mod lease;
mod sessions;
mod usage;

pub use agreement::{
    Accept, AcceptAck, Accepted, Ballot, CatchUpRequest, DocumentDigest, OrderIdentity,
    OrderLogEntries, OrderLogRequest, Prepare, Promise, ReadReply, ReadRequest, Record, Rejected,
    Synced, Value, Voter,
};
pub use envelope::{Envelope, PeerMessage};
pub use frame::{FrameError, MAX_FRAME_LENGTH, decode, encode};
pub use lease::{LeaseRelease, LeaseReply, LeaseRequest};
pub use sessions::{
    ControlUpdate, DurableProgress, Heartbeat, Hello, IngressSession, IngressUpdate, QuotaGrant,
    QuotaGrants, Replica, ReplicaState, UpdateAck,
};
pub use usage::{DecidedUsage, IngressUsage, TenantCount, UsageReport, UsageUpdate, WindowCounts};

/// The version of the messages; peers with another version are rejected.
///
/// - 2: a value contains only its most recent orders, by identity, instead of all orders.
/// - 3: a value contains usage reports, which a node of an earlier version would drop from the values that it proposes.
pub const VERSION: u32 = 3;
