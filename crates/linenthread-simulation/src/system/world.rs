//! Complete state of one schedule: time, network, nodes, callers, and the checker's data. The modules of the layers
//! above change it, such as `execution`, `ingress`, `operators`, `faults` and `recovery`.

use std::time::Duration;

use linenthread_consensus::genesis_value;
use linenthread_control::SessionId;
use linenthread_messages::{PeerMessage, Value};
use linenthread_time::Instant;

use super::clock::MachineClock;
use super::event::{Event, EventQueue, NodeIndex};
use super::fault::FaultKind;
use super::history::History;
use super::ingress_node::IngressNodes;
use super::invariant::Invariant;
use super::machine::Machine;
use super::network::Network;
use super::operator::Operator;
use super::plan::Plan;
use super::random::Random;
use super::recovery_time::Loss;
use super::replicas::Replicas;
use super::report::Report;
use super::requests::Calls;
use super::time_of_day::TimeOfDay;
use super::usage::Usage;

/// Number of initial voters, and of bootstrap addresses in settings.
pub(super) const BOOTSTRAP_NODES: usize = 3;

pub(super) struct World {
    pub(super) queue: EventQueue,
    pub(super) random: Random,
    pub(super) network: Network,
    pub(super) machines: Vec<Machine>,
    pub(super) ingress: IngressNodes,
    pub(super) replicas: Replicas,
    pub(super) operators: Vec<Operator>,
    pub(super) calls: Calls,
    pub(super) history: History,
    pub(super) report: Report,
    pub(super) plan: Plan,
    pub(super) usage: Usage,
    /// Value that the initial machines start with.
    pub(super) genesis: Value,
    /// Bootstrap addresses in the settings of the initial machines.
    pub(super) bootstrap: Vec<String>,
    /// Maximum number of machines that may be lost at once, see `loss_budget`.
    pub(super) max_lost: usize,
    /// Loss after which the voters are not complete yet.
    pub(super) loss: Option<Loss>,
    /// Time at which the faults ended.
    pub(super) healed_at: Option<Instant>,
}

impl World {
    /// Creates a world without nodes, for `core` initial control machines.
    pub(super) fn new(core: usize, seed: u64, trace: bool) -> World {
        let bootstrap: Vec<String> = (0..core.min(BOOTSTRAP_NODES)).map(core_address).collect();
        World {
            queue: EventQueue::new(),
            random: Random::new(seed),
            network: Network::new(),
            machines: Vec::new(),
            ingress: IngressNodes::new(),
            replicas: Replicas::default(),
            operators: Vec::new(),
            calls: Calls::default(),
            history: History::default(),
            report: Report::new(trace),
            plan: Plan::default(),
            usage: Usage::new(seed),
            genesis: genesis_value(&bootstrap),
            bootstrap,
            max_lost: (core - 1) / 2,
            loss: None,
            healed_at: None,
        }
    }

    // --- time ---

    pub(super) fn now(&self) -> Instant {
        self.queue.now()
    }

    /// Returns the reading of a machine's monotonic clock.
    pub(super) fn machine_clock(&self, node: usize) -> Instant {
        self.machines[node].clock.read(self.now())
    }

    pub(super) fn push_in(&mut self, delay: Duration, event: Event) {
        self.queue.push_in(delay, event);
    }

    /// Reports whether the faults have ended.
    pub(super) fn is_healed(&self) -> bool {
        self.healed_at.is_some()
    }

    /// Reports whether operators send changes in quick succession, which they do until the schedule has had its number
    /// of changes.
    pub(super) fn is_fast(&self) -> bool {
        self.plan
            .changes
            .is_some_and(|changes| self.report.coverage.acknowledgements < changes)
    }

    // --- machines ---

    pub(super) fn add_machine(&mut self, address: String, is_initial: bool) -> usize {
        let clock = MachineClock::draw(&mut self.random);
        let time_of_day = TimeOfDay::draw(&mut self.usage.random);
        self.machines.push(Machine::new(
            address,
            self.bootstrap.clone(),
            is_initial,
            clock,
            time_of_day,
            self.plan.sync_duration,
        ));
        self.machines.len() - 1
    }

    pub(super) fn random_machine(&mut self) -> usize {
        self.random.index(self.machines.len())
    }

    pub(super) fn is_up(&self, node: usize) -> bool {
        self.machines[node].is_up()
    }

    pub(super) fn is_running(&self, node: usize) -> bool {
        self.machines[node].is_running(self.now())
    }

    // --- network ---

    pub(super) fn is_partitioned(&self, a: NodeIndex, b: NodeIndex) -> bool {
        self.network.is_partitioned(a, b, self.now())
    }

    pub(super) fn send(&mut self, from: NodeIndex, session: SessionId, message: PeerMessage) {
        self.network
            .send(&mut self.queue, &mut self.random, from, session, message);
    }

    pub(super) fn close_session(&mut self, session: SessionId, by: NodeIndex) {
        self.network
            .close(&mut self.queue, &mut self.random, session, by);
    }

    // --- report ---

    pub(super) fn trace(&self, step: &str) {
        self.report.trace(self.now(), step);
    }

    pub(super) fn count_fault(&mut self, kind: FaultKind) {
        self.record_fault_during_recovery();
        self.usage.faults += 1;
        if !self.is_healed() {
            self.record_usage_fault();
        }
        self.report.count_fault(self.queue.now(), kind);
    }

    pub(super) fn violation(&mut self, invariant: Invariant, details: &str) {
        self.report.violation(self.queue.now(), invariant, details);
    }
}

/// Returns the address of an initial machine.
pub(super) fn core_address(node: usize) -> String {
    format!("10.0.0.{}:80", node + 1)
}

/// Returns the address of a machine that was added later.
pub(super) fn replacement_address(node: usize) -> String {
    format!("10.0.1.{}:80", node + 1)
}
