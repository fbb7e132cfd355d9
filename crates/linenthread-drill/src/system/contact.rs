//! Who is in contact with whom, by what the drill knows: words that truly arrived, cuts, pauses and ends.

use linenthread_consensus::Register;
use linenthread_control::ControlNode;
use linenthread_messages::Voter;

use super::fronts::{FRONTS, front_number};
use super::world::{Event, World};

/// Nothing is confirmed by a machine that has exchanged no words with a majority for longer.
pub(super) const CONTACT_BOUND: u64 = 3_000;
/// A front has a session elsewhere so long after its control node was cut off.
const FRONT_LEAVES: u64 = 6_000;
/// How often it is looked at who can reach whom.
const LOOK: u64 = 100;

impl World {
    /// *a-cut-off-node-confirms-nothing*: an answer leaves only where, of more than half of those that count
    /// by its own newest value, words have arrived that were sent within the bound, and they have had words
    /// of ours.
    pub(super) fn judge_contact(&mut self, n: usize, answer: &str) {
        let since = self.now.saturating_sub(CONTACT_BOUND);
        let node = &self.nodes[n];
        let Some(register) = node
            .control
            .as_ref()
            .map(linenthread_control::ControlNode::register)
        else {
            return;
        };
        let recent = |disk: &u64| {
            let sent = |times: &std::collections::BTreeMap<u64, u64>| {
                times.get(disk).copied().unwrap_or(0)
            };
            sent(&node.heard).min(sent(&node.reached)) >= since
        };
        let own = register.id();
        let voters = register.voters().iter().map(|v| v.id);
        if !register.is_majority(voters.filter(|id| *id == own || recent(id))) {
            let heard = register.voters().iter().filter(|v| recent(&v.id)).count();
            let (of, up) = (register.voters().len(), self.now - node.began);
            let what =
                format!("{n}, up for {up} ms, in contact with {heard} of {of}, answers {answer}");
            self.breach(format!("a-cut-off-node-confirms-nothing: {what}"));
        }
    }

    /// Whether words get to and from more than half of those that count, by the newest value of all and by the newest
    /// that the node itself has: a change of the voters that nobody in reach knows of leaves it without contact.
    fn can_reach_majority(&self, n: usize) -> bool {
        let register = |m: usize| self.nodes[m].control.as_ref().map(ControlNode::register);
        let (Some((_, newest)), Some(own)) = (self.values.last_key_value(), register(n)) else {
            return false;
        };
        let reaches = |m: usize| m == n || self.is_running(m) && !self.is_cut_either_way(n, m);
        let reached: Vec<u64> = (0..self.nodes.len())
            .filter(|m| reaches(*m))
            .filter_map(register)
            .map(Register::id)
            .collect();
        let is_most = |voters: &[Voter]| {
            voters
                .iter()
                .filter(|voter| reached.contains(&voter.id))
                .count()
                * 2
                > voters.len()
        };
        self.is_running(n) && is_most(&newest.voters) && is_most(own.voters())
    }

    /// *fronts-leave*: a front whose control node is cut off has a session elsewhere, if any can be had.
    pub(super) fn look_at_fronts(&mut self) {
        self.push(self.now + LOOK, Event::Look);
        let good: Vec<bool> = (0..self.nodes.len())
            .map(|n| self.can_reach_majority(n))
            .collect();
        for f in 0..FRONTS {
            let me = front_number(f);
            // One that leaves has no sessions.
            let stays = |n: usize| !self.nodes[n].removed && self.nodes[n].leaving.is_none();
            let usable = |n: usize| good[n] && stays(n) && !self.is_cut_either_way(me, n);
            let any = (0..good.len()).any(usable);
            let has = self.fronts[f].link.is_some() && usable(self.fronts[f].hub);
            if has || !any {
                self.fronts[f].without_since = None;
                continue;
            }
            let since = *self.fronts[f].without_since.get_or_insert(self.now);
            if self.now > since + FRONT_LEAVES {
                self.fronts[f].without_since = None;
                self.breach(format!(
                    "fronts-leave: front {f} has no session with a node in contact since {since}"
                ));
            }
        }
    }
}
