//! Troubles drawn by chance, each counted by kind; the disks that they take stay within the budget.

use super::budget::SYNC;
use super::fronts::{FRONTS, Front, front_number};
use super::leaving::AfterLeaving;
use super::machines::End;
use super::world::{Event, World};

/// A pause that outlasts every lease and bound.
const LONG_PAUSE: u64 = 25_000;
/// Cuts of 20 s and longer.
const LONG_CUT: (u64, u64) = (20_000, 15_000);
/// How soon after an outage a second loss comes at the latest.
const SECOND: u64 = 3_000;

#[derive(Clone, Copy)]
enum Kind {
    Crash,
    DiskLost,
    Replaced,
    ReplacedPlanned,
    Restart,
    Rolling,
    AllKilled,
    AllPower,
    CutOff,
    CutOneWay,
    CutLong,
    FrontCut,
    Pause,
    PauseLong,
    SlowDisk,
    FullDisk,
    FrontRestarts,
}

/// Which kinds are drawn, and how often each.
const KINDS: [(Kind, u64); 17] = [
    (Kind::Crash, 4),
    (Kind::DiskLost, 4),
    (Kind::Replaced, 3),
    (Kind::ReplacedPlanned, 3),
    (Kind::Restart, 3),
    (Kind::Rolling, 1),
    (Kind::AllKilled, 1),
    (Kind::AllPower, 1),
    (Kind::CutOff, 2),
    (Kind::CutOneWay, 3),
    (Kind::CutLong, 1),
    (Kind::FrontCut, 2),
    (Kind::Pause, 2),
    (Kind::PauseLong, 1),
    (Kind::SlowDisk, 2),
    (Kind::FullDisk, 2),
    (Kind::FrontRestarts, 2),
];

/// On a day of replacements: what leaves room in the budget for them.
const REPLACEMENT_KINDS: [(Kind, u64); 8] = [
    (Kind::DiskLost, 4),
    (Kind::Replaced, 4),
    (Kind::ReplacedPlanned, 6),
    (Kind::Restart, 2),
    (Kind::Rolling, 1),
    (Kind::AllPower, 1),
    (Kind::CutOneWay, 1),
    (Kind::FrontRestarts, 1),
];

impl World {
    fn draw_kind(&mut self) -> Kind {
        let kinds: &[(Kind, u64)] = if self.replacements {
            &REPLACEMENT_KINDS
        } else {
            &KINDS
        };
        let mut at = self.up_to(kinds.iter().map(|(_, weight)| weight).sum());
        for (kind, weight) in kinds {
            if at < *weight {
                return *kind;
            }
            at -= weight;
        }
        Kind::Crash
    }

    pub(super) fn trouble(&mut self) {
        if self.calm {
            return;
        }
        let wait = 300 + self.up_to(self.trouble_gap);
        self.push(self.now + wait, Event::Trouble);
        let (kind, n) = (self.draw_kind(), self.any_node());
        if self.nodes[n].removed {
            return;
        }
        self.trace(&format!("a trouble at {n}"));
        match kind {
            Kind::Crash => self.crash_one(n),
            Kind::DiskLost => self.lose_one_disk(n),
            Kind::Replaced => self.replace_unplanned(n),
            Kind::ReplacedPlanned => self.replace_planned(n),
            Kind::Restart => self.restart_planned(n),
            Kind::Rolling => self.begin_rolling(),
            Kind::AllKilled => self.end_all(End::Kill, "all killed"),
            Kind::AllPower => self.end_all(End::Power, "all lose power"),
            Kind::CutOff => self.cut_off(n),
            Kind::CutOneWay => self.cut_one_way(n),
            Kind::CutLong => self.cut_off_long(n),
            Kind::FrontCut => self.cut_front(n),
            Kind::Pause => self.pause(n, 7_300, "pause"),
            Kind::PauseLong => self.pause(n, LONG_PAUSE, "long pause"),
            Kind::SlowDisk => self.slow_disk(n),
            Kind::FullDisk => self.full_disk(n),
            Kind::FrontRestarts => self.restart_front(),
        }
    }

    // --- ends ---

    fn crash_one(&mut self, n: usize) {
        if !self.is_up(n) {
            return;
        }
        let end = if self.up_to(2) == 0 {
            End::Kill
        } else {
            End::Power
        };
        let back = 50 + self.up_to(3_500);
        self.count(if end == End::Kill {
            "crash"
        } else {
            "loss of power"
        });
        self.exchange_seeds(n);
        self.crash(n, end, Some(back));
    }

    fn end_all(&mut self, end: End, kind: &'static str) {
        self.count(kind);
        for n in 0..self.nodes.len() {
            if self.is_up(n) {
                let back = 100 + self.up_to(800);
                self.crash(n, end, Some(back));
            }
        }
    }

    fn lose_one_disk(&mut self, n: usize) {
        if !self.is_up(n) || !self.may_lose_one() {
            return;
        }
        self.count("disk lost");
        let back = 200 + self.up_to(2_000);
        self.exchange_seeds(n);
        self.lose_disk(n, back);
        self.plan_second_loss(self.now + back + SYNC);
    }

    /// A machine is gone; another comes in its place, at another address.
    fn replace_unplanned(&mut self, n: usize) {
        if !self.is_up(n) || !self.may_lose_one() {
            return;
        }
        self.count("replaced, unplanned");
        let back = 200 + self.up_to(2_000);
        let new = self.new_machine();
        self.push(self.now + back, Event::Start { node: new });
        self.crash(n, End::Power, None);
        self.count_lost(n, self.now + back);
        let node = &mut self.nodes[n];
        node.disk.lose_all();
        node.removed = true;
        self.plan_second_loss(self.now + back + SYNC);
    }

    /// The new machine first, then SIGTERM for the old one.
    fn replace_planned(&mut self, n: usize) {
        if !self.is_running(n) || self.nodes[n].leaving.is_some() || !self.may_lose_one() {
            return;
        }
        self.count("replaced, planned");
        let new = self.new_machine();
        let starts = self.now + 50 + self.up_to(500);
        self.push(starts, Event::Start { node: new });
        self.count_lost(new, starts);
        let leaves = starts + SYNC + self.up_to(3_000);
        self.push(
            leaves,
            Event::Leave {
                node: n,
                successor: new,
            },
        );
        self.plan_second_loss(leaves);
    }

    /// SIGTERM for a machine whose successor runs.
    pub(super) fn leave_for_good(&mut self, n: usize, successor: usize) {
        if self.nodes[n].removed || !self.is_running(successor) {
            return;
        }
        self.leave(n, AfterLeaving::Removed { successor });
    }

    /// A new machine, whose settings name three of those that are there.
    fn new_machine(&mut self) -> usize {
        let address = format!("10.0.1.{}:80", self.nodes.len() + 1);
        let there: Vec<String> = self
            .nodes
            .iter()
            .filter(|n| !n.removed)
            .map(|n| n.address.clone())
            .collect();
        let new = self.add_node(address, false);
        let skip = self.up_to(there.len() as u64) as usize;
        self.nodes[new].bootstrap = there.iter().cycle().skip(skip).take(3).cloned().collect();
        new
    }

    fn restart_planned(&mut self, n: usize) {
        if !self.is_running(n) {
            return;
        }
        self.count("restart, planned");
        self.exchange_seeds(n);
        let after = 100 + self.up_to(2_000);
        self.leave(n, AfterLeaving::StartAgain { after });
    }

    fn begin_rolling(&mut self) {
        self.count("rolling restart");
        self.push(self.now, Event::Roll { node: 0 });
    }

    /// Its settings name other machines from its next start on: some down, cut off or gone, one that is
    /// there.
    fn exchange_seeds(&mut self, n: usize) {
        if self.up_to(3) > 0 {
            return;
        }
        self.count("seeds exchanged");
        let there: Vec<usize> = (0..self.nodes.len())
            .filter(|o| *o != n && !self.nodes[*o].removed)
            .collect();
        let one = there[self.up_to(there.len() as u64) as usize];
        let others = [self.any_node(), self.any_node()];
        let address = |o: usize| self.nodes[o].address.clone();
        self.nodes[n].bootstrap = others.into_iter().chain([one]).map(address).collect();
    }

    // --- second losses ---

    fn plan_second_loss(&mut self, from: u64) {
        if self.up_to(2) == 0 {
            let at = from + self.up_to(SECOND);
            self.push(at, Event::SecondLoss);
        }
    }

    /// Right after a change of who counts: a disk within the budget, all others that lose power, or a crash.
    pub(super) fn second_loss(&mut self) {
        let n = self.any_node();
        if self.calm || !self.is_up(n) {
            return;
        }
        let way = self.up_to(4);
        if way < 3 && self.may_lose_one() {
            self.count("second loss: a disk");
            let back = 200 + self.up_to(1_000);
            self.lose_disk(n, back);
        }
        match way {
            0 => self.end_all(End::Power, "second loss: all others lose power"),
            3 => self.crash_one(n),
            _ => {}
        }
    }

    /// Right after an acknowledgement a disk is lost, and another machine may end as well, or all lose power.
    pub(super) fn loss_after_ack(&mut self, n: usize) {
        if self.calm || !self.is_up(n) || self.gone() >= self.budget || !self.all_count() {
            return;
        }
        let others: Vec<usize> = (0..self.nodes.len())
            .filter(|&o| o != n && self.is_up(o))
            .collect();
        if others.is_empty() {
            return;
        }
        self.count("disk lost after an acknowledgement");
        let other = |w: &mut World| others[w.up_to(others.len() as u64) as usize];
        let lost = if self.up_to(2) == 0 { n } else { other(self) };
        let back = 20 + self.up_to(600);
        self.lose_disk(lost, back);
        let second = other(self);
        match self.up_to(4) {
            0 => self.end_all(End::Power, "all lose power after an acknowledgement"),
            1 if second != lost => {
                let back = 500 + self.up_to(3_000);
                self.crash(second, End::Power, Some(back));
            }
            _ => {}
        }
    }

    // --- cuts and pauses ---

    fn cut_off(&mut self, n: usize) {
        self.count("cut off");
        let until = self.now + 300 + self.up_to(6_000);
        self.cut_from_others(n, until, 0);
    }

    fn cut_off_long(&mut self, n: usize) {
        self.count("cut off for 20 s and more");
        let until = self.now + LONG_CUT.0 + self.up_to(LONG_CUT.1);
        let way = self.up_to(3);
        self.cut_from_others(n, until, way);
    }

    fn cut_one_way(&mut self, n: usize) {
        self.count("cut one way, or from one");
        let until = self.now + 300 + self.up_to(9_000);
        let way = self.up_to(3);
        if self.up_to(2) == 0 {
            self.cut_from_others(n, until, way);
        } else {
            let other = self.any_node();
            self.cut_pair(n, other, until, way);
            self.count_lost(n, until);
        }
    }

    fn cut_from_others(&mut self, n: usize, until: u64, way: u64) {
        for other in (0..self.nodes.len()).filter(|o| *o != n) {
            self.cut_pair(n, other, until, way);
        }
        // Fronts may be cut off with it.
        if self.up_to(4) == 0 {
            (0..FRONTS).for_each(|f| self.cut_pair(n, front_number(f), until, way));
        }
        self.count_lost(n, until);
    }

    /// Both ways, or one of them.
    fn cut_pair(&mut self, a: usize, b: usize, until: u64, way: u64) {
        if way != 1 {
            self.cut(a, b, until);
        }
        if way != 2 {
            self.cut(b, a, until);
        }
    }

    fn cut_front(&mut self, n: usize) {
        self.count("front cut from a core machine");
        let f = front_number(self.up_to(FRONTS as u64) as usize);
        let until = self.now + 300 + self.up_to(9_000);
        self.cut_pair(n, f, until, 0);
    }

    fn pause(&mut self, n: usize, most: u64, kind: &'static str) {
        if !self.is_running(n) {
            return;
        }
        self.count(kind);
        let wakes = self.now + 300 + self.up_to(most);
        self.nodes[n].frozen = wakes;
        self.count_lost(n, wakes);
        if self.up_to(2) == 0 {
            self.push(wakes, Event::AskOnWaking { node: n });
        }
    }

    // --- disks ---

    fn slow_disk(&mut self, n: usize) {
        self.count("slow disk");
        let ends = self.now + 500 + self.up_to(6_000);
        let ms = [120, 900, 4_000][self.up_to(3) as usize];
        self.nodes[n].disk.sync_ms = ms;
        self.count_lost(n, ends + ms);
        self.push(ends, Event::DiskIsWell { node: n });
    }

    fn full_disk(&mut self, n: usize) {
        self.count("full disk");
        let ends = self.now + 500 + self.up_to(8_000);
        self.nodes[n].disk.set_full(true);
        self.count_lost(n, ends);
        self.push(ends, Event::DiskIsWell { node: n });
    }

    pub(super) fn disk_is_well(&mut self, n: usize) {
        let sync_ms = self.sync_ms;
        let disk = &mut self.nodes[n].disk;
        disk.sync_ms = sync_ms;
        disk.set_full(false);
    }

    // --- fronts ---

    fn restart_front(&mut self) {
        self.count("front restarts");
        let f = self.up_to(FRONTS as u64) as usize;
        let (life, now) = (self.chance.rand_u64(), self.now);
        let old = std::mem::replace(&mut self.fronts[f], Front::new(life));
        self.past
            .push(old.held.iter().map(|h| (h.0, h.1.min(now))).collect());
        if let Some(link) = old.link {
            self.end_link(link, front_number(f));
        }
    }

    /// The troubles are over.
    pub(super) fn heal_all(&mut self) {
        self.calm = true;
        self.calm_from = Some(self.now);
        self.cuts.clear();
        self.close_stuck_links();
        for n in 0..self.nodes.len() {
            self.disk_is_well(n);
            self.nodes[n].frozen = 0;
            self.push(self.now + 100, Event::Start { node: n });
        }
    }

    /// In the calm, once all have had their time: one more machine comes with an empty disk, or starts anew.
    pub(super) fn start_one_anew(&mut self) {
        let n = self.any_node();
        if !self.is_up(n) {
            return;
        }
        let back = 100 + self.up_to(300);
        if self.up_to(2) == 0 && self.may_lose_one() {
            self.lose_disk(n, back);
        } else {
            self.crash(n, End::Kill, Some(back));
        }
    }
}
