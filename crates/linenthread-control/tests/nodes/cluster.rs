//! A simulated cluster of control nodes on one simulated clock. Messages take 1 ms, a crash loses the records that the
//! disk has not synced, connections can be blocked in one direction, and nodes can be paused.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use linenthread_consensus::{DurableState, NodeId};
use linenthread_control::{
    AfterSync, CallId, ControlEvent, ControlNode, Effect, Incarnation, NodeConfig, Order,
    PlatformCall, PlatformCallId, PlatformOutcome, Response, Revision, SessionId, UsageConfig,
};
use linenthread_messages::{PeerMessage, Record, Value, Voter};
use linenthread_time::{Instant, WallTime};

use crate::platform::Platform;

/// The step by which the simulated clock advances.
const STEP: Duration = ms(5);

/// Latency of messages, connection events and platform calls.
const LATENCY: Duration = ms(1);

/// When the cluster starts for the first time, with the genesis value.
const FIRST_START: Instant = Instant::from_millis(10_000);

/// The time of day at time 0 of the simulated clock. It is the start of a window of 1 s, 2 s or 5 s.
const WALL_START_MS: u64 = 1_700_000_000_000;

pub(crate) const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns the response to an order that was committed with this revision.
pub(crate) fn committed(revision: u64) -> Response {
    Response::Committed(Revision::new(revision))
}

enum Event {
    Opened {
        session: SessionId,
    },
    Message {
        session: SessionId,
        message: PeerMessage,
    },
    Closed {
        session: SessionId,
    },
    DialFailed {
        address: String,
    },
    Synced {
        incarnation: Incarnation,
        count: usize,
        after_sync: Vec<AfterSync>,
    },
    PlatformCallEnded {
        incarnation: Incarnation,
        call: PlatformCallId,
        outcome: PlatformOutcome,
    },
}

#[derive(Default)]
pub(crate) struct Node {
    pub control: Option<ControlNode>,
    address: String,
    incarnation: Incarnation,
    disk: Vec<Record>,
    unsynced: Vec<Record>,
    /// The actions to perform after the sync of each unsynced record that the current sync does not include.
    pending_after_sync: Vec<Vec<AfterSync>>,
    /// The disk syncs one group of records at a time, like the daemon's disk writer thread.
    is_syncing: bool,
    pub sync_time: Duration,
    pub paused: bool,
    /// Events that arrived while the node was paused.
    backlog: Vec<Event>,
    pub responses: BTreeMap<CallId, Response>,
    /// How far the node's wall clock is ahead of the true time, in milliseconds.
    pub clock_error_ms: i64,
    pub events: Vec<ControlEvent>,
}

pub(crate) struct Cluster {
    pub now: Instant,
    pub nodes: Vec<Node>,
    genesis: Value,
    connections: BTreeMap<SessionId, (usize, usize)>,
    events: BTreeMap<(Instant, u64), (usize, Event)>,
    /// Blocked directions, as (sender, receiver): messages in a blocked direction are lost, and neither of its nodes can
    /// dial the other.
    pub blocked: BTreeSet<(usize, usize)>,
    last_number: u64,
    /// Equals the initial number of voters, so that the set of voters never shrinks.
    min_voters: usize,
    /// Configuration of usage reports for nodes that start from now on.
    pub usage: Option<UsageConfig>,
    pub platform: Platform,
}

pub(crate) fn address(n: usize) -> String {
    format!("10.0.0.{n}:80")
}

impl Cluster {
    /// Creates a cluster of `nodes` nodes. The first `voters` of them are voters; they are started and given 4 s to find
    /// each other. The others are not started.
    pub(crate) fn new(nodes: usize, voters: usize) -> Cluster {
        Cluster::with_usage(nodes, voters, None)
    }

    /// Like [`Cluster::new`], with usage reports if `usage` is set.
    pub(crate) fn with_usage(nodes: usize, voters: usize, usage: Option<UsageConfig>) -> Cluster {
        let voter = |n: usize| Voter {
            id: NodeId::genesis(&address(n)).0,
            address: address(n),
        };
        let genesis = Value {
            voters: (0..voters).map(voter).collect(),
            ..Value::default()
        };
        let mut cluster = Cluster {
            now: FIRST_START,
            nodes: Vec::new(),
            genesis,
            connections: BTreeMap::new(),
            events: BTreeMap::new(),
            blocked: BTreeSet::new(),
            last_number: 0,
            min_voters: voters,
            usage,
            platform: Platform::default(),
        };
        for n in 0..nodes {
            cluster.nodes.push(Node {
                address: address(n),
                sync_time: ms(2),
                ..Node::default()
            });
        }
        (0..voters).for_each(|n| cluster.start(n));
        cluster.run(ms(4_000));
        cluster
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    pub(crate) fn control(&self, n: usize) -> &ControlNode {
        self.nodes[n].control.as_ref().expect("the node is running")
    }

    /// Returns the state on a node's disk: that of the synced records.
    pub(crate) fn disk_state(&self, n: usize) -> DurableState {
        let mut state = DurableState::default();
        self.nodes[n]
            .disk
            .iter()
            .for_each(|record| state.add(record.clone()));
        state
    }

    /// Starts a node from the synced records on its disk.
    pub(crate) fn start(&mut self, n: usize) {
        let incarnation = Incarnation::new(self.next_number() * 1_000 + 1);
        let state = self.disk_state(n);
        let is_first_start = state.id.is_none() && self.now == FIRST_START;
        let id = state.id.unwrap_or(if is_first_start {
            NodeId::genesis(&address(n))
        } else {
            NodeId(incarnation.get())
        });
        let genesis = is_first_start.then(|| self.genesis.clone());
        let config = NodeConfig {
            name: format!("node-{n}"),
            zone: "z".into(),
            incarnation,
            control_address: address(n),
            voter_eligible: true,
            min_voters: self.min_voters,
            heartbeat_interval: ms(1_000),
            bootstrap: (0..3).map(address).collect(),
            is_genesis: is_first_start,
            retry_allowance: 10.0,
            retry_window: ms(10_000),
            usage: self.usage.clone(),
        };
        let disk_is_empty = state.id.is_none();
        let control = ControlNode::new(config, id, state, genesis.clone(), self.now);
        let node = &mut self.nodes[n];
        (node.control, node.incarnation, node.paused) = (Some(control), incarnation, false);
        if disk_is_empty {
            node.disk.push(Record {
                id: Some(id.0),
                decided: genesis,
                ..Record::default()
            });
        }
    }

    /// Crashes a node. Records that its disk has not synced are lost.
    pub(crate) fn crash(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        (node.control, node.incarnation) = (None, Incarnation::default());
        node.unsynced.clear();
        node.pending_after_sync.clear();
        node.is_syncing = false;
        node.backlog.clear();
        let sessions: Vec<SessionId> = self
            .connections
            .iter()
            .filter(|(_, ends)| ends.0 == n || ends.1 == n)
            .map(|(session, _)| *session)
            .collect();
        for session in sessions {
            self.disconnect(session, n);
        }
    }

    /// Crashes a node and erases its disk.
    pub(crate) fn wipe(&mut self, n: usize) {
        self.crash(n);
        self.nodes[n].disk.clear();
    }

    fn schedule(&mut self, after: Duration, to: usize, event: Event) {
        let key = (self.now + after, self.next_number());
        self.events.insert(key, (to, event));
    }

    fn disconnect(&mut self, session: SessionId, by: usize) {
        let Some((a, b)) = self.connections.remove(&session) else {
            return;
        };
        self.schedule(
            LATENCY,
            if a == by { b } else { a },
            Event::Closed { session },
        );
    }

    /// Runs an operation on a node and performs its effects. Does nothing if the node is down.
    pub(crate) fn run_on(
        &mut self,
        n: usize,
        operation: impl FnOnce(&mut ControlNode, Instant, &mut Vec<Effect>),
    ) {
        let now = self.now;
        let mut effects = Vec::new();
        let wall_time = self
            .true_time()
            .as_millis()
            .saturating_add_signed(self.nodes[n].clock_error_ms);
        let Some(control) = self.nodes[n].control.as_mut() else {
            return;
        };
        control.observe_wall_clock(now, WallTime::from_millis(wall_time));
        operation(control, now, &mut effects);
        for effect in effects {
            self.perform(n, effect);
        }
    }

    fn perform(&mut self, n: usize, effect: Effect) {
        match effect {
            Effect::Send { session, message } => {
                let Some(&(a, b)) = self.connections.get(&session) else {
                    return;
                };
                let to = if a == n { b } else { a };
                if !self.blocked.contains(&(n, to)) {
                    self.schedule(LATENCY, to, Event::Message { session, message });
                }
            }
            Effect::Persist { record, after_sync } => {
                let node = &mut self.nodes[n];
                node.unsynced.push(record);
                node.pending_after_sync.push(after_sync);
                if !node.is_syncing {
                    self.begin_sync(n);
                }
            }
            Effect::Respond { call, response } => {
                self.nodes[n].responses.insert(call, response);
            }
            Effect::Dial(to) => {
                let other = self
                    .nodes
                    .iter()
                    .position(|o| o.address == to && o.control.is_some());
                match other
                    .filter(|&o| !self.blocked.contains(&(n, o)) && !self.blocked.contains(&(o, n)))
                {
                    Some(other) => {
                        let session = SessionId(self.next_number());
                        self.connections.insert(session, (n, other));
                        self.schedule(LATENCY, n, Event::Opened { session });
                        self.schedule(LATENCY, other, Event::Opened { session });
                    }
                    None => self.schedule(LATENCY, n, Event::DialFailed { address: to }),
                }
            }
            Effect::Close(session) => self.disconnect(session, n),
            Effect::CallPlatform(call) => self.call_platform(n, &call),
            Effect::Log(event) => self.nodes[n].events.push(event),
        }
    }

    /// Starts the sync of all waiting records as one group.
    fn begin_sync(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        node.is_syncing = !node.pending_after_sync.is_empty();
        if !node.is_syncing {
            return;
        }
        let group = std::mem::take(&mut node.pending_after_sync);
        let (sync_time, synced) = (
            node.sync_time,
            Event::Synced {
                incarnation: node.incarnation,
                count: group.len(),
                after_sync: group.into_iter().flatten().collect(),
            },
        );
        self.schedule(sync_time, n, synced);
    }

    fn call_platform(&mut self, n: usize, call: &PlatformCall) {
        let outcome = self.platform.receive(self.now, n, call);
        let event = Event::PlatformCallEnded {
            incarnation: self.nodes[n].incarnation,
            call: call.id,
            outcome,
        };
        self.schedule(LATENCY, n, event);
    }

    /// Returns the true time of day, by which windows are counted.
    pub(crate) fn true_time(&self) -> WallTime {
        WallTime::from_millis(WALL_START_MS + self.now.as_millis())
    }

    fn deliver(&mut self, to: usize, event: Event) {
        if self.nodes[to].paused {
            self.nodes[to].backlog.push(event);
            return;
        }
        match event {
            Event::Opened { session } if self.connections.contains_key(&session) => {
                self.run_on(to, |c, _, effects| c.on_session_opened(session, effects));
            }
            Event::Message { session, message } if self.connections.contains_key(&session) => {
                self.run_on(to, |c, now, effects| {
                    c.on_message(now, session, message, effects);
                });
            }
            Event::Closed { session } => self.run_on(to, |c, now, effects| {
                c.on_session_closed(now, session, effects);
            }),
            Event::DialFailed { address } => {
                self.run_on(to, |c, now, _| c.on_dial_failed(now, &address));
            }
            Event::Synced {
                incarnation,
                count,
                after_sync,
            } if self.nodes[to].incarnation == incarnation => {
                let synced: Vec<Record> = self.nodes[to].unsynced.drain(..count).collect();
                self.nodes[to].disk.extend(synced);
                self.begin_sync(to);
                self.run_on(to, |c, now, effects| c.on_synced(now, after_sync, effects));
            }
            Event::PlatformCallEnded {
                incarnation,
                call,
                outcome,
            } if self.nodes[to].incarnation == incarnation => {
                self.run_on(to, |c, now, effects| {
                    c.on_platform_outcome(now, call, outcome, effects);
                });
            }
            _ => {}
        }
    }

    /// Resumes a paused node: runs `before` on it, then delivers the events that were queued during the pause.
    pub(crate) fn resume(
        &mut self,
        n: usize,
        before: impl FnOnce(&mut ControlNode, Instant, &mut Vec<Effect>),
    ) {
        self.nodes[n].paused = false;
        self.run_on(n, before);
        for event in std::mem::take(&mut self.nodes[n].backlog) {
            self.deliver(n, event);
        }
    }

    pub(crate) fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now += STEP;
            while let Some((key, _)) = self
                .events
                .first_key_value()
                .filter(|(key, _)| key.0 <= self.now)
            {
                let key = *key;
                let (to, event) = self.events.remove(&key).expect("the first event");
                self.deliver(to, event);
            }
            for n in 0..self.nodes.len() {
                let now = self.now;
                let due = self.nodes[n]
                    .control
                    .as_ref()
                    .is_some_and(|c| now >= c.next_tick_at(now));
                if due && !self.nodes[n].paused {
                    self.run_on(n, linenthread_control::ControlNode::tick);
                }
            }
        }
    }

    /// Runs until `condition` is true, at most for `timeout`. Returns whether it became true.
    pub(crate) fn run_until(
        &mut self,
        timeout: Duration,
        condition: impl Fn(&Cluster) -> bool,
    ) -> bool {
        let end = self.now + timeout;
        while self.now < end && !condition(self) {
            self.run(STEP);
        }
        condition(self)
    }

    /// Sends an order to a node, and returns the id of the call.
    pub(crate) fn order(&mut self, n: usize, base: u64, revision: u64) -> CallId {
        let call = CallId(self.next_number());
        let order = Order {
            base: Revision::new(base),
            revision: Revision::new(revision),
            document: format!("document {revision}").into_bytes(),
        };
        self.run_on(n, |c, now, effects| {
            c.replace_configuration(now, call, order, effects);
        });
        call
    }

    /// Sends an order to the nodes in turn until one responds that it is committed or conflicts, at most for `timeout`.
    /// Returns that response, or `None` on a time-out.
    pub(crate) fn order_until_committed(
        &mut self,
        timeout: Duration,
        base: u64,
        revision: u64,
    ) -> Option<Response> {
        let end = self.now + timeout;
        let mut n = 0;
        while self.now < end {
            n = (n + 1) % self.nodes.len();
            if self.nodes[n].control.is_none() {
                continue;
            }
            let call = self.order(n, base, revision);
            self.run_until(ms(1_000), |c| c.nodes[n].responses.contains_key(&call));
            match self.nodes[n].responses.get(&call) {
                Some(response @ (Response::Committed(_) | Response::Conflict(_))) => {
                    return Some(response.clone());
                }
                _ => self.run(ms(20)),
            }
        }
        None
    }

    pub(crate) fn leader(&self) -> Option<usize> {
        let leads = |n: &Node| {
            n.control
                .as_ref()
                .is_some_and(|c| c.lease_epoch(self.now).is_some())
        };
        self.nodes.iter().position(leads)
    }

    /// Returns the addresses of the voters as this node knows them.
    pub(crate) fn voters(&self, n: usize) -> Vec<String> {
        self.control(n)
            .register()
            .voters()
            .iter()
            .map(|v| v.address.clone())
            .collect()
    }

    pub(crate) fn may_exit(&self, n: usize) -> bool {
        self.nodes[n]
            .control
            .as_ref()
            .is_some_and(|c| c.may_exit(self.now))
    }
}
