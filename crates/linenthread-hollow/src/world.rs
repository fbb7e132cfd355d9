//! The simulated system: nodes, fronts and replicas, links with latencies, and events in order.

use std::collections::HashMap;

use bytes::BytesMut;
use hdrhistogram::Histogram;
use oorandom::Rand64;

use crate::api::{
    self, CallId, DeferredMessage, Effect, Input, Node, NodeSettings, PeerMessage, Record,
    Response, SessionId,
};
use crate::cost::{Cost, Meter, Work, held};
use crate::document::document;
use crate::events::Events;
use crate::front::{Front, Table};
use crate::geography::{latency_ms, zone_name, zone_of};
use crate::replica::{self, Replica};
use crate::report::Measurement;
use crate::scale::Scale;

/// When replicas begin: control has settled by then.
const REPLICAS_AT: u64 = 5_200;
const FIRST_CONFIGURATION_AT: u64 = 5_000;
/// The first front of each node comes alone, the others shortly after it.
const FIRST_FRONTS_AT: u64 = 6_500;
const FRONTS_AT: u64 = 6_800;
const FRONTS_WITHIN: u64 = 400;
pub(crate) const MEASURED_FROM: u64 = 7_600;
/// A storm's snapshots are through, or not, after so long.
const STORM: u64 = 400;
const FRONT_HEARTBEAT: u64 = 500;
const SYNC: u64 = 2;
const REFUSED_AFTER: u64 = 5;
const CALL_AGAIN: u64 = 100;
const DRAIN: u64 = 300;
const RETURN: u64 = 500;
/// Fronts that hold what a front holds, to measure it.
const TABLES: usize = 3;
const OPERATOR_ZONE: usize = 0;

#[derive(Clone, Copy, PartialEq, Eq)]
enum End {
    Node(usize),
    Front(usize),
}

enum Event {
    StartNode(usize),
    Tick(usize),
    Input {
        node: usize,
        life: u64,
        input: Input,
    },
    FrontJoins {
        front: usize,
        fresh: bool,
    },
    FrontHeartbeat {
        front: usize,
        link: SessionId,
    },
    ReplicaHeartbeat(usize),
    ReplicaRestart(usize),
    ReplicaDeparts(usize),
    ReplicaReturns(usize),
    Change {
        revision: u64,
        sent: u64,
    },
}

enum Caller {
    Replica(usize),
    Operator { revision: u64, sent: u64 },
}

pub struct ControlNode {
    pub node: Option<Node>,
    pub address: String,
    pub zone: usize,
    pub votes: bool,
    life: u64,
    pub cost: Cost,
    /// When its timer is due.
    timer: u64,
    /// The last place in its log that a front was told.
    place: Option<(u64, u64)>,
}

pub struct World {
    scale: Scale,
    pub now: u64,
    events: Events<Event>,
    chance: Rand64,
    pub nodes: Vec<ControlNode>,
    pub fronts: Vec<Front>,
    replicas: Vec<Replica>,
    away: Vec<bool>,
    /// What all replicas spend together.
    pub replica_cost: Cost,
    links: HashMap<SessionId, [End; 2]>,
    next_link: SessionId,
    calls: HashMap<CallId, Caller>,
    next_token: CallId,
    scratch: BytesMut,
    out: Vec<Effect>,
    /// From the operator's call to its acknowledgement.
    pub acknowledged: Histogram<u64>,
    /// From the operator's call to its being in force, front by front.
    pub in_force: Histogram<u64>,
    awaited: Option<(u64, u64)>,
    /// What nodes say that happened, if it is kept.
    pub trace: Option<Vec<(u64, String)>>,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(600_000, 3).expect("the bounds are good")
}

impl World {
    pub fn new(scale: &Scale) -> World {
        let mut chance = Rand64::new(u128::from(scale.seed));
        let nodes = (0..scale.control).map(|n| ControlNode {
            node: None,
            address: format!("10.0.{}.{}:8080", n / 200, n % 200 + 1),
            zone: zone_of(n),
            votes: n < scale.voters,
            life: 0,
            cost: Cost::default(),
            timer: u64::MAX,
            place: None,
        });
        let fronts: Vec<Front> = (0..scale.fronts)
            .map(|f| Front::new(f, zone_of(f), chance.rand_u64() | 1))
            .collect();
        let replica = |r| Replica::new(r, zone_of(r), r % scale.control);
        let mut world = World {
            now: 0,
            events: Events::default(),
            nodes: nodes.collect(),
            fronts,
            replicas: (0..scale.replicas).map(replica).collect(),
            away: vec![false; scale.replicas],
            replica_cost: Cost::default(),
            links: HashMap::new(),
            next_link: SessionId(0),
            calls: HashMap::new(),
            next_token: CallId(0),
            scratch: BytesMut::new(),
            out: Vec::new(),
            acknowledged: histogram(),
            in_force: histogram(),
            awaited: None,
            trace: None,
            chance,
            scale: scale.clone(),
        };
        world.schedule_starts();
        world
    }

    fn schedule_starts(&mut self) {
        for node in 0..self.nodes.len() {
            let at = 1 + self.up_to(300);
            self.events.push(at, Event::StartNode(node));
        }
        for replica in 0..self.replicas.len() {
            let at = REPLICAS_AT + self.up_to(self.scale.heartbeat_ms);
            self.events.push(at, Event::ReplicaHeartbeat(replica));
        }
        let change = Event::Change {
            revision: 1,
            sent: FIRST_CONFIGURATION_AT,
        };
        self.events.push(FIRST_CONFIGURATION_AT, change);
        let mut met = vec![false; self.nodes.len()];
        for front in 0..self.fronts.len() {
            let node = self.node_of_front(front);
            let first = !std::mem::replace(&mut met[node], true);
            if front < TABLES {
                self.fronts[front].table = Some(Table::default());
            }
            let fresh = first || front < TABLES;
            let at = if fresh {
                FIRST_FRONTS_AT
            } else {
                FRONTS_AT + self.up_to(FRONTS_WITHIN)
            };
            self.events.push(at, Event::FrontJoins { front, fresh });
        }
    }

    fn up_to(&mut self, bound: u64) -> u64 {
        self.chance.rand_range(0..bound.max(1))
    }

    /// Any node that runs.
    fn any_node(&mut self) -> usize {
        let up: Vec<usize> = (0..self.nodes.len())
            .filter(|n| self.nodes[*n].node.is_some())
            .collect();
        up[self.up_to(up.len() as u64) as usize]
    }

    /// A node of the front's zone, else any: fronts are dealt to them in turn.
    fn node_of_front(&self, front: usize) -> usize {
        let zone = self.fronts[front].zone;
        let same: Vec<usize> = (0..self.nodes.len())
            .filter(|n| self.nodes[*n].zone == zone)
            .collect();
        match same.len() {
            0 => front % self.nodes.len(),
            many => same[front / crate::geography::ZONES % many],
        }
    }

    /// Plays all that happens before this time.
    pub fn run_until(&mut self, end: u64) {
        while let Some((at, event)) = self.events.pop_before(end) {
            self.now = at;
            self.play(event);
        }
        self.now = end;
    }

    fn play(&mut self, event: Event) {
        match event {
            Event::StartNode(node) => self.start_node(node),
            Event::Tick(node) => {
                if self.nodes[node].timer == self.now {
                    self.nodes[node].timer = u64::MAX;
                    self.run_node(node, Input::Tick);
                }
            }
            Event::Input { node, life, input } => {
                if self.nodes[node].life == life {
                    self.run_node(node, input);
                }
            }
            Event::FrontJoins { front, fresh } => self.join(front, fresh),
            Event::FrontHeartbeat { front, link } => self.front_heartbeat(front, link),
            Event::ReplicaHeartbeat(replica) => {
                self.events.push(
                    self.now + self.scale.heartbeat_ms,
                    Event::ReplicaHeartbeat(replica),
                );
                self.replica_heartbeat(replica);
            }
            Event::ReplicaRestart(replica) => {
                self.replicas[replica].draining = true;
                self.replica_heartbeat(replica);
                self.events
                    .push(self.now + DRAIN, Event::ReplicaDeparts(replica));
                self.events
                    .push(self.now + RETURN, Event::ReplicaReturns(replica));
            }
            Event::ReplicaDeparts(replica) => self.replica_departs(replica),
            Event::ReplicaReturns(replica) => {
                self.replicas[replica].restart();
                self.away[replica] = false;
                self.replica_heartbeat(replica);
            }
            Event::Change { revision, sent } => self.change(revision, sent),
        }
    }

    // --- control nodes ---

    fn start_node(&mut self, n: usize) {
        let life = self.chance.rand_u64() | 1;
        let bootstrap = self
            .nodes
            .iter()
            .take(3)
            .map(|node| node.address.clone())
            .collect();
        let slot = &mut self.nodes[n];
        let settings = NodeSettings {
            name: format!("control-{n:02}"),
            zone: zone_name(slot.zone),
            address: slot.address.clone(),
            life,
            votes: slot.votes,
            bootstrap,
            heartbeat_ms: self.scale.heartbeat_ms,
        };
        let meter = Meter::begin();
        let (node, record) = Node::first_start(settings, self.now);
        slot.cost.charge(Work::Timer, &meter.spent());
        (slot.node, slot.life) = (Some(node), life);
        self.keep(n, record, Vec::new());
        self.set_timer(n);
    }

    /// The process of a node ends. Its connections are closed, or hang where nobody says so.
    pub fn kill(&mut self, n: usize, connections_close: bool) {
        (self.nodes[n].node, self.nodes[n].life) = (None, 0);
        let mut links: Vec<SessionId> = self
            .links
            .iter()
            .filter(|(_, ends)| ends.contains(&End::Node(n)))
            .map(|(l, _)| *l)
            .collect();
        links.sort_unstable();
        for link in links {
            if connections_close {
                self.end_link(link, End::Node(n));
            } else {
                self.links.remove(&link);
            }
        }
    }

    fn set_timer(&mut self, n: usize) {
        let slot = &mut self.nodes[n];
        let Some(node) = &slot.node else { return };
        let due = node.due(self.now).max(self.now);
        if due != slot.timer {
            slot.timer = due;
            self.events.push(due, Event::Tick(n));
        }
    }

    /// Works on one input at a node, and carries out what it wants.
    fn run_node(&mut self, n: usize, input: Input) {
        let from_front = matches!(&input, Input::Frame(link, _) if self.is_front_link(*link));
        // What was allocated by others and ends here.
        let (brought, frame) = match &input {
            Input::Frame(_, frame) => (frame.capacity(), Some(frame.len())),
            Input::Beat { ident, body, .. } => (ident.capacity() + body.capacity(), None),
            Input::Departure { ident, .. } => (ident.capacity(), None),
            Input::Replace { document, .. } => (document.capacity(), None),
            _ => (0, None),
        };
        let mut out = std::mem::take(&mut self.out);
        let room = out.capacity();
        let slot = &mut self.nodes[n];
        let Some(node) = slot.node.as_mut() else {
            return;
        };
        let meter = Meter::begin();
        let work = node.handle(self.now, input, from_front, &mut out);
        let mut spent = meter.spent();
        let grown = (out.capacity() - room) * size_of::<Effect>();
        spent.heap += brought as i64 - grown as i64;
        slot.cost.transient = slot.cost.transient.max(spent.heap);
        slot.cost.charge(work, &spent);
        if let Some(bytes) = frame {
            slot.cost.receive(work, bytes);
        }
        for effect in out.drain(..) {
            self.carry_out(n, effect);
        }
        self.out = out;
        self.set_timer(n);
    }

    fn carry_out(&mut self, n: usize, effect: Effect) {
        match effect {
            Effect::Send { session, message } => self.send(n, session, message),
            Effect::Persist { record, after_sync } => self.keep(n, record, after_sync),
            Effect::Respond { call, response } => {
                self.answered(n, call, &response);
                self.release(n, response);
            }
            Effect::Dial(address) => self.dial(n, address),
            Effect::Close(link) => self.end_link(link, End::Node(n)),
            Effect::Log(event) => {
                if let Some(trace) = &mut self.trace {
                    trace.push((self.now, format!("control-{n:02} {event}")));
                }
                self.release(n, event);
            }
        }
    }

    /// Drops what a node had allocated.
    fn release<T>(&mut self, n: usize, value: T) {
        let before = held();
        drop(value);
        self.nodes[n].cost.heap += held() - before;
    }

    fn keep(&mut self, n: usize, record: Record, then: Vec<DeferredMessage>) {
        let slot = &mut self.nodes[n];
        slot.cost.disk_bytes += prost::Message::encoded_len(&record) as u64;
        let event = Event::Input {
            node: n,
            life: slot.life,
            input: Input::Synced(then),
        };
        self.events.push(self.now + SYNC, event);
        self.release(n, record);
    }

    fn is_front_link(&self, link: SessionId) -> bool {
        self.links
            .get(&link)
            .is_some_and(|ends| ends.iter().any(|end| matches!(end, End::Front(_))))
    }

    fn send(&mut self, n: usize, link: SessionId, word: PeerMessage) {
        let Some(ends) = self.links.get(&link) else {
            return self.release(n, word);
        };
        let to = if ends[0] == End::Node(n) {
            ends[1]
        } else {
            ends[0]
        };
        let notice = api::notice(&word);
        let work = match to {
            End::Front(_) => notice.work,
            End::Node(_) => api::work_of(&word, false),
        };
        self.scratch.clear();
        let room = self.scratch.capacity();
        let meter = Meter::begin();
        api::encode(word, &mut self.scratch);
        let mut spent = meter.spent();
        spent.heap -= self.scratch.capacity() as i64 - room as i64;
        let slot = &mut self.nodes[n];
        slot.cost.charge(work, &spent);
        slot.cost.send(work, self.scratch.len());
        match to {
            End::Front(front) => {
                slot.place = notice.place.or(slot.place);
                let arrives = self.now + latency_ms(slot.zone, self.fronts[front].zone);
                self.note_in_force(front, notice.revision, arrives);
                self.fronts[front].hear(&notice, &self.scratch);
            }
            End::Node(other) => {
                let arrives = self.now + latency_ms(slot.zone, self.nodes[other].zone);
                let input = Input::Frame(link, BytesMut::from(&self.scratch[..]));
                let life = self.nodes[other].life;
                self.events.push(
                    arrives,
                    Event::Input {
                        node: other,
                        life,
                        input,
                    },
                );
            }
        }
    }

    fn note_in_force(&mut self, front: usize, revision: Option<u64>, arrives: u64) {
        let Some((awaited, sent)) = self.awaited else {
            return;
        };
        if revision.is_some_and(|r| r >= awaited) && self.fronts[front].revision < awaited {
            self.in_force.saturating_record(arrives - sent);
        }
    }

    fn dial(&mut self, n: usize, address: String) {
        let to = self
            .nodes
            .iter()
            .position(|o| o.address == address && o.node.is_some());
        let life = self.nodes[n].life;
        let Some(to) = to else {
            let event = Event::Input {
                node: n,
                life,
                input: Input::Unreached(address),
            };
            return self.events.push(self.now + REFUSED_AFTER, event);
        };
        self.release(n, address);
        let link = self.open([End::Node(n), End::Node(to)]);
        let at = self.now + latency_ms(self.nodes[n].zone, self.nodes[to].zone);
        for node in [n, to] {
            let life = self.nodes[node].life;
            self.events.push(
                at,
                Event::Input {
                    node,
                    life,
                    input: Input::Opened(link),
                },
            );
        }
    }

    fn open(&mut self, ends: [End; 2]) -> SessionId {
        self.next_link.0 += 1;
        self.links.insert(self.next_link, ends);
        self.next_link
    }

    /// One end is through with a link; the other learns of it.
    fn end_link(&mut self, link: SessionId, by: End) {
        let Some(ends) = self.links.remove(&link) else {
            return;
        };
        let other = if ends[0] == by { ends[1] } else { ends[0] };
        match other {
            End::Node(node) => {
                let event = Event::Input {
                    node,
                    life: self.nodes[node].life,
                    input: Input::Closed(link),
                };
                self.events.push(self.now + 1, event);
            }
            End::Front(front) => self.fronts[front].session = None,
        }
    }

    // --- fronts ---

    /// A front opens a session: with nothing, or as one that was there a moment ago.
    fn join(&mut self, f: usize, fresh: bool) {
        if let Some((link, _)) = self.fronts[f].session.take() {
            self.end_link(link, End::Front(f));
        }
        let n = self.node_of_front(f);
        if self.nodes[n].node.is_none() {
            return;
        }
        let link = self.open([End::Front(f), End::Node(n)]);
        let front = &mut self.fronts[f];
        front.session = Some((link, n));
        if !fresh {
            front.revision = front.revision.max(1);
        }
        let place = if fresh { None } else { self.nodes[n].place };
        let revision = if fresh { 0 } else { front.revision };
        let hello = api::front_hello(
            &front.name,
            &zone_name(front.zone),
            front.life,
            place,
            revision,
        );
        let mut frame = BytesMut::new();
        api::encode(hello, &mut frame);
        front.cost.send(Work::FrontJoins, frame.len());
        let (at, life) = (
            self.now + latency_ms(front.zone, self.nodes[n].zone),
            self.nodes[n].life,
        );
        self.events.push(
            at,
            Event::Input {
                node: n,
                life,
                input: Input::Opened(link),
            },
        );
        self.send_frame(n, at, link, frame.as_ref());
        self.events
            .push(self.now, Event::FrontHeartbeat { front: f, link });
    }

    fn send_frame(&mut self, n: usize, at: u64, link: SessionId, frame: &[u8]) {
        let input = Input::Frame(link, BytesMut::from(frame));
        self.events.push(
            at,
            Event::Input {
                node: n,
                life: self.nodes[n].life,
                input,
            },
        );
    }

    fn front_heartbeat(&mut self, f: usize, link: SessionId) {
        let front = &mut self.fronts[f];
        let Some((_, n)) = front.session.filter(|(own, _)| *own == link) else {
            return;
        };
        let mut frame = BytesMut::with_capacity(64);
        front.heartbeat(&mut frame);
        let at = self.now + latency_ms(front.zone, self.nodes[n].zone);
        self.send_frame(n, at, link, &frame);
        self.events.push(
            self.now + FRONT_HEARTBEAT,
            Event::FrontHeartbeat { front: f, link },
        );
    }

    // --- replicas ---

    fn token(&mut self, caller: Caller) -> CallId {
        self.next_token.0 += 1;
        self.calls.insert(self.next_token, caller);
        self.next_token
    }

    fn replica_heartbeat(&mut self, r: usize) {
        if self.away[r] {
            return;
        }
        if self.nodes[self.replicas[r].node].node.is_none() {
            self.replicas[r].node = self.any_node();
        }
        let replica = &mut self.replicas[r];
        let (node, ident, body) = (replica.node, replica.ident(), replica.body());
        let bytes = replica::call_bytes(&format!("/Replicas.Heartbeat/{ident}"), body.len());
        self.replica_cost.send(Work::ReplicaHeartbeats, bytes);
        self.nodes[node]
            .cost
            .receive(Work::ReplicaHeartbeats, bytes);
        let token = self.token(Caller::Replica(r));
        self.run_node(node, Input::Beat { token, ident, body });
    }

    fn replica_departs(&mut self, r: usize) {
        self.away[r] = true;
        let (node, ident) = (self.replicas[r].node, self.replicas[r].ident());
        let bytes = replica::call_bytes(&format!("/Replicas.Departure/{ident}"), 0);
        self.replica_cost.send(Work::ReplicaHeartbeats, bytes);
        self.nodes[node]
            .cost
            .receive(Work::ReplicaHeartbeats, bytes);
        let token = self.token(Caller::Replica(r));
        self.run_node(node, Input::Departure { token, ident });
    }

    // --- calls ---

    fn change(&mut self, revision: u64, sent: u64) {
        let node = self.any_node();
        let document = document(revision, self.scale.document_bytes);
        if sent == self.now {
            self.awaited = Some((revision, sent));
        }
        self.nodes[node]
            .cost
            .receive(Work::Configuration, document.len());
        let token = self.token(Caller::Operator { revision, sent });
        let input = Input::Replace {
            token,
            base: revision - 1,
            revision,
            document,
        };
        let at = self.now + latency_ms(OPERATOR_ZONE, self.nodes[node].zone);
        self.events.push(
            at,
            Event::Input {
                node,
                life: self.nodes[node].life,
                input,
            },
        );
    }

    /// Sends a change with this revision at this time.
    pub fn change_at(&mut self, at: u64, revision: u64) {
        self.events.push(at, Event::Change { revision, sent: at });
    }

    fn answered(&mut self, n: usize, token: CallId, answer: &Response) {
        match self.calls.remove(&token) {
            Some(Caller::Replica(r)) => self.replica_answered(n, r, answer),
            Some(Caller::Operator { revision, sent }) => {
                let back = latency_ms(OPERATOR_ZONE, self.nodes[n].zone);
                match answer {
                    Response::Committed(_) => {
                        self.acknowledged.saturating_record(self.now + back - sent);
                        if let Some(trace) = &mut self.trace {
                            let line =
                                format!("operator: {revision} is acknowledged by control-{n:02}");
                            trace.push((self.now + back, line));
                        }
                    }
                    _ => self
                        .events
                        .push(self.now + CALL_AGAIN, Event::Change { revision, sent }),
                }
            }
            None => {}
        }
    }

    fn replica_answered(&mut self, n: usize, r: usize, answer: &Response) {
        let address = if let Response::Acknowledged(report_to) = answer {
            report_to.as_deref()
        } else {
            self.replicas[r].node = self.any_node();
            None
        };
        let bytes = replica::answer_bytes(address.unwrap_or(""));
        self.replica_cost.receive(Work::ReplicaHeartbeats, bytes);
        self.nodes[n].cost.send(Work::ReplicaHeartbeats, bytes);
        if let Some(node) = address.and_then(|a| self.nodes.iter().position(|o| o.address == a)) {
            self.replicas[r].node = node;
        }
    }

    // --- measuring ---

    fn reset_costs(&mut self) {
        self.nodes.iter_mut().for_each(|node| node.cost.reset());
        self.fronts.iter_mut().for_each(|front| front.cost.reset());
        self.replica_cost.reset();
        self.acknowledged.reset();
        self.in_force.reset();
    }

    /// Sets the changes and restarts of the measured time.
    fn schedule_events(&mut self) {
        let length = self.scale.seconds * 1_000;
        let spread =
            |nth: usize, many: usize| MEASURED_FROM + length * nth as u64 / many as u64 + 50;
        for nth in 0..self.scale.changes {
            self.change_at(spread(nth, self.scale.changes), nth as u64 + 2);
        }
        for nth in 0..self.scale.restarts {
            let replica = self.up_to(self.replicas.len() as u64) as usize;
            self.events.push(
                spread(nth, self.scale.restarts),
                Event::ReplicaRestart(replica),
            );
        }
    }

    fn storm(&mut self) -> usize {
        let many = self.scale.storm.min(self.fronts.len());
        for front in 0..many {
            self.events
                .push(self.now + 1, Event::FrontJoins { front, fresh: true });
        }
        self.run_until(self.now + STORM);
        many
    }
}

/// Builds a system, lets it come to rest, measures it, and ends with a storm of fronts that have nothing.
pub fn measure(scale: &Scale) -> Measurement {
    let mut world = World::new(scale);
    world.run_until(MEASURED_FROM);
    world.reset_costs();
    world.schedule_events();
    world.run_until(MEASURED_FROM + scale.seconds * 1_000);
    let mut measurement = Measurement::take(scale, &world);
    world.reset_costs();
    let joined = world.storm();
    measurement.add_storm(&world, joined);
    measurement
}
