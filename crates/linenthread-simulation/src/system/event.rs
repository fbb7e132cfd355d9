//! Simulated time and the event queue.

use std::collections::BTreeMap;
use std::time::Duration;

use linenthread_control::{
    AfterSync, Epoch, Incarnation, PlatformCall, PlatformCallId, PlatformOutcome, SessionId,
};
use linenthread_messages::PeerMessage;
use linenthread_time::Instant;

use super::platform_calls::{LeaseCheck, WrittenCall};

/// Simulated time at which a schedule starts.
pub(super) const START: Instant = Instant::from_millis(1_000_000);

/// Identifies a control node or an ingress node by its index among the nodes of its kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum NodeIndex {
    Control(usize),
    Ingress(usize),
}

/// One run of a node's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Process {
    pub(super) node: NodeIndex,
    pub(super) incarnation: Incarnation,
}

/// Input for a process; discarded if that process has ended.
pub(super) enum Delivery {
    Opened {
        session: SessionId,
    },
    Message {
        session: SessionId,
        from: NodeIndex,
        sent_at: Instant,
        message: Box<PeerMessage>,
    },
    Closed {
        session: SessionId,
    },
    /// A connection could not be established.
    Unreachable {
        address: String,
    },
    /// Records are synced, and the actions that waited for them may run.
    Synced {
        after_sync: Vec<AfterSync>,
    },
    /// A platform call has ended.
    PlatformOutcome {
        call: PlatformCallId,
        fence: Epoch,
        outcome: PlatformOutcome,
    },
}

/// An event of the simulation. A `usize` is the index of a control node unless the field's name says otherwise.
pub(super) enum Event {
    Deliver {
        to: Process,
        delivery: Box<Delivery>,
    },
    /// The disk has completed a write, successfully or not.
    WriteCompleted {
        node: usize,
        incarnation: Incarnation,
    },
    StartProcess {
        node: usize,
    },
    IngressHeartbeat {
        ingress: usize,
    },
    OperatorStep {
        operator: usize,
    },
    RetryCommittedChange,
    /// A process that was paused receives requests immediately after it resumes.
    RequestsOnResume {
        node: usize,
    },
    RetryAllChanges,
    ReplicaHeartbeat,
    CheckIngressSessions,
    InjectFault,
    RepairDisk {
        node: usize,
    },
    /// A disk is lost shortly after this node acknowledged a change.
    LossAfterAcknowledgement {
        node: usize,
    },
    /// Processes or a disk are lost shortly after this node acknowledged a drain.
    LossAfterDrain {
        node: usize,
    },
    SecondLoss,
    /// A machine is shut down permanently after its successor has started.
    Decommission {
        node: usize,
        successor: usize,
    },
    CheckShutdown {
        node: usize,
        incarnation: Incarnation,
    },
    RollingRestart {
        node: usize,
    },
    RestartOneAfterRecovery,
    /// The connection for a platform call is established.
    WritePlatformCall {
        caller: Process,
        call: Box<PlatformCall>,
        lease_check: LeaseCheck,
    },
    ReceivePlatformCall(Box<WrittenCall>),
    CheckUsage,
    InjectUsageFault,
    StepClocksAfterRecovery,
    /// A machine that has just taken over usage reporting is asked to shut down, so that it has to hand the duty over
    /// immediately.
    RestartSuccessor {
        node: usize,
    },
    /// A machine is lost shortly before or after it writes a platform call.
    LoseCaller {
        node: usize,
    },
}

/// Simulated time and the pending events. Events of the same time are handled in the order in which they were added.
pub(super) struct EventQueue {
    now: Instant,
    events: BTreeMap<(Instant, u64), Event>,
    last_number: u64,
}

impl EventQueue {
    pub(super) fn new() -> EventQueue {
        EventQueue {
            now: START,
            events: BTreeMap::new(),
            last_number: 0,
        }
    }

    pub(super) fn now(&self) -> Instant {
        self.now
    }

    pub(super) fn advance_to(&mut self, now: Instant) {
        self.now = now;
    }

    pub(super) fn push_at(&mut self, at: Instant, event: Event) {
        self.last_number += 1;
        self.events.insert((at, self.last_number), event);
    }

    pub(super) fn push_in(&mut self, delay: Duration, event: Event) {
        self.push_at(self.now + delay, event);
    }

    pub(super) fn deliver_at(&mut self, at: Instant, to: Process, delivery: Delivery) {
        let delivery = Box::new(delivery);
        self.push_at(at, Event::Deliver { to, delivery });
    }

    /// Returns the time of the next event.
    pub(super) fn next_at(&self) -> Option<Instant> {
        self.events.first_key_value().map(|((at, _), _)| *at)
    }

    /// Removes the next event and advances the time to it.
    pub(super) fn pop(&mut self) -> Option<Event> {
        let ((at, _), event) = self.events.pop_first()?;
        self.now = self.now.max(at);
        Some(event)
    }
}
