use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use linenthread_consensus::LeaderLease;
use linenthread_messages::{LeaseRelease, LeaseRequest, LeaseVote};
use linenthread_time::Instant;

use crate::fingerprint::fingerprint;
use crate::search::Model;

const NODES: usize = 3;
/// Nodes 0 and 1 ask for the lease; which they are makes no difference.
const ASKING: usize = 2;
/// Time passes in such steps, on all clocks alike: shorter than a lease, longer than the time to renew it.
const STEP: Duration = Duration::from_millis(700);
/// The number of the value whose voters are asked; it stays the same.
const NUMBER: u64 = 0;

/// What is explored of the leader lease: two nodes may ask at any time, all three vote.
#[derive(Clone, Copy, Debug)]
pub struct LeaseInstance {
    /// So often time passes.
    pub steps: u8,
    /// So often a node asks for the lease or for more time.
    pub requests: u8,
    /// So many nodes start anew.
    pub crashes: u8,
    /// So often a node releases the lease.
    pub releases: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Message {
    Request { epoch: u64, asked: u64, life: u64 },
    Vote { epoch: u64, asked: u64, yes: bool },
    Release { epoch: u64, life: u64 },
}

/// One state of the nodes, their disks and the network.
#[derive(Clone, Debug, Hash)]
pub struct LeaseState {
    now: Instant,
    leases: [LeaderLease; NODES],
    lives: [u64; NODES],
    /// The greatest epoch that each disk holds; it is synced before a vote is said.
    durable_epochs: [u64; NODES],
    /// Receiver, sender, message.
    network: BTreeSet<(usize, usize, Message)>,
    /// Who has held the lease under each epoch: node and life.
    holders: BTreeMap<u64, BTreeSet<(usize, u64)>>,
    budget: [u8; 4],
    started_anew: bool,
    released: bool,
}

/// One thing that may happen next.
#[derive(Clone, Copy, Debug)]
pub enum LeaseAction {
    Deliver(usize),
    PassTime,
    Ask(usize),
    Crash(usize),
    Release(usize),
}

impl LeaseInstance {
    /// The instances that are explored by default, each whole.
    pub fn suite() -> Vec<LeaseInstance> {
        vec![
            LeaseInstance {
                steps: 3,
                requests: 3,
                crashes: 0,
                releases: 0,
            },
            LeaseInstance {
                steps: 1,
                requests: 2,
                crashes: 1,
                releases: 1,
            },
            LeaseInstance {
                steps: 1,
                requests: 3,
                crashes: 0,
                releases: 1,
            },
        ]
    }
}

impl LeaseState {
    fn send_to_others(&mut self, from: usize, message: &Message) {
        let others = (0..NODES).filter(|to| *to != from);
        self.network
            .extend(others.map(|to| (to, from, message.clone())));
    }

    fn ask(&mut self, node: usize) {
        let Some(request) = self.leases[node].tick(self.now, true, NUMBER) else {
            return;
        };
        let LeaseRequest {
            epoch,
            request_id: asked,
            incarnation: life,
            ..
        } = request;
        self.send_to_others(node, &Message::Request { epoch, asked, life });
        let vote = self.vote(node, node, &request);
        self.on_vote(node, node, &vote);
    }

    fn vote(&mut self, voter: usize, from: usize, request: &LeaseRequest) -> LeaseVote {
        let vote =
            self.leases[voter].on_lease_request(self.now, from as u64, request, Some(NUMBER));
        self.durable_epochs[voter] = self.leases[voter].epoch();
        vote
    }

    fn on_vote(&mut self, node: usize, from: usize, vote: &LeaseVote) {
        let is_most = |voters: Vec<u64>| voters.len() * 2 > NODES;
        self.leases[node].on_lease_vote(self.now, from as u64, vote, NUMBER, is_most);
    }

    fn deliver(&mut self, to: usize, from: usize, message: Message) {
        match message {
            Message::Request { epoch, asked, life } => {
                let request = LeaseRequest {
                    epoch,
                    request_id: asked,
                    lease_ms: 2_000,
                    incarnation: life,
                    value_number: NUMBER,
                };
                let LeaseVote {
                    epoch,
                    request_id: asked,
                    granted: yes,
                } = self.vote(to, from, &request);
                self.network
                    .insert((from, to, Message::Vote { epoch, asked, yes }));
            }
            Message::Vote { epoch, asked, yes } => {
                self.on_vote(
                    to,
                    from,
                    &LeaseVote {
                        epoch,
                        request_id: asked,
                        granted: yes,
                    },
                );
            }
            Message::Release { epoch, life } => {
                self.leases[to].on_release(
                    from as u64,
                    &LeaseRelease {
                        epoch,
                        incarnation: life,
                    },
                );
            }
        }
    }

    /// A connection ends with the life at its end: what was on its way to the node, or from it, is gone.
    fn crash(&mut self, node: usize) {
        self.started_anew = true;
        self.lives[node] += 1;
        let (life, epoch) = (
            self.lives[node] * 10 + node as u64,
            self.durable_epochs[node],
        );
        self.leases[node] = LeaderLease::new(node as u64, life, self.now, false, epoch);
        self.network
            .retain(|(to, from, _)| *to != node && *from != node);
    }

    fn release(&mut self, node: usize) {
        let Some(LeaseRelease {
            epoch,
            incarnation: life,
        }) = self.leases[node].release()
        else {
            return;
        };
        self.released = true;
        self.leases[node].on_release(
            node as u64,
            &LeaseRelease {
                epoch,
                incarnation: life,
            },
        );
        self.send_to_others(node, &Message::Release { epoch, life });
    }

    /// Votes for a request that is over count for nothing, now and later.
    fn forget_void_votes(&mut self) {
        let (now, leases) = (self.now, &self.leases);
        self.network.retain(|(to, from, message)| {
            let Message::Vote { epoch, asked, yes } = message else {
                return true;
            };
            let (mut lease, vote) = (
                leases[*to].clone(),
                LeaseVote {
                    epoch: *epoch,
                    request_id: *asked,
                    granted: *yes,
                },
            );
            lease.on_lease_vote(now, *from as u64, &vote, NUMBER, |voters| {
                voters.len() * 2 > NODES
            });
            lease != leases[*to]
        });
    }

    fn holding(&self) -> impl Iterator<Item = (usize, u64)> {
        let held = self.leases.iter().enumerate();
        held.filter_map(|(node, lease)| lease.held_epoch(self.now).map(|epoch| (node, epoch)))
    }

    fn note_holders(&mut self) {
        for (node, epoch) in self.holding().collect::<Vec<_>>() {
            self.holders
                .entry(epoch)
                .or_default()
                .insert((node, self.lives[node]));
        }
    }
}

impl Model for LeaseInstance {
    type State = LeaseState;
    type Action = LeaseAction;

    fn start(&self) -> LeaseState {
        let lease =
            |node: usize| LeaderLease::new(node as u64, 10 + node as u64, Instant::START, true, 0);
        LeaseState {
            now: Instant::START,
            leases: [0, 1, 2].map(lease),
            lives: [1; NODES],
            durable_epochs: [0; NODES],
            network: BTreeSet::new(),
            holders: BTreeMap::new(),
            budget: [self.steps, self.requests, self.crashes, self.releases],
            started_anew: false,
            released: false,
        }
    }

    fn fingerprint(&self, state: &LeaseState) -> u128 {
        fingerprint(state)
    }

    fn actions(&self, state: &LeaseState) -> Vec<LeaseAction> {
        let [steps, requests, crashes, releases] = state.budget;
        let mut actions: Vec<LeaseAction> =
            (0..state.network.len()).map(LeaseAction::Deliver).collect();
        actions.extend((steps > 0).then_some(LeaseAction::PassTime));
        for node in 0..NODES {
            let asks = node < ASKING;
            actions.extend((requests > 0 && asks).then_some(LeaseAction::Ask(node)));
            actions.extend((crashes > 0).then_some(LeaseAction::Crash(node)));
            actions.extend((releases > 0 && asks).then_some(LeaseAction::Release(node)));
        }
        actions
    }

    fn apply(&self, state: &LeaseState, action: LeaseAction) -> LeaseState {
        let mut next = state.clone();
        match action {
            LeaseAction::Deliver(index) => {
                let (to, from, message) = state
                    .network
                    .iter()
                    .nth(index)
                    .expect("it is on its way")
                    .clone();
                next.network.remove(&(to, from, message.clone()));
                next.deliver(to, from, message);
            }
            LeaseAction::PassTime => {
                next.budget[0] -= 1;
                next.now += STEP;
            }
            LeaseAction::Ask(node) => {
                next.budget[1] -= 1;
                next.ask(node);
            }
            LeaseAction::Crash(node) => {
                next.budget[2] -= 1;
                next.crash(node);
            }
            LeaseAction::Release(node) => {
                next.budget[3] -= 1;
                next.release(node);
            }
        }
        next.note_holders();
        next.forget_void_votes();
        next
    }

    fn broken(&self, state: &LeaseState) -> Vec<&'static str> {
        let mut broken = Vec::new();
        if state.holding().count() > 1 {
            broken.push("one-holder-at-a-time");
        }
        if state.holders.values().any(|lives| lives.len() > 1) {
            broken.push("one-holder-an-epoch");
        }
        broken
    }

    fn landmarks(&self, state: &LeaseState) -> Vec<&'static str> {
        let all = [
            ("held", state.holding().next().is_some()),
            ("held by two in turn", state.holders.len() > 1),
            (
                "held after a release",
                state.released && state.holding().next().is_some(),
            ),
            (
                "held after a start",
                state.started_anew && state.holding().next().is_some(),
            ),
        ];
        all.into_iter()
            .filter(|(_, reached)| *reached)
            .map(|(name, _)| name)
            .collect()
    }

    fn describe(&self, state: &LeaseState, action: LeaseAction) -> String {
        match action {
            LeaseAction::Deliver(index) => format!("{:?}", state.network.iter().nth(index)),
            other => format!("at {}: {other:?}", state.now),
        }
    }
}

impl fmt::Display for LeaseInstance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let LeaseInstance {
            steps,
            requests,
            crashes,
            releases,
        } = self;
        write!(
            f,
            "lease: steps {steps}, requests {requests}, crashes {crashes}, releases {releases}"
        )
    }
}
