//! Control nodes: their start and end, work on one input, and the effects that they ask for.

use std::time::Duration;

use bytes::BytesMut;
use linenthread_control::{AfterSync, Effect, Incarnation, Revision, SessionId};
use linenthread_messages::{PeerMessage, Record, encode};
use linenthread_time::Instant;
use prost::Message;

use super::state::{
    BOOTSTRAP_NODES, Change, End, Event, NO_INCARNATION, TraceLine, World, control_name, other_end,
};
use crate::control::{ControlProcess, ControlSettings, Input};
use crate::cost::{Meter, Work, allocated};
use crate::loss::Loss;
use crate::messages::{Peer, Summary, work_of};
use crate::number::{count, signed};

/// What a sync of a record takes.
const SYNC: Duration = Duration::from_millis(2);
/// A connection to an address where no process listens fails after so long.
const CONNECTION_REFUSED: Duration = Duration::from_millis(5);

// --- start and end ---

impl World {
    pub(super) fn start_control(&mut self, index: usize) {
        let incarnation = Incarnation::new(self.random.rand_u64() | 1);
        let bootstrap = self
            .control
            .iter()
            .take(BOOTSTRAP_NODES)
            .map(|machine| machine.address.clone())
            .collect();
        let machine = &mut self.control[index];
        let settings = ControlSettings {
            name: control_name(index),
            zone: machine.zone.name(),
            address: machine.address.clone(),
            incarnation,
            may_vote: machine.may_vote,
            bootstrap,
            heartbeat_interval: self.scale.heartbeat_interval,
        };
        let meter = Meter::start();
        let (process, record) = ControlProcess::first_start(settings, self.now);
        machine.cost.charge(Work::Timer, &meter.spent());
        machine.process = Some(process);
        machine.incarnation = incarnation;
        self.persist(index, record, Vec::new());
        self.set_timer(index);
    }

    /// The process of a node ends, and with it its sessions.
    pub(crate) fn stop_control(&mut self, index: usize, loss: Loss) {
        let machine = &mut self.control[index];
        machine.process = None;
        machine.incarnation = NO_INCARNATION;
        let end = End::Control(index);
        let mut sessions: Vec<SessionId> = self
            .sessions
            .iter()
            .filter(|(_, ends)| ends.contains(&end))
            .map(|(session, _)| *session)
            .collect();
        sessions.sort_unstable();
        for session in sessions {
            match loss {
                Loss::Killed => self.close_session(session, end),
                Loss::Dark => {
                    self.sessions.remove(&session);
                }
            }
        }
    }

    fn set_timer(&mut self, index: usize) {
        let machine = &mut self.control[index];
        let Some(process) = &machine.process else {
            return;
        };
        let next_tick = process.next_tick_at(self.now).max(self.now);
        if next_tick != machine.timer {
            machine.timer = next_tick;
            self.events.push(next_tick, Event::Tick(index));
        }
    }
}

// --- input ---

impl World {
    /// The timer of a node is due, unless it was set anew since.
    pub(super) fn tick(&mut self, index: usize) {
        let machine = &mut self.control[index];
        if machine.timer == self.now {
            machine.timer = Instant::NEVER;
            self.run_control(index, Input::Tick);
        }
    }

    /// Works on one input at a node, and carries out what it asks for.
    pub(super) fn run_control(&mut self, index: usize, input: Input) {
        let frame = input.frame();
        let peer = frame.map_or(Peer::Control, |(session, _)| self.peer_of(session));
        let input_bytes = signed(input.allocated());
        let mut effects = std::mem::take(&mut self.effects);
        let capacity = effects.capacity();
        let machine = &mut self.control[index];
        let Some(process) = machine.process.as_mut() else {
            return;
        };
        let meter = Meter::start();
        let work = process.handle(self.now, input, peer, &mut effects);
        let mut spent = meter.spent();
        // The list of effects is not the node's, and the input was allocated by others.
        let grown = (effects.capacity() - capacity) * size_of::<Effect>();
        spent.heap += input_bytes - signed(grown);
        machine.cost.transient = machine.cost.transient.max(spent.heap);
        machine.cost.charge(work, &spent);
        if let Some((_, bytes)) = frame {
            machine.cost.receive(work, bytes);
        }
        for effect in effects.drain(..) {
            self.execute(index, effect);
        }
        self.effects = effects;
        self.set_timer(index);
    }
}

// --- effects ---

impl World {
    fn execute(&mut self, index: usize, effect: Effect) {
        match effect {
            Effect::Send { session, message } => self.send(index, session, message),
            Effect::Persist { record, after_sync } => self.persist(index, record, after_sync),
            Effect::Respond { call, response } => {
                self.on_response(index, call, &response);
                self.release(index, response);
            }
            Effect::Dial(address) => self.dial(index, address),
            Effect::Close(session) => self.close_session(session, End::Control(index)),
            Effect::Log(event) => {
                if let Some(trace) = &mut self.trace {
                    trace.push(TraceLine {
                        at: self.now,
                        text: format!("{} {event}", control_name(index)),
                        is_acknowledgement: false,
                    });
                }
                self.release(index, event);
            }
        }
    }

    /// Drops what a node had allocated.
    fn release<T>(&mut self, index: usize, value: T) {
        let before = allocated();
        drop(value);
        self.control[index].cost.heap += allocated() - before;
    }

    fn persist(&mut self, index: usize, record: Record, after_sync: Vec<AfterSync>) {
        self.control[index].cost.disk_bytes += count(record.encoded_len());
        self.push_input(self.now + SYNC, index, Input::Synced(after_sync));
        self.release(index, record);
    }

    fn send(&mut self, index: usize, session: SessionId, message: PeerMessage) {
        let Some(ends) = self.sessions.get(&session) else {
            return self.release(index, message);
        };
        let to = other_end(*ends, End::Control(index));
        let summary = Summary::of(&message);
        let work = match to {
            End::Ingress(_) => summary.work,
            End::Control(_) => work_of(&message, Peer::Control),
        };
        self.frame.clear();
        let capacity = self.frame.capacity();
        let meter = Meter::start();
        encode(message, &mut self.frame);
        let mut spent = meter.spent();
        spent.heap -= signed(self.frame.capacity()) - signed(capacity);
        let machine = &mut self.control[index];
        machine.cost.charge(work, &spent);
        machine.cost.send(work, self.frame.len());
        match to {
            End::Ingress(ingress) => self.send_to_ingress(index, ingress, &summary),
            End::Control(other) => {
                let arrives = self.now + machine.zone.latency_to(self.control[other].zone);
                let frame = BytesMut::from(&self.frame[..]);
                self.push_input(arrives, other, Input::Frame { session, frame });
            }
        }
    }

    /// The frame that was just encoded reaches an ingress node.
    fn send_to_ingress(&mut self, index: usize, ingress: usize, summary: &Summary) {
        let machine = &mut self.control[index];
        machine.position = summary.position.or(machine.position);
        let arrives = self.now + machine.zone.latency_to(self.ingress[ingress].zone);
        self.record_in_force(ingress, summary.revision, arrives);
        self.ingress[ingress].receive(summary, &self.frame);
    }

    fn record_in_force(&mut self, ingress: usize, revision: Option<Revision>, arrives: Instant) {
        let Some(Change {
            revision: newest,
            sent_at,
        }) = self.newest_change
        else {
            return;
        };
        let is_newest = revision.is_some_and(|revision| revision >= newest);
        if is_newest && self.ingress[ingress].revision < newest {
            let elapsed = linenthread_time::whole_millis(arrives.since(sent_at));
            self.in_force.saturating_record(elapsed);
        }
    }

    fn dial(&mut self, index: usize, address: String) {
        let target = self
            .control
            .iter()
            .position(|machine| machine.address == address && machine.process.is_some());
        let Some(target) = target else {
            let at = self.now + CONNECTION_REFUSED;
            return self.push_input(at, index, Input::Unreachable(address));
        };
        self.release(index, address);
        let session = self.open_session([End::Control(index), End::Control(target)]);
        let at = self.now
            + self.control[index]
                .zone
                .latency_to(self.control[target].zone);
        for end in [index, target] {
            self.push_input(at, end, Input::Opened(session));
        }
    }
}
