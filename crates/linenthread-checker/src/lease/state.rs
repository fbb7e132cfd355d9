//! The state of the lease model, and how each action changes it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use linenthread_consensus::{Epoch, Incarnation, LeaderLease, NodeId, ValueNumber};
use linenthread_messages::{LeaseRelease, LeaseReply, LeaseRequest};
use linenthread_time::Instant;

use crate::lease::LeaseScenario;
use crate::lease::action::LeaseAction;
use crate::node_index::{NODE_COUNT, NodeIndex};

/// The nodes that request the lease. Any two nodes would do, because the nodes are symmetric.
const CANDIDATES: [NodeIndex; 2] = [NodeIndex::ALL[0], NodeIndex::ALL[1]];

/// Time by which the clocks advance per step: shorter than the lease, longer than its renewal interval.
const TIME_STEP: Duration = Duration::from_millis(700);

/// Requested lease duration in milliseconds.
const LEASE_MILLIS: u32 = 2_000;

/// Number of the value whose voters grant the lease; it does not change.
const VALUE_NUMBER: ValueNumber = ValueNumber::FIRST;

/// A lease message without the fields that are equal in all messages. It is ordered so that a set of messages has a
/// unique representation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Message {
    Request {
        epoch: u64,
        request_id: u64,
        incarnation: u64,
    },
    Reply {
        epoch: u64,
        request_id: u64,
        granted: bool,
    },
    Release {
        epoch: u64,
        incarnation: u64,
    },
}

impl From<&LeaseRequest> for Message {
    fn from(request: &LeaseRequest) -> Message {
        Message::Request {
            epoch: request.epoch,
            request_id: request.request_id,
            incarnation: request.incarnation,
        }
    }
}

impl From<&LeaseReply> for Message {
    fn from(reply: &LeaseReply) -> Message {
        Message::Reply {
            epoch: reply.epoch,
            request_id: reply.request_id,
            granted: reply.granted,
        }
    }
}

impl From<&LeaseRelease> for Message {
    fn from(release: &LeaseRelease) -> Message {
        Message::Release {
            epoch: release.epoch,
            incarnation: release.incarnation,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct InFlight {
    to: NodeIndex,
    from: NodeIndex,
    message: Message,
}

/// An incarnation of a node that has held the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct HolderIncarnation {
    node: NodeIndex,
    incarnation_count: u64,
}

/// A state of a [`LeaseScenario`].
#[derive(Clone, Debug, Hash)]
pub struct LeaseState {
    now: Instant,
    leases: [LeaderLease; NODE_COUNT],
    incarnation_counts: [u64; NODE_COUNT],
    /// The greatest epoch on the disk of each node. It is synced before a reply is sent.
    durable_epochs: [Epoch; NODE_COUNT],
    network: BTreeSet<InFlight>,
    /// The incarnations that have held the lease, by epoch.
    holders: BTreeMap<Epoch, BTreeSet<HolderIncarnation>>,
    /// The remaining number of events of each kind.
    remaining: LeaseScenario,
    has_restarted: bool,
    was_released: bool,
}

/// Returns an incarnation that is unique across nodes and restarts.
fn incarnation(node: NodeIndex, count: u64) -> Incarnation {
    Incarnation::new(count * 10 + NodeId::from(node).0)
}

fn is_majority(voters: &BTreeSet<NodeId>) -> bool {
    voters.len() * 2 > NODE_COUNT
}

impl LeaseState {
    pub(crate) fn new(scenario: LeaseScenario) -> LeaseState {
        let lease = |node: NodeIndex| {
            LeaderLease::new(incarnation(node, 1), Instant::START, true, Epoch::NONE)
        };
        LeaseState {
            now: Instant::START,
            leases: NodeIndex::ALL.map(lease),
            incarnation_counts: [1; NODE_COUNT],
            durable_epochs: [Epoch::NONE; NODE_COUNT],
            network: BTreeSet::new(),
            holders: BTreeMap::new(),
            remaining: scenario,
            has_restarted: false,
            was_released: false,
        }
    }

    /// Returns the nodes that hold the lease at the current time.
    pub(crate) fn current_holders(&self) -> impl Iterator<Item = NodeIndex> {
        self.current_leases().map(|(node, _)| node)
    }

    /// Returns the nodes that hold the lease at the current time, each with its epoch.
    fn current_leases(&self) -> impl Iterator<Item = (NodeIndex, Epoch)> {
        NodeIndex::ALL.into_iter().filter_map(|node| {
            let epoch = self.leases[node.get()].held_epoch(self.now)?;
            Some((node, epoch))
        })
    }

    /// Returns the number of epochs in which the lease has been held.
    pub(crate) fn held_epochs(&self) -> usize {
        self.holders.len()
    }

    pub(crate) fn has_epoch_with_two_holders(&self) -> bool {
        self.holders.values().any(|holders| holders.len() > 1)
    }

    pub(crate) fn was_released(&self) -> bool {
        self.was_released
    }

    pub(crate) fn has_restarted(&self) -> bool {
        self.has_restarted
    }

    /// Returns all enabled actions, in a fixed order.
    pub(crate) fn enabled_actions(&self) -> Vec<LeaseAction> {
        let LeaseScenario {
            steps,
            requests,
            crashes,
            releases,
        } = self.remaining;
        let deliveries = (0..self.network.len()).map(LeaseAction::Deliver);
        let mut actions: Vec<LeaseAction> = deliveries.collect();
        actions.extend((steps > 0).then_some(LeaseAction::AdvanceTime));
        for node in NodeIndex::ALL {
            let is_candidate = CANDIDATES.contains(&node);
            let all = [
                (requests > 0 && is_candidate, LeaseAction::Request(node)),
                (crashes > 0, LeaseAction::Crash(node)),
                (releases > 0 && is_candidate, LeaseAction::Release(node)),
            ];
            let enabled = all.into_iter().filter(|(is_enabled, _)| *is_enabled);
            actions.extend(enabled.map(|(_, action)| action));
        }
        actions
    }

    /// Applies an enabled action.
    pub(crate) fn apply(&mut self, action: LeaseAction) {
        match action {
            LeaseAction::Deliver(index) => self.deliver(index),
            LeaseAction::AdvanceTime => {
                self.remaining.steps -= 1;
                self.now += TIME_STEP;
            }
            LeaseAction::Request(node) => {
                self.remaining.requests -= 1;
                self.request(node);
            }
            LeaseAction::Crash(node) => {
                self.remaining.crashes -= 1;
                self.crash(node);
            }
            LeaseAction::Release(node) => {
                self.remaining.releases -= 1;
                self.release(node);
            }
        }
        self.record_holders();
        self.discard_ineffective_replies();
    }

    fn request(&mut self, node: NodeIndex) {
        let Some(request) = self.leases[node.get()].tick(self.now, true, VALUE_NUMBER) else {
            return;
        };
        self.send_to_others(node, &Message::from(&request));
        let reply = self.reply(node, node, &request);
        self.on_reply(node, node, &reply);
    }

    fn reply(&mut self, voter: NodeIndex, from: NodeIndex, request: &LeaseRequest) -> LeaseReply {
        let lease = &mut self.leases[voter.get()];
        let reply = lease.on_lease_request(self.now, from.into(), request, Some(VALUE_NUMBER));
        self.durable_epochs[voter.get()] = lease.epoch();
        reply
    }

    fn on_reply(&mut self, node: NodeIndex, from: NodeIndex, reply: &LeaseReply) {
        let lease = &mut self.leases[node.get()];
        lease.on_lease_reply(self.now, from.into(), reply, VALUE_NUMBER, is_majority);
    }

    fn send_to_others(&mut self, from: NodeIndex, message: &Message) {
        let others = NodeIndex::ALL.into_iter().filter(|to| *to != from);
        self.network.extend(others.map(|to| InFlight {
            to,
            from,
            message: message.clone(),
        }));
    }

    fn deliver(&mut self, index: usize) {
        let in_flight = self.network.iter().nth(index);
        let InFlight { to, from, message } =
            in_flight.expect("the index of a message in flight").clone();
        self.network.remove(&InFlight {
            to,
            from,
            message: message.clone(),
        });
        match message {
            Message::Request {
                epoch,
                request_id,
                incarnation,
            } => {
                let request = LeaseRequest {
                    epoch,
                    request_id,
                    lease_ms: LEASE_MILLIS,
                    incarnation,
                    value_number: VALUE_NUMBER.get(),
                };
                self.on_request(to, from, &request);
            }
            Message::Reply {
                epoch,
                request_id,
                granted,
            } => {
                let reply = LeaseReply {
                    epoch,
                    request_id,
                    granted,
                };
                self.on_reply(to, from, &reply);
            }
            Message::Release { epoch, incarnation } => {
                let release = LeaseRelease { epoch, incarnation };
                self.leases[to.get()].on_release(from.into(), &release);
            }
        }
    }

    fn on_request(&mut self, voter: NodeIndex, from: NodeIndex, request: &LeaseRequest) {
        let reply = self.reply(voter, from, request);
        self.network.insert(InFlight {
            to: from,
            from: voter,
            message: Message::from(&reply),
        });
    }

    /// Restarts a node. Its connections break, so messages in flight to or from the node are lost.
    fn crash(&mut self, node: NodeIndex) {
        self.has_restarted = true;
        let count = &mut self.incarnation_counts[node.get()];
        *count += 1;
        self.leases[node.get()] = LeaderLease::new(
            incarnation(node, *count),
            self.now,
            false,
            self.durable_epochs[node.get()],
        );
        self.network
            .retain(|in_flight| in_flight.to != node && in_flight.from != node);
    }

    fn release(&mut self, node: NodeIndex) {
        let lease = &mut self.leases[node.get()];
        let Some(release) = lease.release() else {
            return;
        };
        self.was_released = true;
        lease.on_release(node.into(), &release);
        self.send_to_others(node, &Message::from(&release));
    }

    fn record_holders(&mut self) {
        for (node, epoch) in self.current_leases().collect::<Vec<_>>() {
            self.holders
                .entry(epoch)
                .or_default()
                .insert(HolderIncarnation {
                    node,
                    incarnation_count: self.incarnation_counts[node.get()],
                });
        }
    }

    /// Removes replies to requests that are no longer pending. They have no effect now or later, so states that differ
    /// only in such replies are merged.
    fn discard_ineffective_replies(&mut self) {
        let (now, leases) = (self.now, &self.leases);
        self.network.retain(|in_flight| {
            let Message::Reply {
                epoch,
                request_id,
                granted,
            } = in_flight.message
            else {
                return true;
            };
            let reply = LeaseReply {
                epoch,
                request_id,
                granted,
            };
            let receiver = &leases[in_flight.to.get()];
            let mut after = receiver.clone();
            after.on_lease_reply(
                now,
                in_flight.from.into(),
                &reply,
                VALUE_NUMBER,
                is_majority,
            );
            after != *receiver
        });
    }

    /// Formats an action as a line of a trace.
    pub(crate) fn describe(&self, action: LeaseAction) -> String {
        match action {
            LeaseAction::Deliver(index) => match self.network.iter().nth(index) {
                Some(InFlight { to, from, message }) => {
                    format!("node {to} receives from {from}: {message:?}")
                }
                None => format!("no message {index}"),
            },
            LeaseAction::AdvanceTime => format!("{} ms pass", TIME_STEP.as_millis()),
            LeaseAction::Request(node) => format!("node {node} requests the lease"),
            LeaseAction::Crash(node) => format!("node {node} restarts"),
            LeaseAction::Release(node) => format!("node {node} releases the lease"),
        }
    }
}
