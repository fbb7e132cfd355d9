//! Platform calls of control nodes, as the daemon's client makes them: it connects, writes the call if the lease
//! permits, and waits for the response until a timeout.

use std::time::Duration;

use linenthread_control::{PlatformCall, PlatformOutcome};
use linenthread_time::{Instant, whole_millis};

use super::event::{Delivery, Event, NodeIndex, Process};
use super::platform::Behaviour;
use super::usage::CallerLoss;
use super::world::World;

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Timeout for the request and the response together.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Maximum latency to the platform or back, in milliseconds.
const MAX_LATENCY_MS: u64 = 5;
/// Factor by which the response of a slow platform takes longer.
const SLOW_RESPONSE_FACTOR: u32 = 50;
/// One call in this many is delayed in transit.
const DELAYED_CALL_ONE_IN: u64 = 10;
/// Exclusive upper bound of a call's delay, in milliseconds; after that the kernel resets the connection.
const CALL_DELAY_RANGE_MS: u64 = 1_600;
/// One write in this many of those that a pause delays had its lease checked before the pause.
const CHECK_BEFORE_PAUSE_ONE_IN: u64 = 3;
/// For one call in this many the caller is lost.
const CALLER_LOSS_ONE_IN: u64 = 8;
/// Exclusive upper bound of the time from the start of the call to such a loss, in milliseconds.
const CALLER_LOSS_RANGE_MS: u64 = 20;

/// One machine in this many of those that take over usage reporting is asked to shut down after its first call.
const SUCCESSOR_RESTART_ONE_IN: u64 = 2;
/// Exclusive upper bound of the time from the call to the shutdown, in milliseconds.
const SUCCESSOR_RESTART_RANGE_MS: u64 = 400;
/// Interval at which a paused process is checked again.
const PAUSE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// State of the check that a process makes before it writes a call: that its lease has not ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LeaseCheck {
    /// The check is made immediately before the write.
    Due,
    /// The check is made immediately before the write, after a pause.
    DueAfterPause,
    /// The check passed, and the process was paused between it and the write.
    Passed,
}

/// A written call in transit to the platform.
pub(super) struct WrittenCall {
    pub(super) caller: Process,
    pub(super) call: PlatformCall,
    pub(super) written_at: Instant,
    /// Whether the call is delayed in transit; it is lost if its process ends meanwhile, which resets the connection.
    pub(super) is_delayed: bool,
}

impl World {
    fn platform_latency(&mut self) -> Duration {
        Duration::from_millis(1) + self.usage.random.millis_below(MAX_LATENCY_MS)
    }

    /// Starts a platform call of a control node by connecting.
    pub(super) fn call_platform(&mut self, node: usize, call: PlatformCall) {
        let now = self.now();
        self.draw_caller_loss(node);
        let caller = self.machines[node].process(node);
        let latency = self.platform_latency();
        let behaviour = self.usage.platform.behaviour(now);
        let is_silent = behaviour == Behaviour::Silent && self.usage.random.one_in(2);
        if is_silent || !self.usage.platform.is_reachable(node, now) {
            self.end_call(
                now + CONNECT_TIMEOUT,
                caller,
                &call,
                PlatformOutcome::NotSent,
            );
        } else if behaviour == Behaviour::Reset && self.usage.random.one_in(2) {
            self.end_call(now + latency, caller, &call, PlatformOutcome::NotSent);
        } else {
            let event = Event::WritePlatformCall {
                caller,
                call: Box::new(call),
                lease_check: LeaseCheck::Due,
            };
            self.push_in(2 * latency, event);
        }
    }

    /// Writes a call on an established connection, unless the check of the lease fails. A paused process continues when
    /// it resumes.
    pub(super) fn write_platform_call(
        &mut self,
        caller: Process,
        call: Box<PlatformCall>,
        lease_check: LeaseCheck,
    ) {
        let Some(node) = self.running_control(caller) else {
            return;
        };
        if !self.is_running(node) {
            let lease_check = match lease_check {
                LeaseCheck::Due => self.draw_paused_check(),
                drawn => drawn,
            };
            let event = Event::WritePlatformCall {
                caller,
                call,
                lease_check,
            };
            self.push_in(PAUSE_POLL_INTERVAL, event);
            return;
        }
        let is_late = self.machine_clock(node) >= call.not_after;
        if is_late && lease_check != LeaseCheck::Passed {
            self.end_call(self.now(), caller, &call, PlatformOutcome::NotSent);
            return;
        }
        self.check_write(caller, &call, lease_check);
        self.on_call_written(caller);
        self.send_call(node, caller, *call);
    }

    /// Draws whether a process was paused before or after its check of the lease.
    fn draw_paused_check(&mut self) -> LeaseCheck {
        if self.usage.random.one_in(CHECK_BEFORE_PAUSE_ONE_IN) {
            LeaseCheck::Passed
        } else {
            LeaseCheck::DueAfterPause
        }
    }

    fn send_call(&mut self, node: usize, caller: Process, call: PlatformCall) {
        let now = self.now();
        self.trace(&format!(
            "{node} calls the platform, window={} fence={}",
            call.report.window,
            call.fence.get()
        ));
        let is_silent = self.usage.platform.behaviour(now) == Behaviour::Silent;
        let is_lost = is_silent && self.usage.random.one_in(2);
        if is_lost || !self.usage.platform.is_reachable(node, now) {
            let timed_out_at = now + RESPONSE_TIMEOUT;
            self.end_call(timed_out_at, caller, &call, PlatformOutcome::Unknown);
            return;
        }
        let is_delayed = self.usage.random.one_in(DELAYED_CALL_ONE_IN);
        let latency = if is_delayed {
            self.usage.random.millis_below(CALL_DELAY_RANGE_MS)
        } else {
            self.platform_latency()
        };
        let written = WrittenCall {
            caller,
            call,
            written_at: now,
            is_delayed,
        };
        self.push_in(latency, Event::ReceivePlatformCall(Box::new(written)));
    }

    /// Handles the arrival of a call at the platform.
    pub(super) fn receive_platform_call(&mut self, written: &WrittenCall) {
        let now = self.now();
        let (caller, call) = (written.caller, &written.call);
        let NodeIndex::Control(node) = caller.node else {
            return;
        };
        if written.is_delayed && self.running_control(caller).is_none() {
            return;
        }
        let behaviour = self.usage.platform.behaviour(now);
        let latency = self.platform_latency();
        let timed_out_at = written.written_at + RESPONSE_TIMEOUT;
        match behaviour {
            Behaviour::Busy => {
                self.end_call(now + latency, caller, call, PlatformOutcome::Busy);
                return;
            }
            Behaviour::Reset if self.usage.random.one_in(2) => {
                self.end_call(now + latency, caller, call, PlatformOutcome::Unknown);
                return;
            }
            _ => {}
        }
        let outcome = self.accept_or_refuse(caller, call);
        let is_reachable = self.usage.platform.is_reachable(node, now);
        let (at, outcome) = match behaviour {
            Behaviour::Silent => (timed_out_at, PlatformOutcome::Unknown),
            _ if !is_reachable => (timed_out_at, PlatformOutcome::Unknown),
            Behaviour::Reset => (now + latency, PlatformOutcome::Unknown),
            Behaviour::Slow => (now + latency * SLOW_RESPONSE_FACTOR, outcome),
            Behaviour::Healthy | Behaviour::Busy => (now + latency, outcome),
        };
        if at < timed_out_at {
            self.end_call(at, caller, call, outcome);
        } else {
            self.end_call(timed_out_at, caller, call, PlatformOutcome::Unknown);
        }
    }

    /// Accepts a call, or refuses it if the platform has seen a higher fence.
    fn accept_or_refuse(&mut self, caller: Process, call: &PlatformCall) -> PlatformOutcome {
        let now = self.now();
        if self.usage.platform.has_seen_fence_above(call.fence) {
            self.report.coverage.usage.refused_calls += 1;
            return PlatformOutcome::FenceTooLow;
        }
        self.check_accepted_call(caller, call);
        self.usage.platform.accept(now, caller, call);
        self.report.coverage.usage.accepted_calls += 1;
        PlatformOutcome::Accepted
    }

    /// Postpones the outcome of a call for a paused process.
    pub(super) fn postpone_outcome(&mut self, caller: Process, outcome: Delivery) {
        let at = self.now() + PAUSE_POLL_INTERVAL;
        self.queue.deliver_at(at, caller, outcome);
    }

    /// Schedules the delivery of a call's outcome to its process.
    fn end_call(
        &mut self,
        at: Instant,
        caller: Process,
        call: &PlatformCall,
        outcome: PlatformOutcome,
    ) {
        let delivery = Delivery::PlatformOutcome {
            call: call.id,
            fence: call.fence,
            outcome,
        };
        self.queue.deliver_at(at, caller, delivery);
    }

    /// Returns the control node if this is its current process, even if it is paused.
    fn running_control(&self, process: Process) -> Option<usize> {
        let NodeIndex::Control(node) = process.node else {
            return None;
        };
        let machine = &self.machines[node];
        (machine.is_up() && machine.incarnation == process.incarnation).then_some(node)
    }
}

// --- time from the loss of a caller to the next call ---

impl World {
    fn on_call_written(&mut self, caller: Process) {
        let previous = self.usage.platform.last_caller();
        self.usage.platform.set_last_caller(caller);
        if let Some(loss) = self.usage.caller_loss.take()
            && previous != Some(caller)
        {
            self.record_caller_failover(loss);
            self.draw_successor_restart(caller);
        }
    }

    /// May schedule a shutdown of the machine that has just taken over usage reporting. The duty can then move to the
    /// machine that was lost before, if that is running again.
    fn draw_successor_restart(&mut self, caller: Process) {
        let may_restart = !self.is_healed() && !self.plan.only_replacements;
        if !may_restart || !self.usage.random.one_in(SUCCESSOR_RESTART_ONE_IN) {
            return;
        }
        if let Some(node) = self.running_control(caller) {
            let delay = self.usage.random.millis_below(SUCCESSOR_RESTART_RANGE_MS);
            self.push_in(delay, Event::RestartSuccessor { node });
        }
    }

    /// May schedule the loss of the caller, before or after the call is written.
    fn draw_caller_loss(&mut self, node: usize) {
        let may_lose = !self.is_healed() && !self.plan.only_replacements;
        if may_lose && self.usage.random.one_in(CALLER_LOSS_ONE_IN) {
            let delay = self.usage.random.millis_below(CALLER_LOSS_RANGE_MS);
            self.push_in(delay, Event::LoseCaller { node });
        }
    }

    fn record_caller_failover(&mut self, loss: CallerLoss) {
        let now = self.now();
        let time = whole_millis(now.since(loss.at));
        let without_faults =
            self.usage.faults == loss.faults && self.usage.platform.is_healthy(now);
        let figures = &mut self.report.coverage.usage;
        figures.caller_failover_ms.push(time);
        if without_faults {
            figures.caller_failover_without_faults_ms.push(time);
        }
    }

    /// Records the loss of the last caller, if this is its machine. A pause and a partition count as a loss as well.
    pub(super) fn on_machine_lost(&mut self, node: usize) {
        let last = self.usage.platform.last_caller();
        if last.is_some_and(|caller| self.running_control(caller) == Some(node)) {
            let loss = CallerLoss {
                at: self.now(),
                faults: self.usage.faults,
            };
            self.usage.caller_loss.get_or_insert(loss);
        }
    }
}
