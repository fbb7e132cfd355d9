//! The bounds of a control node, in milliseconds of its steady clock.

/// A heartbeat at least so often, both ways.
pub(crate) const TICK: u64 = 500;
/// A session that hears nothing for so long has ended.
pub(crate) const SILENT: u64 = 1_600;
/// A peer is in contact for so long from a heartbeat of ours that it is known to have heard.
pub const CONTACT: u64 = 2_000;
/// A process that ran nothing for so long was frozen: what it knew of its peers is stale.
pub(crate) const PAUSE: u64 = SILENT;
/// How long a call of the operator or a replica is worked on before it is told to go elsewhere.
pub(crate) const CALL: u64 = 900;
/// What waits for messages that may be lost is looked at this often.
pub(crate) const SOON: u64 = 25;
/// News of replicas goes to the other control nodes in batches.
pub(crate) const BATCH: u64 = 200;
/// So long from its start machines still find each other.
pub(crate) const STARTING: u64 = 3_000;
/// A voter that is out of contact for so long gives way to a standby.
pub(crate) const LOST: u64 = 1_500;
/// How often replicas are written to disk at most.
pub(crate) const WRITE_REPLICAS: u64 = 1_000;
