//! All state of a simulated system, and its nodes, sessions and calls.

use std::collections::HashMap;
use std::time::Duration;

use bytes::BytesMut;
use hdrhistogram::Histogram;
use linenthread_control::{CallId, Effect, SessionId};
use linenthread_time::Instant;
use oorandom::Rand64;

use crate::control::{ControlProcess, Input};
use crate::cost::Cost;
use crate::event_queue::EventQueue;
use crate::ingress::IngressNode;
use crate::messages::{ChangeLogPosition, Peer};
use crate::number::count;
use crate::replica::Replica;
use crate::scale::Scale;
use crate::zones::{ZONES, Zone};

/// Nodes whose addresses the settings of all name.
pub(super) const BOOTSTRAP_NODES: usize = 3;
/// Control nodes of one subnet.
const SUBNET: usize = 200;
/// The longest time that a histogram tells apart.
const MAX_RECORDED: Duration = Duration::from_secs(600);
/// How soon the other end of a session learns of its end.
const CLOSE_DELAY: Duration = Duration::from_millis(1);

/// One end of a session, by its index among its kind.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum End {
    Control(usize),
    Ingress(usize),
}

/// What happens at a moment; numbers are indexes.
pub(super) enum Event {
    StartControl(usize),
    Tick(usize),
    /// Something reaches a control node; lost if its process has ended.
    Input {
        control: usize,
        incarnation: u64,
        input: Input,
    },
    /// An ingress node opens a session.
    IngressJoins {
        ingress: usize,
        state: JoinState,
    },
    IngressHeartbeat {
        ingress: usize,
        session: SessionId,
    },
    ReplicaHeartbeat(usize),
    ReplicaRestart(usize),
    ReplicaDeparts(usize),
    ReplicaReturns(usize),
    /// The operator sends a change, for the first time or again.
    Change(Change),
}

/// What an ingress node has when it joins.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum JoinState {
    /// Nothing: it needs a snapshot.
    Nothing,
    /// All up to where the change log of its control node is now, as one that was there a moment ago.
    UpToDate,
}

/// A change of the configuration by the operator.
#[derive(Clone, Copy)]
pub(super) struct Change {
    pub(super) revision: u64,
    /// When it was sent for the first time.
    pub(super) sent_at: Instant,
}

/// Who waits for the response to a call.
pub(super) enum Caller {
    Replica(usize),
    Operator(Change),
}

/// The machine of a control node.
pub(crate) struct ControlMachine {
    /// The running process.
    pub(crate) process: Option<ControlProcess>,
    pub(super) address: String,
    pub(super) zone: Zone,
    pub(crate) may_vote: bool,
    /// Of the running process; 0 while there is none.
    pub(super) incarnation: u64,
    pub(crate) cost: Cost,
    /// When its timer is due.
    pub(super) timer: Instant,
    /// The last position in its change log that was sent to an ingress node.
    pub(super) position: Option<ChangeLogPosition>,
}

/// A line of what happened.
pub(crate) struct TraceLine {
    pub(crate) at: Instant,
    pub(crate) text: String,
    /// It is an acknowledgement that the operator received.
    pub(crate) is_acknowledgement: bool,
}

/// All state of a simulated system.
pub(crate) struct World {
    pub(super) scale: Scale,
    pub(crate) now: Instant,
    pub(super) events: EventQueue<Event>,
    pub(super) random: Rand64,
    pub(crate) control: Vec<ControlMachine>,
    pub(crate) ingress: Vec<IngressNode>,
    pub(super) replicas: Vec<Replica>,
    /// What all replicas spend together.
    pub(crate) replica_cost: Cost,
    pub(super) sessions: HashMap<SessionId, [End; 2]>,
    pub(super) last_session: u64,
    pub(super) calls: HashMap<CallId, Caller>,
    pub(super) last_call: u64,
    /// Room for the frame that is being sent.
    pub(super) frame: BytesMut,
    /// Room for the effects that are being carried out.
    pub(super) effects: Vec<Effect>,
    /// Milliseconds from the operator's call to its acknowledgement.
    pub(crate) acknowledged: Histogram<u64>,
    /// Milliseconds from the operator's call to its being in force, ingress node by ingress node.
    pub(crate) in_force: Histogram<u64>,
    /// The newest change that was sent.
    pub(super) newest_change: Option<Change>,
    /// What happened, if it is recorded.
    pub(crate) trace: Option<Vec<TraceLine>>,
}

fn histogram() -> Histogram<u64> {
    let max = linenthread_time::whole_millis(MAX_RECORDED);
    Histogram::new_with_max(max, 3).expect("the bounds are good")
}

impl World {
    /// A system of this size, of which nothing has started yet.
    pub(crate) fn new(scale: &Scale) -> World {
        let mut random = Rand64::new(u128::from(scale.seed));
        let control = (0..scale.control).map(|index| ControlMachine {
            process: None,
            address: format!("10.0.{}.{}:8080", index / SUBNET, index % SUBNET + 1),
            zone: Zone::of_machine(index),
            may_vote: index < scale.voters,
            incarnation: 0,
            cost: Cost::default(),
            timer: Instant::NEVER,
            position: None,
        });
        let ingress = (0..scale.ingress_nodes)
            .map(|index| IngressNode::new(index, Zone::of_machine(index), random.rand_u64() | 1))
            .collect();
        let replica = |index| Replica::new(index, Zone::of_machine(index), index % scale.control);
        World {
            now: Instant::START,
            events: EventQueue::default(),
            control: control.collect(),
            ingress,
            replicas: (0..scale.replicas).map(replica).collect(),
            replica_cost: Cost::default(),
            sessions: HashMap::new(),
            last_session: 0,
            calls: HashMap::new(),
            last_call: 0,
            frame: BytesMut::new(),
            effects: Vec::new(),
            acknowledged: histogram(),
            in_force: histogram(),
            newest_change: None,
            trace: None,
            random,
            scale: scale.clone(),
        }
    }

    // --- random numbers ---

    pub(super) fn below(&mut self, bound: u64) -> u64 {
        self.random.rand_range(0..bound.max(1))
    }

    pub(super) fn millis_below(&mut self, bound: Duration) -> Duration {
        Duration::from_millis(self.below(linenthread_time::whole_millis(bound)))
    }

    pub(super) fn index(&mut self, length: usize) -> usize {
        usize::try_from(self.below(count(length))).expect("below a length")
    }

    // --- nodes ---

    /// Any control node that runs.
    pub(super) fn any_control(&mut self) -> usize {
        let running: Vec<usize> = (0..self.control.len())
            .filter(|index| self.control[*index].process.is_some())
            .collect();
        running[self.index(running.len())]
    }

    /// The control node of an ingress node: one of its zone, if there is any, else any; in turn.
    pub(super) fn control_of_ingress(&self, ingress: usize) -> usize {
        let zone = self.ingress[ingress].zone;
        let in_zone: Vec<usize> = (0..self.control.len())
            .filter(|index| self.control[*index].zone == zone)
            .collect();
        match in_zone.len() {
            0 => ingress % self.control.len(),
            length => in_zone[ingress / ZONES % length],
        }
    }

    /// The control node that holds the lease.
    pub(crate) fn leader(&self) -> Option<usize> {
        self.control.iter().position(|machine| {
            let process = machine.process.as_ref();
            process.is_some_and(|process| process.is_leader(self.now))
        })
    }

    // --- input ---

    /// Something reaches the process of a control node that runs now.
    pub(super) fn push_input(&mut self, at: Instant, control: usize, input: Input) {
        let incarnation = self.control[control].incarnation;
        self.events.push(
            at,
            Event::Input {
                control,
                incarnation,
                input,
            },
        );
    }

    pub(super) fn add_call(&mut self, caller: Caller) -> CallId {
        self.last_call += 1;
        let call = CallId(self.last_call);
        self.calls.insert(call, caller);
        call
    }

    // --- sessions ---

    pub(super) fn open_session(&mut self, ends: [End; 2]) -> SessionId {
        self.last_session += 1;
        let session = SessionId(self.last_session);
        self.sessions.insert(session, ends);
        session
    }

    /// One end closes a session; the other learns of it.
    pub(super) fn close_session(&mut self, session: SessionId, by: End) {
        let Some(ends) = self.sessions.remove(&session) else {
            return;
        };
        match other_end(ends, by) {
            End::Control(control) => {
                let at = self.now + CLOSE_DELAY;
                self.push_input(at, control, Input::Closed(session));
            }
            End::Ingress(ingress) => self.ingress[ingress].session = None,
        }
    }

    /// Who is at the other end of a control node's session; one that has ended counts as a control node's.
    pub(super) fn peer_of(&self, session: SessionId) -> Peer {
        let is_ingress = |ends: &[End; 2]| ends.iter().any(|end| matches!(end, End::Ingress(_)));
        if self.sessions.get(&session).is_some_and(is_ingress) {
            Peer::Ingress
        } else {
            Peer::Control
        }
    }
}

/// The end of a session that is not this one.
pub(super) fn other_end(ends: [End; 2], end: End) -> End {
    if ends[0] == end { ends[1] } else { ends[0] }
}

/// The name of a control node.
pub(crate) fn control_name(index: usize) -> String {
    format!("control-{index:02}")
}
