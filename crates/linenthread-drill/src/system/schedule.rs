//! One day from its start through the troubles and the calm after them; many days by seed.

use linenthread_consensus::document_digest;

use super::fronts::FRONTS;
use super::machines::Node;
use super::world::World;

const DAY: u64 = 40_000;
const SETTLE: u64 = 25_000;

#[derive(Clone, Debug)]
pub struct Drill {
    pub schedules: usize,
    pub seed: u64,
    pub core: usize,
    pub told: bool,
}

impl World {
    pub(super) fn run(mut self) -> (Vec<String>, [usize; 3]) {
        let start = self.now;
        self.run_until(start + DAY);
        self.heal_all();
        let acks = self.acks;
        let calm_from = self.now;
        self.run_until(calm_from + SETTLE);
        if self.acks == acks {
            self.breach("all-comes-back: no change was acknowledged after the troubles".into());
        }
        let newest = self.values.last_key_value().map(|(_, v)| v.clone()).unwrap_or_default();
        for (revision, change) in self.acked.clone() {
            let digest = document_digest(&change.document);
            let order = linenthread_messages::OrderIdentity { revision, base: change.base, digest };
            let there = self.values.values().any(|v| v.revision == revision && v.document == change.document);
            // Each node that has got so far knows the order, replaced disks too.
            let known = |n: &Node| {
                let register = n.control.as_ref().map(|control| control.register());
                let behind = register.is_none_or(|r| r.decided().is_none_or(|d| d.revision < revision));
                behind || register.is_some_and(|r| r.ledger().contains(&order))
            };
            if !there || !self.nodes.iter().filter(|n| !n.removed).all(known) {
                self.breach(format!("acked-lasts: {revision} is not in the chain"));
            }
        }
        // The last changes may be on their way: what fronts have is one of the last moments' values.
        let behind = self.acked.keys().rev().nth(3).copied().unwrap_or(0);
        for f in 0..FRONTS {
            let (revision, confirmed) = (self.fronts[f].revision, self.fronts[f].confirmed);
            if revision < behind || !confirmed {
                let what =
                    format!("all-comes-back: front {f} has {revision}, confirmed {confirmed}, of {behind}");
                self.breach(what);
            }
        }
        let live = self.nodes.iter().filter(|n| !n.removed).count();
        if newest.voters.len() != live {
            self.breach(format!(
                "all-comes-back: {} disks count, {live} machines are there",
                newest.voters.len()
            ));
        }
        (self.breaches, [self.acks, self.reads, self.drains])
    }
}

impl Drill {
    pub fn run(&self) -> (usize, usize) {
        let mut breaches = 0;
        let mut sums = [0; 3];
        for seed in self.seed..self.seed + self.schedules as u64 {
            let (found, counts) = World::new(self.core, seed).run();
            breaches += found.len();
            sums.iter_mut().zip(counts).for_each(|(s, c)| *s += c);
            for breach in found {
                println!("seed {seed}, core {}: {breach}", self.core);
            }
        }
        if self.told {
            println!("{} changes acknowledged, {} reads, {} drains", sums[0], sums[1], sums[2]);
        }
        (self.schedules, breaches)
    }
}
