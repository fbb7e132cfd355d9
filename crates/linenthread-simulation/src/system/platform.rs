//! Simulated platform that receives usage reports. It checks fences, stores accepted reports, and can have faults.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use linenthread_control::{Epoch, PlatformCall};
use linenthread_time::{Instant, WindowNumber};

use super::event::Process;

/// Lease time: within it the platform must not accept calls of one node, then of another, then of the first one again.
pub(super) const LEASE: Duration = Duration::from_millis(3_000);

/// How the platform responds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Behaviour {
    Healthy,
    /// Its responses take much longer.
    Slow,
    /// It rejects every call as busy.
    Busy,
    /// Calls to it, or its responses, are lost.
    Silent,
    /// It resets connections, before it has read a call or after it.
    Reset,
}

/// A report that the platform has accepted.
pub(super) struct AcceptedReport {
    pub(super) at: Instant,
    pub(super) body: Vec<u8>,
}

pub(super) struct Platform {
    behaviour: Behaviour,
    /// End of the current fault.
    fault_until: Instant,
    /// Machines whose link to the platform is cut, with the end of the fault.
    unreachable_until: BTreeMap<usize, Instant>,
    highest_fence: Epoch,
    /// First process that used each fence.
    senders: BTreeMap<Epoch, Process>,
    /// First report of each window.
    reports: BTreeMap<WindowNumber, AcceptedReport>,
    /// Calls accepted within the last [`LEASE`], oldest first.
    recent: Vec<(Instant, Process)>,
    /// Incarnation numbers of processes, with fences that they know to be refused.
    refused: BTreeSet<(u64, Epoch)>,
    /// Process that wrote the last call.
    last_caller: Option<Process>,
}

impl Platform {
    pub(super) fn new() -> Platform {
        Platform {
            behaviour: Behaviour::Healthy,
            fault_until: Instant::START,
            unreachable_until: BTreeMap::new(),
            highest_fence: Epoch::NONE,
            senders: BTreeMap::new(),
            reports: BTreeMap::new(),
            recent: Vec::new(),
            refused: BTreeSet::new(),
            last_caller: None,
        }
    }

    // --- faults ---

    /// Starts a fault that lasts until the given time.
    pub(super) fn set_behaviour(&mut self, behaviour: Behaviour, until: Instant) {
        self.behaviour = behaviour;
        self.fault_until = until;
    }

    pub(super) fn behaviour(&self, now: Instant) -> Behaviour {
        if now < self.fault_until {
            self.behaviour
        } else {
            Behaviour::Healthy
        }
    }

    /// Cuts the link of a machine to the platform until the given time.
    pub(super) fn cut_link(&mut self, node: usize, until: Instant) {
        self.unreachable_until.insert(node, until);
    }

    pub(super) fn is_reachable(&self, node: usize, now: Instant) -> bool {
        self.unreachable_until
            .get(&node)
            .is_none_or(|until| *until <= now)
    }

    /// Records that the platform has received a fence above this one from elsewhere.
    pub(super) fn raise_fence(&mut self, fence: Epoch) {
        self.highest_fence = self.highest_fence.max(fence.next());
    }

    pub(super) fn highest_fence(&self) -> Epoch {
        self.highest_fence
    }

    /// Reports whether the platform responds normally and every machine can reach it.
    pub(super) fn is_healthy(&self, now: Instant) -> bool {
        let is_cut = self.unreachable_until.values().any(|until| *until > now);
        self.behaviour(now) == Behaviour::Healthy && !is_cut
    }

    /// Ends all faults of the platform and of links to it.
    pub(super) fn heal(&mut self) {
        self.fault_until = Instant::START;
        self.unreachable_until.clear();
    }

    // --- calls ---

    /// Reports whether the platform has received a higher fence than this one.
    pub(super) fn has_seen_fence_above(&self, fence: Epoch) -> bool {
        fence < self.highest_fence
    }

    pub(super) fn accept(&mut self, now: Instant, caller: Process, call: &PlatformCall) {
        self.highest_fence = self.highest_fence.max(call.fence);
        self.senders.entry(call.fence).or_insert(caller);
        let window = WindowNumber::new(call.report.window);
        self.reports
            .entry(window)
            .or_insert_with(|| AcceptedReport {
                at: now,
                body: call.report.body.to_vec(),
            });
        self.recent.retain(|(at, _)| *at + LEASE > now);
        self.recent.push((now, caller));
    }

    /// Records that a process has learned that a fence is refused.
    pub(super) fn on_refusal_known(&mut self, caller: Process, fence: Epoch) {
        self.refused.insert((caller.incarnation.get(), fence));
    }

    pub(super) fn knows_refusal(&self, caller: Process, fence: Epoch) -> bool {
        self.refused.contains(&(caller.incarnation.get(), fence))
    }

    /// Returns the first process that used a fence.
    pub(super) fn sender(&self, fence: Epoch) -> Option<Process> {
        self.senders.get(&fence).copied()
    }

    pub(super) fn report(&self, window: WindowNumber) -> Option<&AcceptedReport> {
        self.reports.get(&window)
    }

    pub(super) fn reports(&self) -> impl Iterator<Item = (WindowNumber, &AcceptedReport)> {
        self.reports
            .iter()
            .map(|(window, report)| (*window, report))
    }

    pub(super) fn newest_window(&self) -> Option<WindowNumber> {
        self.reports.keys().next_back().copied()
    }

    /// Reports whether the platform has accepted a call of the caller's machine, and then one of another machine,
    /// within [`LEASE`] before `now`.
    pub(super) fn would_return(&self, now: Instant, caller: Process) -> bool {
        let recent = || self.recent.iter().filter(|(at, _)| *at + LEASE > now);
        let own = recent().position(|(_, process)| process.node == caller.node);
        own.is_some_and(|own| {
            recent()
                .skip(own)
                .any(|(_, process)| process.node != caller.node)
        })
    }

    pub(super) fn last_caller(&self) -> Option<Process> {
        self.last_caller
    }

    pub(super) fn set_last_caller(&mut self, caller: Process) {
        self.last_caller = Some(caller);
    }
}
