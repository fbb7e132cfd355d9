//! Troubles drawn by chance, and the budget of losses that they stay within.

use super::fronts::{FRONTS, Front, hub_of_front};
use super::machines::Node;
use super::world::{Event, World};
use linenthread_messages::Record;

impl World {
    /// How many that count are lost now, or came back just now.
    pub(super) fn lost(&self) -> usize {
        let now = self.now;
        let lost = |n: &Node| !n.removed && (n.control.is_none() || n.frozen > now || n.lost_until > now);
        self.nodes.iter().filter(|n| lost(n)).count()
    }

    /// Each machine that is there counts, by its disk's name, and more than half have that on disk: the budget
    /// holds from then on.
    pub(super) fn all_count(&self) -> bool {
        let Some((_, newest)) = self.values.last_key_value() else { return false };
        let live = || self.nodes.iter().filter(|n| !n.removed);
        let ids: Vec<Option<u64>> = live().map(|n| n.disk.iter().find_map(|r| r.id)).collect();
        let has = |r: &Record| r.decided.as_ref().is_some_and(|d| d.voters == newest.voters);
        let have = live().filter(|n| n.disk.iter().any(has)).count();
        newest.voters.len() == ids.len()
            && newest.voters.iter().all(|v| ids.contains(&Some(v.id)))
            && have * 2 > ids.len()
    }

    pub(super) fn trouble(&mut self) {
        if self.calm {
            return;
        }
        let wait = 300 + self.up_to(4_000);
        self.push(self.now + wait, Event::Trouble);
        let n = self.up_to(self.nodes.len() as u64) as usize;
        let now = self.now;
        match self.up_to(13) {
            0 | 1 if self.nodes[n].control.is_some() => {
                let back = 50 + self.up_to(3_500);
                self.crash(n, Some(back));
            }
            // An empty disk, at the old address or at a new one: only as many as may be lost together.
            2..=4 if self.nodes[n].control.is_some() && self.lost() < self.budget && self.all_count() => {
                let back = 200 + self.up_to(2_000);
                let elsewhere = self.up_to(2) == 0;
                self.crash(n, if elsewhere { None } else { Some(back) });
                let node = &mut self.nodes[n];
                (node.disk, node.synced, node.initial) = (Vec::new(), 0, false);
                node.wiped_until = now + back + 4_000;
                if elsewhere {
                    node.removed = true;
                    let address = format!("10.0.1.{}:80", self.nodes.len() + 1);
                    self.add_node(address, false);
                    let new = self.nodes.len() - 1;
                    self.nodes[new].lost_until = now + back + 4_000;
                    self.push(now + back, Event::Start { node: new });
                }
            }
            5 => {
                for n in 0..self.nodes.len() {
                    if self.nodes[n].control.is_some() {
                        let back = 100 + self.up_to(800);
                        self.crash(n, Some(back));
                    }
                }
            }
            6 | 7 => {
                // One is cut off from the others, or from one; both ways or one.
                let (both, all) = (self.up_to(3) > 0, self.up_to(2) == 0);
                let other = self.up_to(self.nodes.len() as u64) as usize;
                let heal = 300 + self.up_to(6_000);
                for o in (0..self.nodes.len()).filter(|&o| o != n && (all || o == other)).collect::<Vec<_>>()
                {
                    self.cuts.insert((n, o));
                    if both {
                        self.cuts.insert((o, n));
                    }
                    self.push(now + heal, Event::Heal { a: n, b: o });
                    let node = &mut self.nodes[o];
                    node.lost_until = node.lost_until.max(now + heal + 4_000);
                }
                self.nodes[n].lost_until = self.nodes[n].lost_until.max(now + heal + 4_000);
            }
            8 => {
                let f = hub_of_front(self.up_to(FRONTS as u64) as usize);
                let heal = 300 + self.up_to(9_000);
                self.cuts.extend([(f, n), (n, f)]);
                self.push(now + heal, Event::Heal { a: f, b: n });
            }
            9 => {
                let wakes = now + 300 + self.up_to(7_000);
                let node = &mut self.nodes[n];
                (node.frozen, node.lost_until) = (wakes, node.lost_until.max(wakes + 4_000));
            }
            10 => {
                let ends = now + 500 + self.up_to(6_000);
                let ms = [120, 900, 4_000][self.up_to(3) as usize];
                let node = &mut self.nodes[n];
                (node.sync_ms, node.lost_until) = (ms, node.lost_until.max(ends + 4_000 + ms));
                self.push(ends, Event::Disk { node: n });
            }
            11 => {
                let f = self.up_to(FRONTS as u64) as usize;
                let life = self.chance.rand_u64();
                let old = std::mem::replace(&mut self.fronts[f], Front::new(life));
                self.past.push(old.held.iter().map(|h| (h.0, h.1.min(now))).collect());
                if let Some(link) = old.link {
                    self.end_link(link, hub_of_front(f));
                }
            }
            _ => {}
        }
    }

    /// Slow disks and ways are no loss: those that have not yet heard of what was acknowledged are there.
    pub(super) fn wipe_after_ack(&mut self, n: usize) {
        if self.calm || self.nodes[n].control.is_none() || !self.all_count() {
            return;
        }
        let gone = |n: &Node| !n.removed && (n.control.is_none() || n.wiped_until > self.now);
        if self.nodes.iter().filter(|n| gone(n)).count() >= self.budget {
            return;
        }
        let others: Vec<usize> =
            (0..self.nodes.len()).filter(|&o| o != n && self.nodes[o].control.is_some()).collect();
        let wiped = if self.up_to(2) == 0 { n } else { others[self.up_to(others.len() as u64) as usize] };
        let back = 20 + self.up_to(600);
        self.crash(wiped, Some(back));
        let node = &mut self.nodes[wiped];
        (node.disk, node.synced, node.initial) = (Vec::new(), 0, false);
        node.wiped_until = self.now + back + 4_000;
        let other = others[self.up_to(others.len() as u64) as usize];
        if other != wiped && self.up_to(2) == 0 {
            let back = 500 + self.up_to(3_000);
            self.crash(other, Some(back));
        }
    }

    pub(super) fn heal_all(&mut self) {
        self.calm = true;
        self.cuts.clear();
        let stuck: Vec<u64> = self.wires.iter().filter(|(_, w)| w.stuck).map(|(l, _)| *l).collect();
        for link in stuck {
            let ends = self.wires[&link].ends;
            self.wires.remove(&link);
            for (to, life) in ends {
                self.push(self.now + 1, Event::Closed { to, life, link });
            }
        }
        for n in 0..self.nodes.len() {
            self.nodes[n].sync_ms = self.sync_ms;
            self.nodes[n].frozen = 0;
            self.push(self.now + 100, Event::Start { node: n });
        }
    }
}
