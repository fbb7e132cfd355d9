//! Calls processes and performs the actions that they request.

use linenthread_core::interface::TenthMillis;
use linenthread_fleet::{Fleet, FleetAction, FleetEvent};

use super::event::{Event, ProcessIndex};
use super::invariant::Invariant;
use super::network::LinkEnd;
use super::process::{self, Disk, name};
use super::world::World;
use crate::number;

/// The environment variable that makes the simulation print all events of the fleets.
const SHOW_VARIABLE: &str = "SHOW";

impl World {
    /// Starts a process unless it runs.
    pub(super) fn start(&mut self, index: ProcessIndex) {
        if self.processes[index].fleet.is_some() {
            return;
        }
        let count = self.processes.len();
        let seed = self.rng.rand_u64();
        let process = &mut self.processes[index];
        let now = process.local_time(self.now);
        let config = process.next_config(index, self.voters, count, seed);
        let disk = process.disk.clone();
        let mut actions = Vec::new();
        match Fleet::new(config, Some(disk), now, &mut actions) {
            Ok(fleet) => process.fleet = Some(fleet),
            Err(error) => self.record_violation(
                Invariant::Restarts,
                &format!("{} does not start: {error}", name(index)),
            ),
        }
        self.perform(index, actions);
    }

    /// Calls a process with its local time, performs the resulting actions, and checks the invariants. Does nothing if
    /// the process does not run.
    pub(super) fn call_process(
        &mut self,
        index: ProcessIndex,
        call: impl FnOnce(&mut Fleet<Disk>, TenthMillis, &mut Vec<FleetAction>),
    ) {
        let process = &mut self.processes[index];
        let now = process.local_time(self.now);
        let mut actions = Vec::new();
        if let Some(fleet) = &mut process.fleet {
            call(fleet, now, &mut actions);
            self.perform(index, actions);
            self.check_process(index);
        }
    }

    /// Performs the actions of a process and sets its timer.
    pub(super) fn perform(&mut self, index: ProcessIndex, actions: Vec<FleetAction>) {
        for action in actions {
            match action {
                FleetAction::Dial {
                    connection,
                    address,
                } => {
                    let latency = self.latency();
                    let connect = Event::Connect {
                        from: index,
                        connection,
                        to: process::index(address),
                    };
                    self.schedule(latency, connect);
                }
                FleetAction::Write { connection, bytes } => self.send(index, connection, bytes),
                FleetAction::Close { connection, .. } => {
                    if let Some(link) = self.network.link_at(LinkEnd {
                        process: index,
                        connection,
                    }) {
                        self.close_link(link, index);
                    }
                    self.call_process(index, |fleet, now, actions| {
                        fleet.on_closed(now, connection, actions);
                    });
                }
                FleetAction::SendDatagram { to, bytes } => {
                    self.send_datagram(index, process::index(to), bytes);
                }
                FleetAction::Committed(committed) => self.on_committed(index, committed),
                FleetAction::Log(event) => self.on_event(index, &event),
                FleetAction::MemberUp(_)
                | FleetAction::MemberDown(_)
                | FleetAction::Report { .. }
                | FleetAction::LogConnection(_) => {}
            }
        }
        self.set_timer(index);
    }

    /// Counts an event that a process logs, and prints it if [`SHOW_VARIABLE`] is set.
    fn on_event(&mut self, index: ProcessIndex, event: &FleetEvent) {
        match event {
            FleetEvent::LeadershipAcquired { .. } => self.totals.leaders += 1,
            FleetEvent::IdentityReplaced { .. } => self.totals.replaced_identities += 1,
            _ => {}
        }
        if std::env::var_os(SHOW_VARIABLE).is_some() {
            let seconds = number::seconds(self.now);
            println!("{seconds:8.2} {}: {event}", name(index));
        }
    }

    /// Schedules the next timer of a process if it is earlier than the current one or that one has expired.
    fn set_timer(&mut self, index: ProcessIndex) {
        let process = &mut self.processes[index];
        let Some(fleet) = &process.fleet else {
            return;
        };
        let wake_at = process.global_time(fleet.wake_at()).max(self.now + 1);
        if wake_at < process.wake_at || process.wake_at <= self.now {
            process.wake_at = wake_at;
            process.timer += 1;
            let event = Event::Wake(index, process.timer);
            self.schedule(wake_at - self.now, event);
        }
    }
}
