//! The heartbeats of control nodes and ingress nodes: both send [`Heartbeat`], but each kind sets its own fields.

use linenthread_consensus::{Revision, ValueNumber};
use linenthread_messages::Heartbeat;
use linenthread_time::{Instant, WallTime};

use crate::QuotaRequestNumber;

/// A heartbeat of another control node.
pub(crate) struct ControlNodeHeartbeat {
    /// Whether the peer is in contact with a majority of the voters and accepts calls.
    pub(crate) has_quorum: bool,
    /// Number of the newest value that the peer has, in memory.
    pub(crate) value_number: ValueNumber,
    /// Number of the newest value up to which the peer's disk holds everything.
    pub(crate) durable_value_number: Option<ValueNumber>,
    /// Digest of the peer's replica registry.
    pub(crate) registry_digest: u64,
    /// When the peer sent this heartbeat, in milliseconds of the peer's clock.
    pub(crate) sent_at: u64,
    /// When this node sent the newest of its heartbeats that the peer has received.
    pub(crate) echoed_sent_at: Option<Instant>,
    pub(crate) is_shutting_down: bool,
    /// Whether the peer is the preferred leader and is about to change the voters, whether or not it holds the lease.
    pub(crate) is_reconfiguring: bool,
    /// The time of the peer's own wall clock when it sent this heartbeat.
    pub(crate) wall_time: Option<WallTime>,
}

impl From<&Heartbeat> for ControlNodeHeartbeat {
    fn from(heartbeat: &Heartbeat) -> ControlNodeHeartbeat {
        ControlNodeHeartbeat {
            has_quorum: heartbeat.has_quorum,
            value_number: ValueNumber::new(heartbeat.quota_request_or_value_number),
            durable_value_number: heartbeat.durable_value_number.map(ValueNumber::new),
            registry_digest: heartbeat.registry_digest,
            sent_at: heartbeat.sent_at,
            echoed_sent_at: heartbeat.echoed_sent_at.map(Instant::from_millis),
            is_shutting_down: heartbeat.shutting_down,
            is_reconfiguring: heartbeat.reconfiguring,
            wall_time: heartbeat.wall_time_ms.map(WallTime::from_millis),
        }
    }
}

/// A heartbeat of an ingress node.
pub(crate) struct IngressNodeHeartbeat {
    /// Number of its newest request for a retry quota.
    pub(crate) quota_request: QuotaRequestNumber,
    /// The revision of the configuration that it uses.
    pub(crate) revision: Revision,
}

impl From<&Heartbeat> for IngressNodeHeartbeat {
    fn from(heartbeat: &Heartbeat) -> IngressNodeHeartbeat {
        IngressNodeHeartbeat {
            quota_request: QuotaRequestNumber::new(heartbeat.quota_request_or_value_number),
            revision: Revision::new(heartbeat.revision),
        }
    }
}
