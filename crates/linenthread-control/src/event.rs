//! Log events of a control node.

use std::fmt;
use std::time::Duration;

use linenthread_consensus::{Epoch, Revision, ValueNumber};
use linenthread_time::{WindowNumber, whole_millis};

use crate::PlatformOutcome;

/// An event that is logged for operators. [`fmt::Display`] writes it as `key=value` pairs, starting with `event`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlEvent {
    /// This node decided a new value, or learned that it was decided.
    ValueDecided {
        /// Number of the decided value.
        number: ValueNumber,
        /// Revision of the configuration in the value.
        revision: Revision,
        /// Number of voters on the next value.
        voter_count: usize,
    },
    /// The first message of a session, in which the peer identifies itself, was received.
    SessionOpened {
        /// The peer's name.
        peer: String,
        /// The peer's failure domain.
        zone: String,
        /// Whether the peer is a control node rather than an ingress node.
        is_control_node: bool,
    },
    /// A session was closed.
    SessionClosed {
        /// The peer's name.
        peer: String,
        /// Whether the peer is a control node rather than an ingress node.
        is_control_node: bool,
    },
    /// A replica timed out: it sent no heartbeat for too long.
    ReplicaTimedOut {
        /// The replica's id.
        id: String,
    },
    /// A replica was told that its drain or its departure is recorded.
    DrainAcknowledged {
        /// The replica's id.
        id: String,
    },
    /// The process did not run for so long that its view of its peers is stale.
    ResumedAfterPause {
        /// For how long the process did not run.
        paused: Duration,
    },
    /// The node is no longer in contact with a majority of the voters.
    QuorumLost,
    /// The node acquired the leader lease.
    LeaseAcquired {
        /// Epoch of the lease.
        epoch: Epoch,
    },
    /// The node released the leader lease.
    LeaseReleased {
        /// Epoch of the lease.
        epoch: Epoch,
    },
    /// The node, as the preferred leader, proposed a change of the voters. The proposed voters vote once
    /// [`ControlEvent::ValueDecided`] follows.
    VoterChangeProposed {
        /// Number of the value that the change is based on.
        base_value: ValueNumber,
        /// Control addresses of the proposed voters.
        voters: Vec<String>,
    },
    /// A graceful shutdown was requested.
    ShutdownRequested,
    /// The platform has the usage report of a window, or the report was abandoned.
    UsageReported {
        /// The window.
        window: WindowNumber,
        /// The outcome of the call.
        outcome: PlatformOutcome,
    },
    /// A call with a usage report failed and will be retried.
    UsageDelayed {
        /// The window.
        window: WindowNumber,
        /// The outcome of the call.
        outcome: PlatformOutcome,
    },
    /// The platform refused the fencing token of a call, since it has seen a higher one.
    FenceRefused {
        /// The refused epoch.
        epoch: Epoch,
    },
}

impl fmt::Display for ControlEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ControlEvent::ValueDecided {
                number,
                revision,
                voter_count,
            } => write!(
                f,
                "event=value_decided number={number} revision={revision} voter_count={voter_count}"
            ),
            ControlEvent::SessionOpened {
                peer,
                zone,
                is_control_node,
            } => write!(
                f,
                "event=session_opened peer={peer} zone={zone} control_node={is_control_node}"
            ),
            ControlEvent::SessionClosed {
                peer,
                is_control_node,
            } => write!(
                f,
                "event=session_closed peer={peer} control_node={is_control_node}"
            ),
            ControlEvent::ReplicaTimedOut { id } => {
                write!(f, "event=replica_timed_out id={id}")
            }
            ControlEvent::DrainAcknowledged { id } => {
                write!(f, "event=drain_acknowledged id={id}")
            }
            ControlEvent::ResumedAfterPause { paused } => write!(
                f,
                "event=resumed_after_pause paused_ms={}",
                whole_millis(*paused)
            ),
            ControlEvent::QuorumLost => f.write_str("event=quorum_lost"),
            ControlEvent::LeaseAcquired { epoch } => {
                write!(f, "event=lease_acquired epoch={epoch}")
            }
            ControlEvent::LeaseReleased { epoch } => {
                write!(f, "event=lease_released epoch={epoch}")
            }
            ControlEvent::VoterChangeProposed { base_value, voters } => write!(
                f,
                "event=voter_change_proposed base_value={base_value} voters={}",
                voters.join(",")
            ),
            ControlEvent::ShutdownRequested => f.write_str("event=shutdown_requested"),
            ControlEvent::UsageReported { window, outcome } => {
                write!(f, "event=usage_reported window={window} outcome={outcome}")
            }
            ControlEvent::UsageDelayed { window, outcome } => {
                write!(f, "event=usage_delayed window={window} outcome={outcome}")
            }
            ControlEvent::FenceRefused { epoch } => {
                write!(f, "event=fence_refused epoch={epoch}")
            }
        }
    }
}
