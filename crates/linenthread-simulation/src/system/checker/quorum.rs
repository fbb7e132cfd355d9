//! Checks invariants on contact between nodes, judged by the messages that actually arrived, and by partitions, pauses
//! and ends of processes.

use std::time::Duration;

use linenthread_consensus::{NodeId, Register};
use linenthread_control::ControlNode;
use linenthread_messages::Voter;

use super::super::event::{Event, NodeIndex};
use super::super::ingress_node::INGRESS_NODES;
use super::super::invariant::Invariant;
use super::super::world::World;

/// A node that has not exchanged messages with a majority for longer than this must not confirm anything.
pub(in super::super) const QUORUM_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Maximum time until an ingress node has a session with a usable control node again.
const INGRESS_FAILOVER_TIME: Duration = Duration::from_millis(6_000);
/// Interval at which the sessions of ingress nodes are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

impl World {
    /// Checks [`Invariant::NoResponseWithoutQuorum`]: a node responds only if it has exchanged messages with a majority
    /// of the voters of its own newest value, in both directions, that were sent within [`QUORUM_TIMEOUT`].
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

    /// Reports whether a node can exchange messages with a majority of the voters, both of the newest value and of the
    /// newest value that the node has. A change of the voters that no reachable node knows leaves it without a quorum.
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

    /// Checks [`Invariant::IngressFailsOver`]: an ingress node whose control node is partitioned off opens a session
    /// with another one in time, if there is a usable one.
    pub(in super::super) fn check_ingress_sessions(&mut self) {
        self.push_in(CHECK_INTERVAL, Event::CheckIngressSessions);
        let now = self.now();
        // A node that shuts down accepts no sessions.
        let accepts_sessions: Vec<bool> = self
            .machines
            .iter()
            .enumerate()
            .map(|(node, machine)| {
                self.can_reach_quorum(node) && !machine.decommissioned && machine.shutdown.is_none()
            })
            .collect();
        for index in 0..INGRESS_NODES {
            let is_usable = |node: usize| {
                accepts_sessions[node]
                    && !self.is_partitioned(NodeIndex::Ingress(index), NodeIndex::Control(node))
            };
            let is_any_usable = (0..accepts_sessions.len()).any(is_usable);
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
