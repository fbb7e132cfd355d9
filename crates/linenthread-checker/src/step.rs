use std::collections::VecDeque;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use linenthread_consensus::{Change, DurableState, Effect, JobId, Outcome, Register};
use linenthread_messages::{OrderIdentity, PeerMessage, Record, Value};
use linenthread_time::Instant;

use crate::instance::{Call, Instance, NEW_DISK, voter};
use crate::world::{History, InFlight, Node, Unsynced, World, life};

/// A tick moves the clock past each time-out.
const TICK: Duration = Duration::from_secs(2);

/// One thing that may happen next. Nodes are named by place, messages and calls by their index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    Deliver(u16),
    DeliverAndKeep(u16),
    Make(u8),
    Tick(u8),
    Sync(u8),
    Crash(u8),
    LoseDisk(u8),
}

/// All that may happen in a state.
pub(crate) fn actions(world: &World, instance: &Instance) -> Vec<Action> {
    let mut actions = Vec::new();
    for (index, message) in world.network.iter().enumerate() {
        actions.push(Action::Deliver(index as u16));
        // An answer counts once anyway, by who gave it.
        if world.budget.duplicates > 0 && is_request(&message.message) {
            actions.push(Action::DeliverAndKeep(index as u16));
        }
    }
    let left = (0..instance.calls.len()).filter(|call| world.calls_left & 1 << call != 0);
    actions.extend(left.map(|call| Action::Make(call as u8)));
    for place in 0..world.nodes.len() as u8 {
        if world.budget.ticks > 0 && world.nodes[usize::from(place)].inner.register.is_busy() {
            actions.push(Action::Tick(place));
        }
        if !world.nodes[usize::from(place)].inner.unsynced.is_empty() {
            actions.push(Action::Sync(place));
        }
        if world.budget.crashes > 0 {
            actions.push(Action::Crash(place));
        }
        if world.budget.lost_disks > 0 {
            actions.push(Action::LoseDisk(place));
        }
    }
    actions
}

/// The state after an action.
pub(crate) fn apply(world: &World, instance: &Instance, action: Action) -> World {
    let mut next = Step {
        world: world.clone(),
        instance,
        own: VecDeque::new(),
    };
    let place = match action {
        Action::Deliver(index) => next.deliver(usize::from(index), false),
        Action::DeliverAndKeep(index) => next.deliver(usize::from(index), true),
        Action::Make(call) => next.make(usize::from(call)),
        Action::Tick(place) => next.tick(usize::from(place)),
        Action::Sync(place) => next.sync(usize::from(place)),
        Action::Crash(place) => next.crash(usize::from(place)),
        Action::LoseDisk(place) => next.lose_disk(usize::from(place)),
    };
    Arc::make_mut(&mut next.world.nodes[place]).mark();
    next.forget_void(place);
    next.world
}

fn is_request(message: &PeerMessage) -> bool {
    matches!(message, PeerMessage::Prepare(_) | PeerMessage::Accept(_))
}

struct Step<'a> {
    world: World,
    instance: &'a Instance,
    /// Messages of the node to itself arrive at once.
    own: VecDeque<PeerMessage>,
}

impl Step<'_> {
    fn node(&mut self, place: usize) -> &mut Node {
        &mut Arc::make_mut(&mut self.world.nodes[place]).inner
    }

    fn change_history(&mut self, change: impl FnOnce(&mut History)) {
        let history = Arc::make_mut(&mut self.world.history);
        change(&mut history.inner);
        history.mark();
    }

    fn history(&self) -> &History {
        &self.world.history.inner
    }

    fn deliver(&mut self, index: usize, keep: bool) -> usize {
        let message = if keep {
            self.world.budget.duplicates -= 1;
            self.world.network[index].clone()
        } else {
            self.world.network.remove(index)
        };
        let place = self
            .world
            .place_of(message.to)
            .expect("only such messages are on their way");
        self.on_message(place, message.from, message.message.clone());
        place
    }

    fn on_message(&mut self, place: usize, from: u64, message: PeerMessage) {
        let mut effects = Vec::new();
        let node = self.node(place);
        node.register
            .on_message(node.now, from, message, &mut effects);
        self.carry_out(place, effects);
    }

    fn make(&mut self, call: usize) -> usize {
        let (place, wanted) = self.instance.calls[call];
        self.world.calls_left &= !(1 << call);
        // No call ends by time: that would only leave it unclear.
        let job = JobId(call as u64);
        let change = match wanted {
            Call::Read => None,
            Call::Replace => Some(self.replacement(place)),
            order => order.change(),
        };
        let mut effects = Vec::new();
        let node = self.node(place);
        if let Some(change) = change {
            node.register
                .propose(node.now, job, change, Instant::NEVER, &mut effects);
        } else {
            node.register
                .read(node.now, job, Instant::NEVER, &mut effects);
            let told = self.history().told;
            self.change_history(|history| _ = history.read_floors.insert(job, told));
        }
        self.carry_out(place, effects);
        place
    }

    /// By what this node knows, the new disk counts in place of the lost one.
    fn replacement(&self, place: usize) -> Change {
        let register = &self.world.nodes[place].inner.register;
        let on = register.decided().map_or(0, |value| value.number);
        let lost = self.world.lost_disk.unwrap_or(3);
        let swap = |id| if id == lost { NEW_DISK } else { id };
        Change::Voters {
            base_number: on,
            voters: register
                .voters()
                .iter()
                .map(|v| voter(swap(v.id)))
                .collect(),
            epoch: 1,
        }
    }

    fn tick(&mut self, place: usize) -> usize {
        self.world.budget.ticks -= 1;
        let mut effects = Vec::new();
        let node = self.node(place);
        node.now += TICK;
        node.register.tick(node.now, &mut effects);
        self.carry_out(place, effects);
        place
    }

    fn sync(&mut self, place: usize) -> usize {
        let unsynced = self.node(place).unsynced.remove(0);
        self.synced(place, unsynced.record, unsynced.then);
        self.settle(place);
        place
    }

    fn crash(&mut self, place: usize) -> usize {
        self.world.budget.crashes -= 1;
        let node = self.node(place);
        node.lives += 1;
        node.unsynced.clear();
        node.register = Register::new(node.id, node.disk.clone(), None, life(node.id, node.lives));
        place
    }

    fn lose_disk(&mut self, place: usize) -> usize {
        self.world.budget.lost_disks -= 1;
        self.world.lost_disk = Some(self.world.nodes[place].inner.id);
        let node = self.node(place);
        (node.id, node.lives) = (NEW_DISK, 1);
        node.disk = DurableState::default();
        node.unsynced.clear();
        node.register = Register::new(node.id, DurableState::default(), None, life(node.id, 1));
        let lost = self.world.lost_disk;
        self.world
            .network
            .retain(|message| Some(message.to) != lost);
        place
    }

    fn carry_out(&mut self, place: usize, effects: Vec<Effect>) {
        self.take_effects(place, effects);
        self.settle(place);
    }

    /// Until the node has nothing more to say to itself.
    fn settle(&mut self, place: usize) {
        while let Some(message) = self.own.pop_front() {
            let mut effects = Vec::new();
            let node = self.node(place);
            node.register
                .on_message(node.now, node.id, message, &mut effects);
            self.take_effects(place, effects);
        }
    }

    fn take_effects(&mut self, place: usize, effects: Vec<Effect>) {
        let from = self.world.nodes[place].inner.id;
        for effect in effects {
            match effect {
                Effect::Send { to, message: word } => {
                    self.post(from, InFlight::new(from, to, word));
                }
                Effect::Persist {
                    record,
                    after_sync: then,
                } => self.keep(place, record, then),
                Effect::Decided(value) => self.decided(from, &value),
                Effect::Reply { job, outcome } => self.reply(job, &outcome),
            }
        }
    }

    fn post(&mut self, own: u64, message: InFlight) {
        if message.to == own {
            self.own.push_back(message.message);
        } else if self.world.place_of(message.to).is_some() {
            self.world.send(message);
        }
    }

    fn keep(&mut self, place: usize, record: Record, then: Vec<(u64, PeerMessage)>) {
        let from = self.world.nodes[place].inner.id;
        let then = then
            .into_iter()
            .map(|(to, message)| InFlight::new(from, to, message))
            .collect();
        if self.instance.slow_disks {
            self.node(place).unsynced.push(Unsynced { record, then });
        } else {
            self.synced(place, record, then);
        }
    }

    fn synced(&mut self, place: usize, record: Record, then: Vec<InFlight>) {
        let id = self.world.nodes[place].inner.id;
        if let Some(accepted) = record
            .accepted
            .as_ref()
            .filter(|_| !self.history().decided.contains_key(&record.number))
        {
            let key = (record.number, accepted.ballot);
            self.change_history(|history| {
                _ = history.accepted_by.entry(key).or_default().insert(id);
            });
        }
        self.node(place).disk.add(record);
        then.into_iter().for_each(|message| self.post(id, message));
    }

    /// A node takes a value for decided. The control part tells the others at once.
    fn decided(&mut self, from: u64, value: &Value) {
        let others: Vec<u64> = self
            .world
            .nodes
            .iter()
            .map(|node| node.inner.id)
            .filter(|id| *id != from)
            .collect();
        for to in others {
            self.world
                .send(InFlight::new(from, to, PeerMessage::Decided(value.clone())));
        }
        match self.history().decided.get(&value.number) {
            Some(known) if known == value => {}
            Some(_) => self.change_history(|history| history.two_values = true),
            None => self.change_history(|history| first_decided(history, value)),
        }
    }

    fn reply(&mut self, job: JobId, outcome: &Outcome) {
        let call = self.instance.calls[job.0 as usize].1;
        match (outcome, call.order()) {
            (Outcome::Committed(_), Some((order, _))) => {
                self.change_history(|history| acknowledge(history, order));
            }
            (Outcome::Conflict(_), Some((order, _)))
                if !self.history().refused.contains(&order) =>
            {
                self.change_history(|history| history.refused.push(order));
            }
            (Outcome::Newest(value), _) => {
                self.change_history(|history| answer_read(history, job, value));
            }
            _ => {}
        }
    }

    /// Messages that mean nothing any more, and never will again, are taken off the network.
    fn forget_void(&mut self, place: usize) {
        let World { network, nodes, .. } = &mut self.world;
        let number = |id: u64| {
            let node = nodes.iter().find(|node| node.inner.id == id);
            node.and_then(|node| node.inner.register.decided())
                .map(|value| value.number)
        };
        let acting = &nodes[place].inner;
        network.retain(|message| {
            let to = number(message.to);
            let void = match &message.message {
                // The answer would be a value that the other side has as well.
                PeerMessage::Prepare(request) => {
                    to >= Some(request.number) && number(message.from) >= to
                }
                PeerMessage::Accept(request) => {
                    to >= Some(request.value.number) && number(message.from) >= to
                }
                PeerMessage::Promise(promise) => to >= Some(promise.number),
                PeerMessage::AcceptAck(acknowledgement) => to >= Some(acknowledgement.number),
                PeerMessage::Rejected(rejected) => to >= Some(rejected.number),
                PeerMessage::Decided(value) => to >= Some(value.number),
                _ => false,
            };
            !void && (message.to != acting.id || !is_void_answer(acting, message))
        });
    }
}

/// Whether an answer belongs to a round or question that is over, and does not come again.
fn is_void_answer(node: &Node, message: &InFlight) -> bool {
    let is_answer = matches!(
        message.message,
        PeerMessage::Promise(_)
            | PeerMessage::AcceptAck(_)
            | PeerMessage::Rejected(_)
            | PeerMessage::ReadReply(_)
    );
    if !is_answer {
        return false;
    }
    let (mut register, mut effects) = (node.register.clone(), Vec::new());
    register.on_message(
        node.now,
        message.from,
        message.message.clone(),
        &mut effects,
    );
    effects.is_empty() && register == node.register
}

fn first_decided(history: &mut History, value: &Value) {
    let enough = history
        .decided
        .get(&(value.number - 1))
        .is_some_and(|before| {
            let mut of_number = history
                .accepted_by
                .iter()
                .filter(|((number, _), _)| *number == value.number);
            of_number.any(|(_, disks)| {
                let counted = disks
                    .iter()
                    .filter(|id| before.voters.iter().any(|voter| voter.id == **id));
                counted.count() * 2 > before.voters.len()
            })
        });
    history.too_few |= !enough;
    history
        .accepted_by
        .retain(|(number, _), _| *number != value.number);
    history.decided.insert(value.number, value.clone());
}

fn acknowledge(history: &mut History, order: OrderIdentity) {
    if !history.acknowledged.contains(&order) {
        history.acknowledged.push(order);
        history
            .acknowledged
            .sort_by_key(|order| (order.revision, order.digest));
    }
    let of = history
        .decided
        .iter()
        .find(|(_, value)| value.recent_orders.contains(&order));
    history.told = history.told.max(of.map_or(0, |(number, _)| *number));
}

fn answer_read(history: &mut History, job: JobId, value: &Value) {
    let floor = history.read_floors.remove(&job).unwrap_or(0);
    history.stale_read |= value.number < floor;
    history.told = history.told.max(value.number);
    history.reads += 1;
}

/// An action as a line of a trace.
pub(crate) struct Described<'a>(pub &'a World, pub &'a Instance, pub Action);

impl fmt::Display for Described<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let message = |index: u16| &self.0.network[usize::from(index)];
        match self.2 {
            Action::Deliver(index) | Action::DeliverAndKeep(index) => {
                let message = message(index);
                let twice = if matches!(self.2, Action::Deliver(_)) {
                    ""
                } else {
                    ", it stays on its way"
                };
                write!(
                    f,
                    "disk {} hears of {}{twice}: {:?}",
                    message.to, message.from, message.message
                )
            }
            Action::Make(call) => {
                let (place, call) = self.1.calls[usize::from(call)];
                write!(f, "node {} is called: {call:?}", place + 1)
            }
            Action::Tick(place) => write!(f, "node {} ticks", place + 1),
            Action::Sync(place) => write!(f, "node {} syncs a record", place + 1),
            Action::Crash(place) => write!(f, "node {} starts anew", place + 1),
            Action::LoseDisk(place) => {
                write!(f, "node {} starts anew with an empty disk", place + 1)
            }
        }
    }
}
