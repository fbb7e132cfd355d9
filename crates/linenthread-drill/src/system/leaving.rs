//! Planned ends: SIGTERM, then the end when control says so or when the grace is over; a new start
//! afterwards, or the end of the machine. Rolling restarts, machine by machine.

use linenthread_time::Instant;

use super::budget::SYNC;
use super::machines::End;
use super::world::{Event, World};

/// How long a process may take from SIGTERM to its end.
const GRACE: u64 = 8_000;
/// How often it looks whether it may end.
const LOOK: u64 = 50;

/// A process that was asked to end.
#[derive(Clone, Copy)]
pub(super) struct Leaving {
    until: u64,
    then: AfterLeaving,
}

#[derive(Clone, Copy)]
pub(super) enum AfterLeaving {
    StartAgain {
        after: u64,
    },
    /// The machine and its disk are gone for good; this one has taken its place.
    Removed {
        successor: usize,
    },
}

impl World {
    /// SIGTERM.
    pub(super) fn leave(&mut self, n: usize, then: AfterLeaving) {
        if !self.is_running(n) || self.nodes[n].leaving.is_some() {
            return;
        }
        self.nodes[n].leaving = Some(Leaving {
            until: self.now + GRACE,
            then,
        });
        let life = self.nodes[n].life;
        self.at(n, linenthread_control::ControlNode::begin_shutdown);
        self.push(self.now + LOOK, Event::MayEnd { node: n, life });
    }

    pub(super) fn may_end(&mut self, n: usize, life: u64) {
        let Some(leaving) = self.nodes[n].leaving.filter(|_| self.nodes[n].life == life) else {
            return;
        };
        let clock = Instant::from_millis(self.clock(n));
        let may = self.is_running(n)
            && self.nodes[n]
                .control
                .as_ref()
                .is_some_and(|c| c.may_exit(clock));
        if !may && self.now < leaving.until {
            self.push(self.now + LOOK, Event::MayEnd { node: n, life });
            return;
        }
        match leaving.then {
            AfterLeaving::StartAgain { after } => self.crash(n, End::Kill, Some(after)),
            AfterLeaving::Removed { .. } if !may && !self.may_lose_one() => {
                self.push(self.now + LOOK, Event::MayEnd { node: n, life });
                return;
            }
            AfterLeaving::Removed { successor } => {
                self.remove(n, successor);
                if !may {
                    self.count_lost(n, self.now);
                }
            }
        }
        if !may {
            self.count("left by the end of the grace");
        }
    }

    /// A machine goes for good, with its disk.
    pub(super) fn remove(&mut self, n: usize, successor: usize) {
        self.crash(n, End::Power, None);
        let until = self.nodes[successor].began + SYNC;
        let node = &mut self.nodes[n];
        node.disk.lose_all();
        // What it was lost for before its end counts on.
        (node.removed, node.lost_until) = (true, node.lost_until.max(until));
        let wait = self.up_to(3_000);
        if !self.calm && self.up_to(2) == 0 {
            self.push(self.now + wait, Event::SecondLoss);
        }
    }

    /// The next of a rolling restart over all machines.
    pub(super) fn roll(&mut self, n: usize) {
        if self.calm || n >= self.nodes.len() {
            return;
        }
        let after = 100 + self.up_to(700);
        self.leave(n, AfterLeaving::StartAgain { after });
        let next = self.now + 1_500 + self.up_to(3_000);
        self.push(next, Event::Roll { node: n + 1 });
    }
}
