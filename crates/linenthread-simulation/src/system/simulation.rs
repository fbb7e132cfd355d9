//! Runs schedules by seed: each consists of a start, a time with faults, and the recovery after them.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use linenthread_control::Incarnation;
use linenthread_time::Instant;

use super::event::{Delivery, Event, NodeIndex, Process};
use super::ingress_node::{INGRESS_NODES, IngressNode};
use super::operator::Operator;
use super::plan;
use super::report::Coverage;
use super::world::{World, core_address};
use crate::run_summary::RunSummary;

/// Duration of a schedule after the faults.
const RECOVERY_LENGTH: Duration = Duration::from_millis(35_000);
/// Time from the end of the faults until one machine is restarted.
const RESTART_ONE_AFTER: Duration = Duration::from_millis(11_000);
/// Time from the end of the faults until the clocks of fewer than half of the machines step, which must not affect any
/// report.
const STEP_CLOCKS_AFTER: Duration = Duration::from_millis(9_000);
/// Time from the end of the faults until old changes are sent again to every machine.
const RETRY_ALL_AFTER: Duration = Duration::from_millis(18_000);
/// Minimum delay of the closing loss after the other faults.
const MIN_CLOSING_DELAY: Duration = Duration::from_millis(5);
/// Exclusive upper bound of the delay beyond [`MIN_CLOSING_DELAY`], in milliseconds.
const CLOSING_DELAY_RANGE_MS: u64 = 395;
/// Number of operators that send changes concurrently.
const OPERATOR_COUNT: usize = 2;
/// Interval at which the timers of control nodes are checked.
const TIMER_INTERVAL: Duration = Duration::from_millis(10);
/// Step by which a fast schedule is extended until it has had its number of changes.
const EXTENSION_STEP: Duration = Duration::from_millis(1_000);

/// Options of the system simulation.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    /// Number of schedules.
    pub(crate) schedules: usize,
    /// Seed of the first schedule; each further schedule uses the next number.
    pub(crate) seed: u64,
    /// Number of control machines.
    pub(crate) core: usize,
    /// Number of changes that operators send in quick succession in each schedule; drawn if not given.
    pub(crate) changes: Option<usize>,
    /// Number of schedules that run in parallel.
    pub(crate) jobs: usize,
    /// Whether a summary of what the schedules covered is printed.
    pub(crate) summary: bool,
    /// Whether each step is printed.
    pub(crate) trace: bool,
}

/// Runs all schedules, and prints the violations found and the summary if requested.
pub(crate) fn run(options: &Options) -> RunSummary {
    let end = options.seed + u64::try_from(options.schedules).unwrap_or(u64::MAX);
    let next_seed = AtomicU64::new(options.seed);
    let results = Mutex::new(BTreeMap::new());
    let work = || {
        loop {
            let seed = next_seed.fetch_add(1, Ordering::Relaxed);
            if seed >= end {
                return;
            }
            let result = run_schedule(options, seed);
            results
                .lock()
                .expect("no thread panics while it holds the lock")
                .insert(seed, result);
        }
    };
    std::thread::scope(|scope| {
        for _ in 0..options.jobs.max(1) {
            scope.spawn(work);
        }
    });
    let results = results.into_inner().expect("all threads have ended");
    let mut coverage = Coverage::default();
    let mut violations = 0;
    for (seed, result) in results {
        violations += result.violations.len();
        coverage.add(&result.coverage);
        for violation in result.violations {
            println!("seed {seed}, core {}: {violation}", options.core);
        }
    }
    if options.summary {
        coverage.print();
    }
    RunSummary {
        checked: options.schedules,
        violations,
    }
}

/// Result of one schedule.
struct ScheduleResult {
    violations: Vec<String>,
    coverage: Coverage,
}

fn run_schedule(options: &Options, seed: u64) -> ScheduleResult {
    let mut world = World::new(options.core, seed, options.trace);
    world.start(options.core);
    let started_at = world.now();
    world.plan.draw(&mut world.random, options.changes);
    world.run_until(started_at + world.plan.length);
    while world.is_fast() && world.now() < started_at + plan::MAX_LENGTH {
        world.run_until(world.now() + EXTENSION_STEP);
    }
    world.end_with_loss();
    world.heal();
    let acknowledged_before = world.report.coverage.acknowledgements;
    world.plan.changes = None;
    world.push_in(RESTART_ONE_AFTER, Event::RestartOneAfterRecovery);
    world.push_in(RETRY_ALL_AFTER, Event::RetryAllChanges);
    world.push_in(STEP_CLOCKS_AFTER, Event::StepClocksAfterRecovery);
    world.run_until(world.now() + RECOVERY_LENGTH);
    world.report.coverage.max_changes = world.history.changes.len();
    world.check_end(acknowledged_before);
    world.measure_reports();
    ScheduleResult {
        violations: world.report.violations,
        coverage: world.report.coverage,
    }
}

impl World {
    /// Adds the initial nodes and the operators, and schedules the periodic events.
    fn start(&mut self, core: usize) {
        self.plan.draw_sync_duration(&mut self.random);
        for node in 0..core {
            self.add_machine(core_address(node), true);
            let delay = self.random.millis_below(300);
            self.push_in(delay, Event::StartProcess { node });
        }
        for ingress in 0..INGRESS_NODES {
            let incarnation = Incarnation::new(self.random.bits());
            let node = IngressNode::new(incarnation, self.usage.window_length, self.now());
            self.ingress.nodes.push(node);
            let delay = Duration::from_millis(500) + self.random.millis_below(500);
            self.push_in(delay, Event::IngressHeartbeat { ingress });
        }
        for operator in 0..OPERATOR_COUNT {
            self.operators.push(Operator::default());
            let delay = Duration::from_millis(1_500) + self.random.millis_below(2_000);
            self.push_in(delay, Event::OperatorStep { operator });
        }
        for (delay_ms, event) in [
            (2_000, Event::ReplicaHeartbeat),
            (2_000, Event::CheckIngressSessions),
            (3_000, Event::InjectFault),
            (4_000, Event::RetryCommittedChange),
            (1_000, Event::CheckUsage),
            (3_500, Event::InjectUsageFault),
        ] {
            self.push_in(Duration::from_millis(delay_ms), event);
        }
    }

    /// Ends the faults with a loss in half of the schedules. The random delay places it soon after a change, since
    /// operators send changes all the time.
    fn end_with_loss(&mut self) {
        if !self.random.one_in(2) {
            return;
        }
        let delay = MIN_CLOSING_DELAY + self.random.millis_below(CLOSING_DELAY_RANGE_MS);
        self.run_until(self.now() + delay);
        if self.inject_closing_loss() {
            let down = Duration::from_millis(200) + self.random.millis_below(1_500);
            self.run_until(self.now() + down);
        }
    }

    fn run_until(&mut self, end: Instant) {
        while self.now() < end {
            let tick = self.now() + TIMER_INTERVAL;
            if self.queue.next_at().is_none_or(|next| next > tick) {
                self.queue.advance_to(tick.min(end));
                self.run_timers();
            } else if let Some(event) = self.queue.pop() {
                self.handle(event);
            }
        }
    }

    /// Runs the timers that are due at each running control node.
    fn run_timers(&mut self) {
        for node in 0..self.machines.len() {
            let clock = self.machine_clock(node);
            let machine = &self.machines[node];
            let is_due = machine
                .control
                .as_ref()
                .is_some_and(|control| clock >= control.next_tick_at(clock));
            if is_due && self.is_running(node) {
                self.run(node, |control, now, effects| {
                    control.tick(now, effects);
                });
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Deliver { to, delivery } => self.deliver(to, *delivery),
            Event::WriteCompleted { node, incarnation } => self.complete_write(node, incarnation),
            Event::StartProcess { node } => self.start_process(node),
            Event::IngressHeartbeat { ingress } => self.step_ingress(ingress),
            Event::OperatorStep { operator } => self.step_operator(operator),
            Event::RetryCommittedChange => self.step_retry(),
            Event::RequestsOnResume { node } => self.send_requests_on_resume(node),
            Event::RetryAllChanges => self.retry_all_changes(),
            Event::ReplicaHeartbeat => self.step_replica(),
            Event::CheckIngressSessions => self.check_ingress_sessions(),
            Event::InjectFault => self.inject_fault(),
            Event::RepairDisk { node } => self.repair_disk(node),
            Event::LossAfterAcknowledgement { node } => {
                self.inject_loss_after_acknowledgement(node);
            }
            Event::LossAfterDrain { node } => self.inject_loss_after_drain(node),
            Event::SecondLoss => self.inject_second_loss(),
            Event::Decommission { node, successor } => self.decommission(node, successor),
            Event::CheckShutdown { node, incarnation } => self.check_shutdown(node, incarnation),
            Event::RollingRestart { node } => self.step_rolling_restart(node),
            Event::RestartOneAfterRecovery => self.restart_one(),
            Event::WritePlatformCall {
                caller,
                call,
                lease_check,
            } => self.write_platform_call(caller, call, lease_check),
            Event::ReceivePlatformCall(written) => self.receive_platform_call(&written),
            Event::CheckUsage => self.step_usage(),
            Event::InjectUsageFault => self.inject_usage_fault(),
            Event::StepClocksAfterRecovery => self.step_clocks(),
            Event::RestartSuccessor { node } => self.restart_successor(node),
            Event::LoseCaller { node } => self.lose_caller(node),
        }
    }

    /// Delivers input to a process. It is discarded if the process has ended, and postponed if the process is paused.
    fn deliver(&mut self, to: Process, delivery: Delivery) {
        match to.node {
            NodeIndex::Ingress(index) => {
                if self.ingress.nodes[index].incarnation == to.incarnation {
                    self.deliver_to_ingress(index, delivery);
                }
            }
            NodeIndex::Control(node) => {
                let machine = &self.machines[node];
                if !machine.is_up() || machine.incarnation != to.incarnation {
                    return;
                }
                if self.is_running(node) {
                    self.deliver_to_control(node, delivery);
                } else if matches!(delivery, Delivery::PlatformOutcome { .. }) {
                    self.postpone_outcome(to, delivery);
                } else {
                    let at = machine.paused_until;
                    self.queue.deliver_at(at, to, delivery);
                }
            }
        }
    }
}
