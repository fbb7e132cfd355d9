//! Links between machines: words in order, delays, cuts of one or both directions, links that hang.

use linenthread_messages::PeerMessage;

use super::world::{Event, World};

pub(super) struct Wire {
    pub(super) ends: [(usize, u64); 2],
    /// Words on their way in each direction arrive in order.
    pub(super) last: [u64; 2],
    pub(super) stuck: bool,
}

impl World {
    /// Whether nothing gets from one to the other now.
    pub(super) fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cuts
            .get(&(from, to))
            .is_some_and(|until| *until > self.now)
    }

    pub(super) fn is_cut_either_way(&self, a: usize, b: usize) -> bool {
        self.is_cut(a, b) || self.is_cut(b, a)
    }

    pub(super) fn cut(&mut self, from: usize, to: usize, until: u64) {
        let cut = self.cuts.entry((from, to)).or_default();
        *cut = until.max(*cut);
    }

    pub(super) fn delay(&mut self) -> u64 {
        match self.up_to(50) {
            0 if !self.calm => 30 + self.up_to(300),
            _ => 1 + self.up_to(3),
        }
    }

    /// One side is through with a link: the other learns of it, unless it is cut off.
    pub(super) fn end_link(&mut self, link: u64, by: usize) {
        let Some(wire) = self.wires.remove(&link) else {
            return;
        };
        let other = if wire.ends[0].0 == by {
            wire.ends[1]
        } else {
            wire.ends[0]
        };
        if !self.is_cut(by, other.0) && !wire.stuck {
            let at = self.now + self.delay();
            self.push(
                at,
                Event::Closed {
                    to: other.0,
                    life: other.1,
                    link,
                },
            );
        }
    }

    pub(super) fn send(&mut self, from: usize, link: u64, word: PeerMessage) {
        let delay = self.delay();
        let now = self.now;
        let Some(wire) = self.wires.get(&link) else {
            return;
        };
        let side = usize::from(wire.ends[0].0 != from);
        let to = wire.ends[1 - side];
        let lost = self.is_cut(from, to.0);
        let wire = self.wires.get_mut(&link).expect("is there");
        wire.stuck |= lost;
        if wire.stuck {
            return;
        }
        let at = wire.last[side].max(now + delay);
        wire.last[side] = at;
        self.push(
            at,
            Event::PeerMessage {
                from,
                sent: now,
                to: to.0,
                life: to.1,
                link,
                word,
            },
        );
    }

    pub(super) fn open(&mut self, from: usize, life: u64, to: usize, to_life: u64) -> u64 {
        self.next += 1;
        let link = self.next;
        let ends = [(from, life), (to, to_life)];
        self.wires.insert(
            link,
            Wire {
                ends,
                last: [self.now, self.now],
                stuck: false,
            },
        );
        link
    }

    /// Links that hang are closed on both sides.
    pub(super) fn close_stuck_links(&mut self) {
        let stuck: Vec<u64> = self
            .wires
            .iter()
            .filter(|(_, w)| w.stuck)
            .map(|(l, _)| *l)
            .collect();
        for link in stuck {
            let Some(wire) = self.wires.remove(&link) else {
                continue;
            };
            for (to, life) in wire.ends {
                self.push(self.now + 1, Event::Closed { to, life, link });
            }
        }
    }
}
