//! What is decided from what all see: who leads the record asks it once a second.
//!
//! | a zone is | what that does to the ways there | goes on when |
//! | --- | --- | --- |
//! | sound | open | most who see it take it for down, two spans in a row: left. Most take it for slow: slow |
//! | slow | open as far as its room by its times goes | nobody takes it for slow for a hold |
//! | left | closed | its hold is over: returning; a hold is twice the one before, up to a longest |
//! | returning | open to 5, 15, 40 keys of a hundred, a step's time each | all steps done: sound. Taken for down: left |
//! | drained | closed, by order | the order to return: returning |
//!
//! A pair of zones is cut while the far one is not left and most in the near one take it for down: its way goes
//! through the same edges by itself. So an observer that is itself cut off is outvoted in its own zone, and a zone
//! that only one other cannot reach is not left by all.

use std::collections::{BTreeMap, BTreeSet};

use linenthread_core::interface::TenthMillis;
use snafu::{OptionExt, ensure};

use crate::error::{DrainError, NoReplicaLeftSnafu, NoSuchZoneSnafu};
use crate::report::{Report, Way};
use crate::solve::{Pattern, fit, loads};
use crate::table::{Reason, Row, Table};
use crate::{ALL, MOST_ZONES};

/// Evidence is gathered for so long before it is judged.
pub const SPAN: TenthMillis = 10_000;
/// So many spans in a row must say the same.
const AGAIN: u32 = 2;
/// Keys of a thousand that a zone which returns gets, step by step.
const STEPS: [u16; 3] = [50, 150, 400];
/// Ways are opened further at the most so often in a row, and once more with each minute that passes.
const MOST_OPENINGS: f64 = 20.0;
/// Who takes over begins with so many of them.
const FIRST_OPENINGS: f64 = 5.0;
const MINUTE: TenthMillis = 600_000;
/// Shares that differ by less than this are not worth a table.
const WORTH: f64 = 0.05;
/// So much of the way down to what is asked for now is gone with each span.
const SMOOTH: f64 = 0.1;

/// A zone, as the operators' file has it.
#[derive(Clone, Debug, PartialEq)]
pub struct Zone {
    pub name: String,
    pub region: String,
    /// Parts a second that one of its replicas takes; no way is closed for room that is not told.
    pub room: Option<f64>,
}

/// What there is: zones, replicas that take parts in each, and how shards lie.
#[derive(Clone, Debug, PartialEq)]
pub struct Ground {
    pub zones: Vec<Zone>,
    pub replicas: Vec<u32>,
    pub patterns: Vec<Pattern>,
}

impl Ground {
    /// Whether a zone may be left by order, with all that lies there.
    ///
    /// # Errors
    ///
    /// There is no such zone, or shards lie nowhere else: what asks for them would be refused.
    pub fn may_drain(&self, zone: &str, drained: &BTreeSet<String>) -> Result<(), DrainError> {
        let at = self
            .zones
            .iter()
            .position(|z| z.name == zone)
            .context(NoSuchZoneSnafu { zone })?;
        let left = |w: usize| w == at || drained.contains(&self.zones[w].name);
        let only = |p: &&Pattern| {
            !p.holders
                .iter()
                .enumerate()
                .any(|(w, n)| *n > 0 && !left(w))
        };
        let alone: f64 = self.patterns.iter().filter(only).map(|p| p.share).sum();
        let percent = (alone * 100.0).ceil();
        ensure!(alone <= 0.0, NoReplicaLeftSnafu { percent });
        Ok(())
    }
}

/// How it is decided.
#[derive(Clone, Debug, PartialEq)]
pub struct Terms {
    /// What is moved to a zone may fill this share of its room, beside its own.
    pub margin: f64,
    /// How long a zone is left at first, and at the longest.
    pub hold: TenthMillis,
    pub longest_hold: TenthMillis,
    /// How long each step of a return takes: no less than a cold replica needs to become warmer.
    pub step: TenthMillis,
}

/// What a zone, or the way between a pair of them, goes through.
#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Sound,
    Slow { until: TenthMillis },
    Left { until: TenthMillis },
    Returning { step: usize, until: TenthMillis },
    Drained,
}

#[derive(Clone, Copy, Debug)]
struct Standing {
    state: State,
    /// Spans in a row that spoke against it, and that took it for slow.
    against: u32,
    slow: u32,
    /// How often it was left of late, and since when it is sound.
    flaps: u32,
    sound_since: TenthMillis,
}

/// Decides for the whole fleet.
#[derive(Clone, Debug)]
pub struct Decider {
    terms: Terms,
    zones: Vec<Zone>,
    standings: Vec<Standing>,
    pairs: BTreeMap<(usize, usize), Standing>,
    span: Report,
    span_began: TenthMillis,
    asked: Vec<f64>,
    /// By zone: what its answers take, at their usual and now.
    usual: Vec<f64>,
    now_takes: Vec<f64>,
    rows: Vec<Row>,
    openings: f64,
    refilled: TenthMillis,
    opened: TenthMillis,
}

impl Standing {
    fn new(state: State, now: TenthMillis) -> Standing {
        Standing {
            state,
            against: 0,
            slow: 0,
            flaps: 0,
            sound_since: now,
        }
    }

    fn leave(&mut self, now: TenthMillis, terms: &Terms) {
        let hold = (terms.hold << self.flaps.min(16)).min(terms.longest_hold);
        self.flaps += 1;
        self.against = 0;
        self.state = State::Left { until: now + hold };
    }

    /// One span's evidence, and what the time brings.
    fn go_on(&mut self, now: TenthMillis, against: bool, terms: &Terms) {
        self.against = if against { self.against + 1 } else { 0 };
        match self.state {
            State::Sound | State::Slow { .. } if self.against >= AGAIN => self.leave(now, terms),
            State::Sound if self.flaps > 0 && now - self.sound_since >= terms.longest_hold => {
                (self.flaps, self.sound_since) = (self.flaps - 1, now);
            }
            State::Left { until } if now >= until => {
                self.against = 0;
                self.state = State::Returning {
                    step: 0,
                    until: now + terms.step,
                };
            }
            // Few keys go there now: what they meet is word enough.
            State::Returning { .. } if against => self.leave(now, terms),
            State::Returning { step, until } if now >= until => {
                self.state = match step + 1 < STEPS.len() {
                    true => State::Returning {
                        step: step + 1,
                        until: now + terms.step,
                    },
                    false => {
                        self.sound_since = now;
                        State::Sound
                    }
                };
            }
            _ => {}
        }
    }

    fn share(&self) -> u16 {
        match self.state {
            State::Sound | State::Slow { .. } => ALL,
            State::Left { .. } | State::Drained => 0,
            State::Returning { step, .. } => STEPS[step],
        }
    }
}

fn most(of: u32, all: u32) -> bool {
    all > 0 && 2 * of > all
}

impl Decider {
    /// Takes over from whoever led before: what the last table left is left, for a hold from now on, and what was on
    /// its way back goes on from its step.
    pub fn new(
        terms: Terms,
        zones: Vec<Zone>,
        before: Option<&Table>,
        now: TenthMillis,
    ) -> Decider {
        let zones: Vec<Zone> = zones.into_iter().take(MOST_ZONES).collect();
        let count = zones.len();
        let names: Vec<String> = zones.iter().map(|z| z.name.clone()).collect();
        let before = before.filter(|t| t.zones == names && t.rows.len() == count);
        let rows = before.map_or_else(|| Table::sound(names).rows, |t| t.rows.clone());
        let again = |(share, reason): (u16, Reason)| {
            let returning = |step| State::Returning {
                step,
                until: now + terms.step,
            };
            let state = match reason {
                Reason::Down | Reason::Cut => State::Left {
                    until: now + terms.hold,
                },
                Reason::Drained => State::Drained,
                Reason::Returning => returning(
                    STEPS
                        .iter()
                        .position(|s| *s >= share)
                        .unwrap_or(STEPS.len() - 1),
                ),
                Reason::Sound | Reason::Room | Reason::Slow => State::Sound,
            };
            let flaps = u32::from(matches!(
                reason,
                Reason::Down | Reason::Cut | Reason::Returning
            ));
            Standing {
                flaps,
                ..Standing::new(state, now)
            }
        };
        let mut standings = vec![Standing::new(State::Sound, now); count];
        let mut pairs = BTreeMap::new();
        for from in 0..count {
            for (to, standing) in standings.iter_mut().enumerate() {
                let cell = rows[from].open[to];
                // What is the same for all who ask there is the zone's own.
                let of_zone = (0..count).all(|f| rows[f].open[to].1 == cell.1);
                if of_zone && cell.1 != Reason::Cut {
                    *standing = again(cell);
                } else if cell.1 == Reason::Cut || cell.1 == Reason::Returning {
                    pairs.insert((from, to), again(cell));
                }
            }
        }
        Decider {
            standings,
            pairs,
            span: Report::default(),
            span_began: now,
            asked: vec![0.0; count],
            usual: vec![0.0; count],
            now_takes: vec![0.0; count],
            rows,
            openings: FIRST_OPENINGS,
            refilled: now,
            opened: now,
            terms,
            zones,
        }
    }

    /// Takes in what others saw.
    pub fn hear(&mut self, report: &Report) {
        self.span.add(report);
    }

    /// When it is next to be asked.
    pub fn wake_at(&self) -> TenthMillis {
        self.span_began + SPAN
    }

    /// What stands now: by zone of clients.
    pub fn rows(&self) -> &[Row] {
        &self.rows
    }

    /// Which zones are to be left by the operators' order, as the record has it; those no longer named return.
    pub fn drained(&mut self, drained: &BTreeSet<String>, now: TenthMillis) {
        for (zone, standing) in self.zones.iter().zip(&mut self.standings) {
            match (drained.contains(&zone.name), standing.state) {
                (true, _) => standing.state = State::Drained,
                (false, State::Drained) => {
                    standing.state = State::Returning {
                        step: 0,
                        until: now + self.terms.step,
                    };
                }
                _ => {}
            }
        }
    }

    /// Judges the span that is over, if one is, and gives the table to be agreed on where it moves anything.
    pub fn decide(&mut self, now: TenthMillis, from_ms: u64, ground: &Ground) -> Option<Table> {
        if now < self.wake_at() || ground.zones.len() != self.zones.len() {
            return None;
        }
        let span = std::mem::take(&mut self.span);
        let seconds = (now - self.span_began) as f64 / 10_000.0;
        self.span_began = now;
        self.measure(&span, seconds);
        self.judge(&span, now);
        let rows = self.solve(ground);
        self.adopt(rows, now).then(|| self.table(from_ms))
    }

    /// What stands, as a table.
    pub fn table(&self, from_ms: u64) -> Table {
        let zones = self.zones.iter().map(|z| z.name.clone()).collect();
        Table {
            from_ms,
            zones,
            rows: self.rows.clone(),
        }
    }

    fn measure(&mut self, span: &Report, seconds: f64) {
        for zone in 0..self.zones.len() {
            let asked = span
                .asked
                .get(&(zone as u8))
                .map_or(0.0, |(_, parts)| f64::from(*parts) / seconds);
            // Up at once, down slowly: some reports are lost, and what comes in bursts comes again.
            self.asked[zone] = asked.max(self.asked[zone] + SMOOTH * (asked - self.asked[zone]));
            let to = || {
                span.ways
                    .iter()
                    .filter(|((_, w), _)| usize::from(*w) == zone)
                    .map(|(_, way)| way)
            };
            let answered: f64 = to().map(|way| f64::from(way.answered)).sum();
            let time: f64 = to().map(|way| way.time_ms as f64).sum();
            if answered < 20.0 {
                continue;
            }
            let takes = (time / answered).max(0.1);
            self.now_takes[zone] = takes;
            if self.usual[zone] == 0.0 {
                self.usual[zone] = takes;
            }
            if takes <= 1.5 * self.usual[zone] {
                self.usual[zone] += 0.02 * (takes - self.usual[zone]);
            }
        }
    }

    fn judge(&mut self, span: &Report, now: TenthMillis) {
        let count = self.zones.len();
        // It takes most of a zone's observers: a few that see nothing are themselves what is cut off.
        let way = |from: usize, to: usize| {
            let way = span
                .ways
                .get(&(from as u8, to as u8))
                .copied()
                .unwrap_or_default();
            (
                way,
                span.asked
                    .get(&(from as u8))
                    .map_or(0, |(observers, _)| *observers),
            )
        };
        let bad = |(w, observers): (Way, u32)| most(w.down, w.voices) && most(w.down, observers);
        let good = |(w, _): (Way, u32)| w.voices > 0 && !most(w.down, w.voices);
        // A zone that reaches nothing well, itself neither, has no say on others: it is what is cut off.
        let blind = |f: usize| !(0..count).any(|to| good(way(f, to)));
        for to in 0..self.zones.len() {
            let others = || {
                (0..count)
                    .filter(|f| *f != to && !blind(*f))
                    .map(|from| way(from, to))
            };
            let (against, with) = (
                others().filter(|w| bad(*w)).count(),
                others().filter(|w| good(*w)).count(),
            );
            let own = way(to, to);
            // Its own co-ordinators reach it: then it is not down, however many others can't.
            let down = !good(own) && (against > with || bad(own) && with == 0);
            let (slow, voices) = (0..count)
                .map(|f| way(f, to).0)
                .fold((0, 0), |(s, v), w| (s + w.slow, v + w.voices - w.down));
            let Some(standing) = self.standings.get_mut(to) else {
                break;
            };
            standing.go_on(now, down, &self.terms);
            standing.slow = if most(slow, voices) {
                standing.slow + 1
            } else {
                0
            };
            if standing.slow >= AGAIN && matches!(standing.state, State::Sound | State::Slow { .. })
            {
                standing.state = State::Slow {
                    until: now + self.terms.hold,
                };
            } else if matches!(standing.state, State::Slow { until } if now >= until) {
                standing.state = State::Sound;
            }
            let reachable = matches!(standing.state, State::Sound | State::Slow { .. }) && !down;
            for from in 0..count {
                let against = reachable && bad(way(from, to)) && (from != to || with > against);
                if against || self.pairs.contains_key(&(from, to)) {
                    let fresh = Standing::new(State::Sound, now);
                    let pair = self.pairs.entry((from, to)).or_insert(fresh);
                    pair.go_on(now, against, &self.terms);
                    let forgotten =
                        pair.state == State::Sound && pair.flaps == 0 && pair.against == 0;
                    if forgotten {
                        self.pairs.remove(&(from, to));
                    }
                }
            }
        }
    }

    /// Parts a second that a zone takes, as the operators tell. What could be measured without that, from the quickest
    /// answers and the most that were answered, is less than what replicas of several cores do: to refuse by it cost
    /// a sixth of the gain where all would have fitted (`linenthread-drill failover`). So nothing is closed for room
    /// that is not told; what is too much then each co-ordinator turns away by itself. For a zone that is slow, less
    /// by as much.
    fn room(&self, ground: &Ground, zone: usize) -> f64 {
        let told = ground.zones[zone].room.map_or(f64::INFINITY, |each| {
            each * f64::from(ground.replicas[zone]) * self.terms.margin
        });
        match self.standings[zone].state {
            State::Slow { .. } => {
                told * (self.usual[zone] / self.now_takes[zone].max(0.1)).clamp(0.1, 1.0)
            }
            _ => told,
        }
    }

    /// The ways as the states have them, and then as far closed as room asks for. While all is sound none is: what
    /// comes and goes then each co-ordinator bears by itself.
    fn solve(&self, ground: &Ground) -> Vec<Row> {
        let count = self.zones.len();
        let mut rows = Table::sound(Vec::new()).rows;
        for from in 0..count {
            let cell = |to: usize| {
                let zone = &self.standings[to];
                let pair = self.pairs.get(&(from, to)).filter(|p| p.share() < ALL);
                match (zone.state, pair) {
                    (State::Drained, _) => (0, Reason::Drained),
                    (State::Left { .. }, _) => (0, Reason::Down),
                    (State::Returning { .. }, _) => (zone.share(), Reason::Returning),
                    (_, Some(pair)) if pair.share() == 0 => (0, Reason::Cut),
                    (_, Some(pair)) => (pair.share(), Reason::Returning),
                    (State::Slow { .. }, None) => (ALL, Reason::Slow),
                    (State::Sound, None) => (ALL, Reason::Sound),
                }
            };
            rows.push(Row {
                open: (0..count).map(cell).collect(),
            });
        }
        let troubled = rows
            .iter()
            .flat_map(|r| &r.open)
            .any(|(_, reason)| *reason != Reason::Sound);
        if troubled {
            let sound = Table::sound(vec![String::new(); count]).rows;
            let usual = loads(ground, &self.asked, &sound);
            let room: Vec<f64> = (0..count)
                .map(|zone| {
                    let room = self.room(ground, zone);
                    // What it bears when all is sound it bears now, unless it is slow.
                    let bears: f64 = usual.iter().map(|from| from[zone]).sum();
                    let slow = matches!(self.standings[zone].state, State::Slow { .. });
                    if slow || ground.zones[zone].room.is_some() {
                        room
                    } else {
                        room.max(bears)
                    }
                })
                .collect();
            fit(ground, &self.asked, &room, &mut rows);
        }
        rows
    }

    /// Whether these rows are to stand from now on. Closing is done at once; opening further no more often than the
    /// bound allows, and what only wavers is left.
    fn adopt(&mut self, rows: Vec<Row>, now: TenthMillis) -> bool {
        self.openings += (now - self.refilled) as f64 / MINUTE as f64;
        self.openings = self.openings.min(MOST_OPENINGS);
        self.refilled = now;
        let cells = || {
            rows.iter()
                .flat_map(|r| &r.open)
                .zip(self.rows.iter().flat_map(|r| &r.open))
        };
        let differs = |a: u16, b: u16| {
            let (a, b) = (f64::from(a), f64::from(b));
            (a - b).abs() > WORTH * a.max(b)
        };
        let closes = cells().any(|(new, old)| new.0 < old.0 && differs(new.0, old.0));
        let opens =
            cells().any(|(new, old)| new.0 > old.0 && (new.0 == ALL || differs(new.0, old.0)));
        let states = cells().any(|(new, old)| new.1 != old.1);
        // Room that comes and goes is followed upwards no faster than a zone returns.
        let only_room = !states;
        let may_open = self.openings >= 1.0 && (!only_room || now >= self.opened + self.terms.step);
        if opens && may_open {
            self.openings -= 1.0;
            self.opened = now;
            self.rows = rows;
            return true;
        }
        if !closes && (opens || !states) {
            return false;
        }
        // What closes is closed; what would open stays as it is.
        for (new, old) in rows
            .iter()
            .flat_map(|r| &r.open)
            .zip(self.rows.iter_mut().flat_map(|r| &mut r.open))
        {
            if new.0 <= old.0 {
                *old = *new;
            }
        }
        true
    }
}
