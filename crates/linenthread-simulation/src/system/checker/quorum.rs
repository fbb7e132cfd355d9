//! Who is in contact with whom, by what the simulation knows: messages that truly arrived, partitions, pauses and
//! ends of processes.

use std::time::Duration;

use linenthread_consensus::{NodeId, Register};
use linenthread_control::ControlNode;
use linenthread_messages::Voter;

use super::super::event::{Event, NodeIndex};
use super::super::ingress_node::INGRESS_NODES;
use super::super::invariant::Invariant;
use super::super::world::World;

/// Nothing is confirmed by a node that has exchanged no messages with a majority for longer.
pub(in super::super) const QUORUM_TIMEOUT: Duration = Duration::from_millis(3_000);
/// An ingress node has a session elsewhere so long after its control node was partitioned off.
const INGRESS_FAILOVER_TIME: Duration = Duration::from_millis(6_000);
/// How often the sessions of ingress nodes are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

impl World {
    /// [`Invariant::NoResponseWithoutQuorum`]: a response leaves only where, of a majority of the voters by the
    /// node's own newest value, messages have arrived that were sent within the bound, and messages of the node
    /// have arrived there.
    pub(in super::super) fn check_quorum(&mut self, node: usize, response: &str) {
        let since = self.now().saturating_sub(QUORUM_TIMEOUT);
        let machine = &self.machines[node];
        let Some(register) = machine.control.as_ref().map(ControlNode::register) else {
            return;
        };
        let in_contact = |voter: &Voter| machine.contacts.last_exchange(voter.into()) >= since;
        let own = register.id();
        let voters = register.voters();
        let counted = voters
            .iter()
            .filter(|voter| NodeId::from(*voter) == own || in_contact(voter))
            .map(NodeId::from);
        if !register.is_majority(counted) {
            let details = format!(
                "{node}, up for {} ms, in contact with {} of {}, responds {response}",
                self.now().since(machine.started_at).as_millis(),
                voters.iter().filter(|voter| in_contact(voter)).count(),
                voters.len()
            );
            self.violation(Invariant::NoResponseWithoutQuorum, &details);
        }
    }

    /// Whether messages get to and from a majority of the voters, by the newest value of all and by the newest
    /// that the node itself has: a change of the voters that no node in reach knows of leaves it without quorum.
    fn can_reach_quorum(&self, node: usize) -> bool {
        let register = |n: usize| self.machines[n].control.as_ref().map(ControlNode::register);
        let (Some(newest), Some(own)) = (self.history.newest_value(), register(node)) else {
            return false;
        };
        let is_reached = |n: usize| {
            let is_partitioned =
                || self.is_partitioned(NodeIndex::Control(node), NodeIndex::Control(n));
            n == node || self.is_running(n) && !is_partitioned()
        };
        let reached: Vec<NodeId> = (0..self.machines.len())
            .filter(|n| is_reached(*n))
            .filter_map(register)
            .map(Register::id)
            .collect();
        let is_majority = |voters: &[Voter]| {
            let votes = voters
                .iter()
                .filter(|voter| reached.contains(&NodeId::from(*voter)));
            votes.count() * 2 > voters.len()
        };
        self.is_running(node) && is_majority(&newest.voters) && is_majority(own.voters())
    }

    /// [`Invariant::IngressFailsOver`]: an ingress node whose control node is partitioned off has a session
    /// elsewhere, if any can be had.
    pub(in super::super) fn check_ingress_sessions(&mut self) {
        self.push_in(CHECK_INTERVAL, Event::CheckIngressSessions);
        let now = self.now();
        // One that shuts down takes no sessions.
        let takes_sessions: Vec<bool> = self
            .machines
            .iter()
            .enumerate()
            .map(|(node, machine)| {
                self.can_reach_quorum(node) && !machine.decommissioned && machine.shutdown.is_none()
            })
            .collect();
        for index in 0..INGRESS_NODES {
            let is_usable = |node: usize| {
                takes_sessions[node]
                    && !self.is_partitioned(NodeIndex::Ingress(index), NodeIndex::Control(node))
            };
            let is_any_usable = (0..takes_sessions.len()).any(is_usable);
            let ingress = &self.ingress.nodes[index];
            let has_session = ingress.session.is_some() && is_usable(ingress.control);
            let ingress = &mut self.ingress.nodes[index];
            if has_session || !is_any_usable {
                ingress.without_session_since = None;
                continue;
            }
            let since = *ingress.without_session_since.get_or_insert(now);
            if now > since + INGRESS_FAILOVER_TIME {
                ingress.without_session_since = None;
                let details = format!(
                    "ingress node {index} has no session with a node in contact since {since}"
                );
                self.violation(Invariant::IngressFailsOver, &details);
            }
        }
    }
}
