//! The event loop, and what is scheduled at the start and for a measurement.

use std::time::Duration;

use linenthread_time::Instant;

use super::state::{Event, JoinState, World};
use crate::ingress::Table;
use crate::number::count;

/// When replicas start: control has elected a leader by then.
const REPLICAS_AT: Instant = Instant::from_millis(5_200);
const FIRST_CONFIGURATION_AT: Instant = Instant::from_millis(5_000);
/// When the first ingress node of each control node joins, alone.
const FIRST_INGRESS_AT: Instant = Instant::from_millis(6_500);
/// When the others start to join.
const INGRESS_AT: Instant = Instant::from_millis(6_800);
/// Within which time they join.
const INGRESS_WITHIN: Duration = Duration::from_millis(400);
/// Within which time control nodes start.
const CONTROL_WITHIN: Duration = Duration::from_millis(300);
/// When the system has come to rest, and is measured.
pub(crate) const MEASURED_FROM: Instant = Instant::from_millis(7_600);
/// Changes and restarts come so long after the start of their part of the measured time.
const SPREAD_OFFSET: Duration = Duration::from_millis(50);
/// All snapshots of a storm are through, or not, after so long.
const STORM: Duration = Duration::from_millis(400);
/// A storm comes so long after the measured time.
const STORM_DELAY: Duration = Duration::from_millis(1);
/// Ingress nodes that have a table of replicas and routes, to measure its cost.
const TABLES: usize = 3;

impl World {
    /// Schedules the start of all nodes and the first configuration.
    pub(crate) fn start(&mut self) {
        for control in 0..self.control.len() {
            let at = Instant::from_millis(1) + self.millis_below(CONTROL_WITHIN);
            self.events.push(at, Event::StartControl(control));
        }
        for replica in 0..self.replicas.len() {
            let at = REPLICAS_AT + self.millis_below(self.scale.heartbeat_interval);
            self.events.push(at, Event::ReplicaHeartbeat(replica));
        }
        self.schedule_change(FIRST_CONFIGURATION_AT, 1);
        let mut has_ingress = vec![false; self.control.len()];
        for ingress in 0..self.ingress.len() {
            let control = self.control_of_ingress(ingress);
            let is_first = !std::mem::replace(&mut has_ingress[control], true);
            let has_table = ingress < TABLES;
            if has_table {
                self.ingress[ingress].table = Some(Table::default());
            }
            let (at, state) = if is_first || has_table {
                (FIRST_INGRESS_AT, JoinState::Nothing)
            } else {
                let at = INGRESS_AT + self.millis_below(INGRESS_WITHIN);
                (at, JoinState::UpToDate)
            };
            self.events.push(at, Event::IngressJoins { ingress, state });
        }
    }

    /// Handles all events before this time.
    pub(crate) fn run_until(&mut self, end: Instant) {
        while let Some((at, event)) = self.events.pop_before(end) {
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::StartControl(control) => self.start_control(control),
            Event::Tick(control) => self.tick(control),
            Event::Input {
                control,
                incarnation,
                input,
            } => {
                if self.control[control].incarnation == incarnation {
                    self.run_control(control, input);
                }
            }
            Event::IngressJoins { ingress, state } => self.join(ingress, state),
            Event::IngressHeartbeat { ingress, session } => {
                self.send_ingress_heartbeat(ingress, session);
            }
            Event::ReplicaHeartbeat(replica) => self.step_replica(replica),
            Event::ReplicaRestart(replica) => self.restart_replica(replica),
            Event::ReplicaDeparts(replica) => self.depart_replica(replica),
            Event::ReplicaReturns(replica) => self.return_replica(replica),
            Event::Change(change) => self.send_change(change),
        }
    }

    // --- measuring ---

    pub(crate) fn reset_costs(&mut self) {
        for machine in &mut self.control {
            machine.cost.reset();
        }
        for ingress in &mut self.ingress {
            ingress.cost.reset();
        }
        self.replica_cost.reset();
        self.acknowledged.reset();
        self.in_force.reset();
    }

    /// Schedules the changes and restarts of the measured time, evenly spread.
    pub(crate) fn schedule_load(&mut self) {
        let length_ms = self.scale.seconds * 1_000;
        let spread = |nth: u64, total: u64| {
            MEASURED_FROM + Duration::from_millis(length_ms * nth / total) + SPREAD_OFFSET
        };
        let changes = count(self.scale.changes);
        for nth in 0..changes {
            // Revision 1 is there already.
            self.schedule_change(spread(nth, changes), nth + 2);
        }
        let restarts = count(self.scale.restarts);
        for nth in 0..restarts {
            let replica = self.index(self.replicas.len());
            self.events
                .push(spread(nth, restarts), Event::ReplicaRestart(replica));
        }
    }

    /// Some ingress nodes come back with nothing at one moment; returns how many.
    pub(crate) fn storm(&mut self) -> usize {
        let joining = self.scale.storm.min(self.ingress.len());
        for ingress in 0..joining {
            let join = Event::IngressJoins {
                ingress,
                state: JoinState::Nothing,
            };
            self.events.push(self.now + STORM_DELAY, join);
        }
        self.run_until(self.now + STORM);
        joining
    }
}
