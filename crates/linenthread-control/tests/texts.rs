//! Texts that operators and their tools read: log lines of events, reasons in responses, and shutdown blockers.

use std::time::Duration;

use linenthread_control::graceful_shutdown::ShutdownBlocker;
use linenthread_control::{ControlEvent, Epoch, Revision, UnavailableReason, ValueNumber};
use yare::parameterized;

#[parameterized(
    value_decided = { ControlEvent::ValueDecided { number: ValueNumber::new(3), revision: Revision::new(7), voter_count: 5 }, "event=value_decided number=3 revision=7 voter_count=5" },
    session_opened = { ControlEvent::SessionOpened { peer: "front-1".into(), zone: "z0".into(), is_control_node: false }, "event=session_opened peer=front-1 zone=z0 control_node=false" },
    session_closed = { ControlEvent::SessionClosed { peer: "control-1".into(), is_control_node: true }, "event=session_closed peer=control-1 control_node=true" },
    replica_timed_out = { ControlEvent::ReplicaTimedOut { id: "i-1".into() }, "event=replica_timed_out id=i-1" },
    resumed = { ControlEvent::ResumedAfterPause { paused: Duration::from_millis(1_601) }, "event=resumed_after_pause paused_ms=1601" },
    quorum_lost = { ControlEvent::QuorumLost, "event=quorum_lost" },
    lease_acquired = { ControlEvent::LeaseAcquired { epoch: Epoch::new(4) }, "event=lease_acquired epoch=4" },
    lease_released = { ControlEvent::LeaseReleased { epoch: Epoch::new(4) }, "event=lease_released epoch=4" },
    voter_change_proposed = { ControlEvent::VoterChangeProposed { base_value: ValueNumber::new(2), voters: vec!["10.0.0.1:80".into(), "10.0.0.2:80".into()] }, "event=voter_change_proposed base_value=2 voters=10.0.0.1:80,10.0.0.2:80" },
    shutdown_requested = { ControlEvent::ShutdownRequested, "event=shutdown_requested" },
)]
fn events_are_logged_as_key_value_pairs(event: ControlEvent, line: &str) {
    assert_eq!(event.to_string(), line);
}

#[parameterized(
    no_quorum = { UnavailableReason::NoQuorum, "no contact with a majority of the voters" },
    quorum_timed_out = { UnavailableReason::QuorumTimedOut, "a majority of the voters did not respond in time" },
    not_replicated = { UnavailableReason::NotReplicated, "a majority of the voters did not acknowledge the change in time" },
    shutting_down = { UnavailableReason::ShuttingDown, "the control node is shutting down" },
    too_many_pending = { UnavailableReason::TooManyPending, "too many orders and reads are pending" },
    joining = { UnavailableReason::Joining, "the control node has not learned the configuration yet" },
    base_not_committed = { UnavailableReason::BaseNotCommitted, "the base revision is above the newest one: correct it, or send the order again once it is in force" },
    order_not_remembered = { UnavailableReason::OrderNotRetained, "the control node does not remember what became of this order: ask another one" },
)]
fn unavailable_responses_state_the_reason(reason: UnavailableReason, text: &str) {
    assert_eq!(reason.to_string(), text);
}

#[parameterized(
    undecided = { ShutdownBlocker::UndecidedValue, "an accepted value is not known to be decided" },
    calls = { ShutdownBlocker::PendingCalls, "calls are in flight" },
    unacknowledged = { ShutdownBlocker::Unacknowledged, "not all control nodes in contact have acknowledged the shutdown" },
    reconfiguration = { ShutdownBlocker::Reconfiguration, "the voters are being changed" },
    own_vote = { ShutdownBlocker::StillVoter, "its vote is not replaced or removed yet" },
    copies = { ShutdownBlocker::TooFewDurableVoters, "too few other disks hold the newest value" },
    lease = { ShutdownBlocker::LeaderLease, "the leader lease is not released yet" },
)]
fn the_log_states_why_a_shutdown_waits(blocker: ShutdownBlocker, text: &str) {
    assert_eq!(blocker.to_string(), text);
}
