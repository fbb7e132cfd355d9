//! Intervals and time-outs of a control node, measured on its monotonic clock.

use std::time::Duration;

/// The maximum interval between heartbeats, in both directions of a session between nodes. The interval of replica
/// heartbeats is a setting.
pub(crate) const PEER_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// A session is closed when nothing was received on it for this long.
pub(crate) const SESSION_TIMEOUT: Duration = Duration::from_millis(1_600);

/// A peer is in contact for this long after the sending of the latest heartbeat that it has acknowledged.
pub const CONTACT_TIMEOUT: Duration = Duration::from_millis(2_000);

/// A process that did not run for longer than this was paused: by now its peers have closed their sessions with it, and
/// its view of them is stale.
pub(crate) const PAUSE_TIMEOUT: Duration = SESSION_TIMEOUT;

/// How long a call of an operator or a replica may take before the caller is told to try another node.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// How often work is retried that waits for messages which may have been lost.
pub(crate) const RETRY_INTERVAL: Duration = Duration::from_millis(25);

/// How often sessions and replicas are checked for time-outs, and changed replicas are sent to the other control nodes.
pub(crate) const UPKEEP_INTERVAL: Duration = Duration::from_millis(200);

/// How long after its start a node keeps looking for the other nodes before it rejects calls.
pub(crate) const STARTUP_GRACE: Duration = Duration::from_millis(3_000);

/// A voter that is out of contact for longer than this is replaced by a standby.
pub(crate) const VOTER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The minimum interval between two snapshots of the replicas on disk.
pub(crate) const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(1_000);

/// A snapshot that is not synced within this time is written again: a full disk, or one with too many queued records,
/// drops it.
pub(crate) const SNAPSHOT_REWRITE_INTERVAL: Duration = Duration::from_millis(3_000);

/// How long after its start a node proposes no usage report: ingress nodes whose sessions were closed send their counts
/// once they have connected to another control node.
pub(crate) const USAGE_SETTLE_TIME: Duration = Duration::from_millis(3_000);
