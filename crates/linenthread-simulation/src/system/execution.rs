//! Processes of control nodes: start and end, input, and execution of their effects.

use std::time::Duration;

use linenthread_consensus::{DurableState, Incarnation, NodeId};
use linenthread_control::{AfterSync, ControlNode, Effect, NodeConfig, PlatformOutcome};
use linenthread_messages::{PeerMessage, Record};
use linenthread_time::{Instant, whole_millis};

use super::disk::WriteOutcome;
use super::event::{Delivery, Event, NodeIndex};
use super::fault::FaultKind;
use super::ingress_node::{RETRY_ALLOWANCE, RETRY_WINDOW};
use super::invariant::Invariant;
use super::loss_budget::CATCH_UP_TIME;
use super::machine::{CatchUp, NO_PROCESS, ProcessEnd};
use super::world::World;

/// Delay until a process that could not open its full disk is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Time until a connection to an unreachable machine fails.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Time until a connection to an address without a machine fails.
const CONNECTION_REFUSED: Duration = Duration::from_millis(5);
/// Interval of replica heartbeats in the settings of control nodes.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_000);
/// Prefix of control nodes' names. Names are part of messages, whose bytes the coverage counts, so a prefix of another
/// length changes the figures.
const NAME_PREFIX: &str = "ctl";
/// Number of zones of control nodes.
const ZONE_COUNT: usize = 3;

// --- start and end ---

impl World {
    pub(super) fn start_process(&mut self, node: usize) {
        let machine = &self.machines[node];
        if machine.decommissioned || machine.is_up() {
            return;
        }
        let Some(state) = self.open_disk(node) else {
            return;
        };
        let incarnation = Incarnation::new(self.random.bits() | 1);
        let clock = self.machine_clock(node);
        let machine = &self.machines[node];
        let is_empty = state.id.is_none();
        let is_initial_voter =
            is_empty && machine.is_initial && self.bootstrap.contains(&machine.address);
        let new_id = if is_initial_voter {
            NodeId::genesis(&machine.address)
        } else {
            NodeId(incarnation.get())
        };
        let id = state.id.unwrap_or(new_id);
        let genesis = machine.is_initial.then(|| self.genesis.clone());
        let config = self.node_config(node, incarnation, machine.is_initial && is_empty);
        let control = ControlNode::new(config, id, state, genesis.clone(), clock);
        self.trace(&format!("{node} starts"));
        let (target, now) = (self.history.newest_number(), self.now());
        self.machines[node].on_process_started(control, incarnation, CatchUp::new(target, now));
        if is_empty {
            let first = Record {
                id: Some(id.0),
                decided: genesis,
                ..Record::default()
            };
            self.persist(node, first, Vec::new());
        }
    }

    fn node_config(&self, node: usize, incarnation: Incarnation, is_genesis: bool) -> NodeConfig {
        let machine = &self.machines[node];
        NodeConfig {
            name: format!("{NAME_PREFIX}-{node}"),
            zone: format!("z{}", node % ZONE_COUNT),
            incarnation,
            control_address: machine.address.clone(),
            voter_eligible: true,
            min_voters: 2 * self.max_lost + 1,
            heartbeat_interval: HEARTBEAT_INTERVAL,
            bootstrap: machine.bootstrap.clone(),
            is_genesis,
            retry_allowance: RETRY_ALLOWANCE,
            retry_window: RETRY_WINDOW,
            usage: Some(self.usage.config()),
        }
    }

    /// Opens the disk of a starting process and returns the state on it; `None` if the process can't start now.
    fn open_disk(&mut self, node: usize) -> Option<DurableState> {
        let disk = &mut self.machines[node].disk;
        match disk.open() {
            Ok(state) => Some(state),
            Err(_) if disk.is_full() => {
                self.push_in(RESTART_DELAY, Event::StartProcess { node });
                None
            }
            Err(cause) => {
                let details = format!("the disk of {node} does not open: {cause}");
                self.violation(Invariant::AcknowledgedIsSynced, &details);
                None
            }
        }
    }

    /// Ends a process, and schedules its restart after `restart_in` if given.
    pub(super) fn end_process(
        &mut self,
        node: usize,
        end: ProcessEnd,
        restart_in: Option<Duration>,
    ) {
        match restart_in.map(whole_millis) {
            Some(delay) => self.trace(&format!("{node} ends, restart_delay_ms={delay}")),
            None => self.trace(&format!("{node} ends")),
        }
        let disk = &mut self.machines[node].disk;
        if disk.close(&mut self.random) {
            self.count_fault(FaultKind::TornWrite);
        }
        self.on_machine_lost(node);
        let machine = &mut self.machines[node];
        if end == ProcessEnd::PowerLost {
            machine.disk.lose_power(&mut self.random);
        }
        machine.control = None;
        machine.incarnation = NO_PROCESS;
        machine.shutdown = None;
        machine.catch_up = None;
        let index = NodeIndex::Control(node);
        for session in self.network.sessions_of(index) {
            self.close_session(session, index);
        }
        self.calls.remove_all_of(node);
        if let Some(delay) = restart_in {
            self.mark_lost(node, self.now() + delay);
            self.push_in(delay, Event::StartProcess { node });
        }
    }

    /// Ends a process and erases its disk. The machine restarts with an empty disk, at the same address.
    pub(super) fn lose_disk(&mut self, node: usize, restart_in: Duration) {
        self.end_process(node, ProcessEnd::PowerLost, Some(restart_in));
        self.record_loss();
        let erased_until = self.now() + restart_in + CATCH_UP_TIME;
        let machine = &mut self.machines[node];
        machine.disk.erase();
        machine.is_initial = false;
        machine.erased_until = erased_until;
    }
}

// --- input ---

impl World {
    /// Delivers input to the running process of a control node.
    pub(super) fn deliver_to_control(&mut self, node: usize, delivery: Delivery) {
        match delivery {
            Delivery::Opened { session } if self.network.is_open(session) => {
                self.run(node, |control, _, effects| {
                    control.on_session_opened(session, effects);
                });
            }
            Delivery::Message {
                session,
                from,
                sent_at,
                message,
            } if self.network.is_open(session) => {
                self.record_contact(node, from, sent_at, &message);
                self.run(node, |control, now, effects| {
                    control.on_message(now, session, *message, effects);
                });
            }
            Delivery::Opened { .. } | Delivery::Message { .. } => {}
            Delivery::Closed { session } => self.run(node, |control, now, effects| {
                control.on_session_closed(now, session, effects);
            }),
            Delivery::Unreachable { address } => {
                self.run(node, |control, now, _| {
                    control.on_dial_failed(now, &address);
                });
            }
            Delivery::Synced { after_sync } => self.run(node, |control, now, effects| {
                control.on_synced(now, after_sync, effects);
            }),
            Delivery::PlatformOutcome {
                call,
                fence,
                outcome,
            } => {
                if outcome == PlatformOutcome::FenceTooLow {
                    let caller = self.machines[node].process(node);
                    self.usage.platform.on_refusal_known(caller, fence);
                }
                self.run(node, |control, now, effects| {
                    control.on_platform_outcome(now, call, outcome, effects);
                });
            }
        }
    }

    /// Records the arrival of a message, which proves contact to both ends.
    fn record_contact(
        &mut self,
        node: usize,
        from: NodeIndex,
        sent_at: Instant,
        message: &PeerMessage,
    ) {
        if let Some(catch_up) = &mut self.machines[node].catch_up {
            catch_up.count(message);
        }
        let NodeIndex::Control(from) = from else {
            return;
        };
        let ids = (
            self.machines[from].voter_id(),
            self.machines[node].voter_id(),
        );
        let (Some(there), Some(here)) = ids else {
            return;
        };
        self.machines[node].contacts.on_received(there, sent_at);
        let sender = &mut self.machines[from];
        // A message of an earlier incarnation does not count.
        if sender.started_at <= sent_at {
            sender.contacts.on_delivered(here, sent_at);
        }
    }

    /// Runs one step of a control node at the time of its clocks, checks the invariants, and executes the effects.
    pub(super) fn run(
        &mut self,
        node: usize,
        step: impl FnOnce(&mut ControlNode, Instant, &mut Vec<Effect>),
    ) {
        let clock = self.machine_clock(node);
        let wall = self.machines[node].time_of_day.read(self.now());
        let Some(control) = self.machines[node].control.as_mut() else {
            return;
        };
        control.observe_wall_clock(clock, wall);
        let mut effects = Vec::new();
        step(control, clock, &mut effects);
        self.check_decided(node);
        self.check_lease_holders();
        self.check_recovery_time();
        for effect in effects {
            self.execute(node, effect);
        }
    }
}

// --- effects ---

impl World {
    fn execute(&mut self, node: usize, effect: Effect) {
        let index = NodeIndex::Control(node);
        match effect {
            Effect::Send { session, message } => self.send(index, session, message),
            Effect::Persist { record, after_sync } => self.persist(node, record, after_sync),
            Effect::Respond { call, response } => self.on_response(node, call, response),
            Effect::Dial(address) => self.dial(node, address),
            Effect::Close(session) => self.close_session(session, index),
            Effect::CallPlatform(call) => self.call_platform(node, call),
            Effect::Log(event) => self.trace(&format!("{node}: {event}")),
        }
    }

    fn dial(&mut self, node: usize, address: String) {
        let from = self.machines[node].process(node);
        let target = self
            .machines
            .iter()
            .position(|machine| machine.address == address && !machine.decommissioned);
        let Some(target) = target else {
            self.fail_to_connect(node, address, CONNECTION_REFUSED);
            return;
        };
        let to = self.machines[target].process(target);
        if !self.is_up(target) || self.is_partitioned(from.node, to.node) {
            self.fail_to_connect(node, address, CONNECT_TIMEOUT);
            return;
        }
        let at = self.now() + self.network.delay(&mut self.random);
        let session = self.network.open(from, to, self.now());
        self.queue
            .deliver_at(at, from, Delivery::Opened { session });
        self.queue.deliver_at(at, to, Delivery::Opened { session });
    }

    fn fail_to_connect(&mut self, node: usize, address: String, after: Duration) {
        let process = self.machines[node].process(node);
        let delivery = Delivery::Unreachable { address };
        self.queue
            .deliver_at(self.queue.now() + after, process, delivery);
    }

    /// Queues a record; the actions in `after_sync` run once it is synced.
    fn persist(&mut self, node: usize, record: Record, after_sync: Vec<AfterSync>) {
        self.machines[node].disk.enqueue(record, after_sync);
        self.start_write(node);
    }

    fn start_write(&mut self, node: usize) {
        let machine = &mut self.machines[node];
        if !machine.disk.start_write() {
            return;
        }
        let incarnation = machine.incarnation;
        let duration = machine.disk.sync_duration + self.random.millis_below(4);
        self.push_in(duration, Event::WriteCompleted { node, incarnation });
    }

    /// Completes the write in progress, and starts the next one.
    pub(super) fn complete_write(&mut self, node: usize, incarnation: Incarnation) {
        let now = self.now();
        let machine = &mut self.machines[node];
        if machine.incarnation != incarnation {
            return;
        }
        match machine.disk.complete_write() {
            WriteOutcome::Synced(after_sync) => {
                let at = now.max(machine.paused_until);
                let process = machine.process(node);
                self.queue
                    .deliver_at(at, process, Delivery::Synced { after_sync });
            }
            WriteOutcome::Rejected => self.count_fault(FaultKind::WriteRejected),
            WriteOutcome::NotOpen => return,
        }
        self.start_write(node);
    }
}
