//! Machine of a control node, with its process, disk and clocks.

use std::collections::BTreeMap;
use std::time::Duration;

use linenthread_consensus::{Incarnation, NodeId, ValueNumber};
use linenthread_control::ControlNode;
use linenthread_messages::{Envelope, PeerMessage};
use linenthread_time::Instant;
use prost::Message;

use super::clock::MachineClock;
use super::disk::Disk;
use super::event::{NodeIndex, Process};
use super::time_of_day::TimeOfDay;

/// Incarnation of a machine without a process; drawn incarnations never have this number.
pub(super) const NO_PROCESS: Incarnation = Incarnation::new(0);

/// How a process ends.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum ProcessEnd {
    /// Only the process ends: written data survive even if they are not synced.
    Killed,
    PowerLost,
}

/// Action after a planned shutdown.
#[derive(Clone, Copy)]
pub(super) enum AfterShutdown {
    Restart {
        delay: Duration,
    },
    /// The machine and its disk are removed permanently; `successor` replaces it.
    Decommission {
        successor: usize,
    },
}

/// A shutdown in progress.
#[derive(Clone, Copy)]
pub(super) struct Shutdown {
    pub(super) deadline: Instant,
    pub(super) then: AfterShutdown,
}

/// Cost of catching up with the newest value after the start of a process.
pub(super) struct CatchUp {
    /// Number of the newest value at the start of the process.
    pub(super) target: ValueNumber,
    pub(super) started_at: Instant,
    pub(super) messages: usize,
    pub(super) bytes: usize,
}

impl CatchUp {
    pub(super) fn new(target: ValueNumber, started_at: Instant) -> CatchUp {
        CatchUp {
            target,
            started_at,
            messages: 0,
            bytes: 0,
        }
    }

    pub(super) fn count(&mut self, message: &PeerMessage) {
        self.messages += 1;
        self.bytes += Envelope {
            message: Some(message.clone()),
        }
        .encoded_len();
    }
}

/// Times of messages exchanged with other nodes, by the other node's id.
#[derive(Default)]
pub(super) struct Contacts {
    /// Send time of the newest message that arrived from the other node.
    received: BTreeMap<NodeId, Instant>,
    /// Send time of the newest message that arrived at the other node.
    delivered: BTreeMap<NodeId, Instant>,
}

impl Contacts {
    pub(super) fn on_received(&mut self, from: NodeId, sent_at: Instant) {
        let newest = self.received.entry(from).or_default();
        *newest = sent_at.max(*newest);
    }

    pub(super) fn on_delivered(&mut self, to: NodeId, sent_at: Instant) {
        let newest = self.delivered.entry(to).or_default();
        *newest = sent_at.max(*newest);
    }

    /// Returns the send time of the newest message in each direction, whichever is earlier.
    pub(super) fn last_exchange(&self, with: NodeId) -> Instant {
        let time =
            |times: &BTreeMap<NodeId, Instant>| times.get(&with).copied().unwrap_or_default();
        time(&self.received).min(time(&self.delivered))
    }
}

pub(super) struct Machine {
    pub(super) address: String,
    /// Control node of the process; `None` while the machine is down.
    pub(super) control: Option<ControlNode>,
    /// Incarnation of the process; [`NO_PROCESS`] while the machine is down.
    pub(super) incarnation: Incarnation,
    /// Start time of the newest process.
    pub(super) started_at: Instant,
    /// End of the newest pause.
    pub(super) paused_until: Instant,
    pub(super) shutdown: Option<Shutdown>,
    /// Whether the machine was removed permanently.
    pub(super) decommissioned: bool,
    pub(super) disk: Disk,
    pub(super) clock: MachineClock,
    pub(super) time_of_day: TimeOfDay,
    /// Bootstrap addresses in its settings.
    pub(super) bootstrap: Vec<String>,
    /// Whether this is one of the initial machines and has never been started.
    pub(super) is_initial: bool,
    /// The machine counts as lost until this time, see `loss_budget`.
    pub(super) lost_until: Instant,
    /// Time until which the data of a lost disk may be missing.
    pub(super) erased_until: Instant,
    /// Number of the newest value that the process has decided.
    pub(super) decided_number: ValueNumber,
    pub(super) contacts: Contacts,
    /// Set until the process has caught up.
    pub(super) catch_up: Option<CatchUp>,
}

impl Machine {
    pub(super) fn new(
        address: String,
        bootstrap: Vec<String>,
        is_initial: bool,
        clock: MachineClock,
        time_of_day: TimeOfDay,
        sync_duration: Duration,
    ) -> Machine {
        Machine {
            address,
            control: None,
            incarnation: NO_PROCESS,
            started_at: Instant::START,
            paused_until: Instant::START,
            shutdown: None,
            decommissioned: false,
            disk: Disk::new(sync_duration),
            clock,
            time_of_day,
            bootstrap,
            is_initial,
            lost_until: Instant::START,
            erased_until: Instant::START,
            decided_number: ValueNumber::FIRST,
            contacts: Contacts::default(),
            catch_up: None,
        }
    }

    /// Replaces the state of the previous process when a new one starts.
    pub(super) fn on_process_started(
        &mut self,
        control: ControlNode,
        incarnation: Incarnation,
        catch_up: CatchUp,
    ) {
        self.control = Some(control);
        self.incarnation = incarnation;
        self.started_at = catch_up.started_at;
        self.paused_until = Instant::START;
        self.shutdown = None;
        self.is_initial = false;
        self.decided_number = ValueNumber::FIRST;
        self.contacts = Contacts::default();
        self.catch_up = Some(catch_up);
    }

    pub(super) fn is_up(&self) -> bool {
        self.control.is_some()
    }

    /// Reports whether the machine is up and its process is not paused.
    pub(super) fn is_running(&self, now: Instant) -> bool {
        self.is_up() && self.paused_until <= now
    }

    /// Returns the id of its disk if the machine is up.
    pub(super) fn voter_id(&self) -> Option<NodeId> {
        self.control.as_ref().map(|control| control.register().id())
    }

    /// Returns the current process; `index` is the index of this machine.
    pub(super) fn process(&self, index: usize) -> Process {
        Process {
            node: NodeIndex::Control(index),
            incarnation: self.incarnation,
        }
    }
}
