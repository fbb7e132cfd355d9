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
    pub(super) fn is_cut(&self, a: usize, b: usize) -> bool {
        self.cuts.contains(&(a, b))
    }

    pub(super) fn delay(&mut self) -> u64 {
        match self.up_to(50) {
            0 if !self.calm => 30 + self.up_to(300),
            _ => 1 + self.up_to(3),
        }
    }

    /// One side is through with a link: the other learns of it, unless it is cut off.
    pub(super) fn end_link(&mut self, link: u64, by: usize) {
        let Some(wire) = self.wires.remove(&link) else { return };
        let other = if wire.ends[0].0 == by { wire.ends[1] } else { wire.ends[0] };
        if !self.is_cut(by, other.0) && !wire.stuck {
            let at = self.now + self.delay();
            self.push(at, Event::Closed { to: other.0, life: other.1, link });
        }
    }

    pub(super) fn send(&mut self, from: usize, link: u64, word: PeerMessage) {
        let delay = self.delay();
        let now = self.now;
        let cut = |w: &World, to: usize| w.is_cut(from, to);
        let Some(wire) = self.wires.get(&link) else { return };
        let side = usize::from(wire.ends[0].0 != from);
        let to = wire.ends[1 - side];
        let lost = cut(self, to.0);
        let wire = self.wires.get_mut(&link).expect("is there");
        wire.stuck |= lost;
        if wire.stuck {
            return;
        }
        let at = wire.last[side].max(now + delay);
        wire.last[side] = at;
        self.push(at, Event::PeerMessage { to: to.0, life: to.1, link, word });
    }

    pub(super) fn open(&mut self, from: usize, life: u64, to: usize, to_life: u64) -> u64 {
        self.next += 1;
        let link = self.next;
        let ends = [(from, life), (to, to_life)];
        self.wires.insert(link, Wire { ends, last: [self.now, self.now], stuck: false });
        link
    }
}
