//! Zones in simulated time: co-ordinators see what truly happens through noise, loss and lag, one decides for all,
//! and what the table then sends where is judged by what each zone can truly take.

use std::collections::{BTreeMap, BTreeSet};

use linenthread_core::interface::{AttemptOutcome, TenthMillis};
use linenthread_zones::{
    ALL_KEYS, Demand, FailoverConfig, FailoverController, Placement, Reason, Report, RoutingTable,
    Topology, Zone, ZoneObserver, loads,
};
use oorandom::Rand64;

const SECOND: TenthMillis = 10_000;
const STEP: TenthMillis = 5_000;

#[derive(Clone, Debug)]
pub(crate) struct Drill {
    pub schedules: usize,
    pub seed: u64,
}

/// What goes wrong in a schedule.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Trouble {
    /// Nothing; or things that a zone must not be left for.
    Noise,
    ZoneLost(usize),
    PairCut(usize, usize),
    ZoneSlow(usize),
    /// Observers of a zone that themselves reach nothing, fewer than half of them.
    ObserversOff(usize),
    Drain(usize),
    TwoZones(usize, usize),
    /// Reports of any content.
    Hostile,
}

struct World {
    now: TenthMillis,
    seed: u64,
    chance: Rand64,
    ground: Topology,
    /// Parts a second that each zone's replicas do, and that its clients ask for; how long a part takes there.
    takes: Vec<f64>,
    asked: Vec<f64>,
    service_ms: f64,
    watches: Vec<(usize, ZoneObserver)>,
    /// By co-ordinator: the tables on their way to it, and the one it acts on.
    coming: Vec<Vec<(TenthMillis, RoutingTable)>>,
    acts: Vec<RoutingTable>,
    record: Option<RoutingTable>,
    decider: FailoverController,
    trouble: Trouble,
    /// Orders, as the record has them.
    drained: BTreeSet<String>,
    on: bool,
    breaches: Vec<String>,
    openings: u32,
    leaders: u32,
    tables: u32,
    left_at: Option<TenthMillis>,
}

fn terms() -> FailoverConfig {
    FailoverConfig {
        capacity_margin: 0.8,
        hold: 5 * SECOND,
        max_hold: 60 * SECOND,
        return_step: 3 * SECOND,
    }
}

impl World {
    fn new(seed: u64) -> World {
        let mut chance = Rand64::new(u128::from(seed));
        let count = 2 + chance.rand_range(0..4) as usize;
        let regions = 1 + chance.rand_range(0..2) as usize;
        let replicas_each = 2 + chance.rand_range(0..6) as usize;
        let service_ms = 5.0 + 40.0 * chance.rand_float();
        let told = chance.rand_range(0..2) == 0;
        let each = 2_000.0 / service_ms;
        let zone = |n: usize| Zone {
            name: format!("z{n}"),
            region: format!("r{}", n % regions),
            replica_capacity: told.then_some(each),
        };
        // A ring: shard s lies in cells s, s + 1, ...; cells go round the zones.
        let cells = replicas_each * count;
        let in_a_row = 2 + chance.rand_range(0..2) as usize;
        let mut patterns: BTreeMap<Vec<u16>, f64> = BTreeMap::new();
        for shard in 0..cells {
            let mut holders = vec![0; count];
            (0..in_a_row).for_each(|n| holders[(shard + n) % cells % count] += 1);
            *patterns.entry(holders).or_default() += 1.0 / cells as f64;
        }
        let patterns = patterns
            .into_iter()
            .map(|(holders, share)| Placement {
                replicas: holders,
                share,
            })
            .collect();
        let ground = Topology {
            zones: (0..count).map(zone).collect(),
            replicas: vec![replicas_each as u32; count],
            placements: patterns,
        };
        let takes = vec![each * replicas_each as f64; count];
        // From idle to nearly full.
        let busy = 0.15 + 0.45 * chance.rand_float();
        let asked = takes
            .iter()
            .map(|t| t * busy * (0.8 + 0.4 * chance.rand_float()))
            .collect();
        let a = chance.rand_range(0..count as u64) as usize;
        let b = (a + 1 + chance.rand_range(0..(count as u64 - 1).max(1)) as usize) % count;
        let trouble = match chance.rand_range(0..10) {
            0..3 => Trouble::Noise,
            3..5 => Trouble::ZoneLost(a),
            5 => Trouble::PairCut(a, b),
            6 => Trouble::ZoneSlow(a),
            7 => Trouble::ObserversOff(a),
            8 if count > 2 => {
                [Trouble::Drain(a), Trouble::TwoZones(a, b)][chance.rand_range(0..2) as usize]
            }
            _ => Trouble::Hostile,
        };
        let observers = 3 + chance.rand_range(0..8) as usize;
        let watches: Vec<_> = (0..count * observers)
            .map(|n| (n % count, ZoneObserver::new((n % count) as u8)))
            .collect();
        let names = ground.zones.iter().map(|z| z.name.clone()).collect();
        let sound = RoutingTable::open(names);
        World {
            now: 100 * SECOND,
            seed,
            decider: FailoverController::new(terms(), ground.zones.clone(), None, 100 * SECOND),
            coming: vec![Vec::new(); watches.len()],
            acts: vec![sound; watches.len()],
            record: None,
            chance,
            ground,
            takes,
            asked,
            service_ms,
            watches,
            trouble,
            drained: BTreeSet::new(),
            on: false,
            breaches: Vec::new(),
            openings: 0,
            leaders: 1,
            tables: 0,
            left_at: None,
        }
    }

    fn breach(&mut self, why: String) {
        let at = self.now as f64 / 1e4;
        self.breaches.push(format!(
            "schedule {}, {:?}, {at:.1} s: {why}",
            self.seed, self.trouble
        ));
    }

    /// Whether what goes from a co-ordinator to a zone comes to nothing.
    fn fails(&self, observer: usize, to: usize) -> bool {
        let (zone, _) = self.watches[observer];
        self.on
            && match self.trouble {
                Trouble::ZoneLost(z) => to == z || zone == z,
                Trouble::TwoZones(a, b) => to == a || to == b || zone == a || zone == b,
                Trouble::PairCut(a, b) => zone == a && to == b || zone == b && to == a,
                Trouble::ObserversOff(z) => zone == z && observer < self.ground.zones.len(),
                _ => false,
            }
    }

    fn poisson(&mut self, mean: f64) -> u32 {
        // By its normal for large means, by its product for small ones.
        if mean > 30.0 {
            let normal: f64 = (0..12).map(|_| self.chance.rand_float()).sum::<f64>() - 6.0;
            return (mean + normal * mean.sqrt()).max(0.0) as u32;
        }
        let (mut n, least) = (0, (-mean).exp());
        let mut product = self.chance.rand_float();
        while product > least && n < 200 {
            product *= self.chance.rand_float();
            n += 1;
        }
        n
    }

    /// Half a second of traffic as all see it.
    fn traffic(&mut self) {
        let count = self.ground.zones.len();
        let each = self.watches.len() / count;
        let burst = if self.chance.rand_range(0..20) == 0 {
            1.3
        } else {
            1.0
        };
        // What truly goes where, each co-ordinator by the table that it acts on.
        let mut flows = vec![vec![0.0; count]; self.watches.len()];
        let mut load = vec![0.0; count];
        for (n, flow) in flows.iter_mut().enumerate() {
            let zone = self.watches[n].0;
            let mut asked = vec![0.0; count];
            asked[zone] = self.asked[zone] / each as f64 * burst;
            *flow = loads(&self.ground, &asked, &self.acts[n].rows)[zone].clone();
            (0..count).for_each(|w| load[w] += flow[w]);
        }
        let replicas = self.ground.replicas.clone();
        for (n, flow) in flows.iter().enumerate() {
            let parts = self.poisson(self.asked[self.watches[n].0] / each as f64 * 0.5 * burst);
            self.watches[n].1.on_query(parts as usize);
            for to in 0..count {
                let ended = self.poisson(flow[to] * 0.5).min(400);
                let slow = matches!(self.trouble, Trouble::ZoneSlow(z) if self.on && z == to);
                let usage = load[to] / (self.takes[to] / if slow { 6.0 } else { 1.0 });
                // A twentieth fails at any time, and more where too much comes.
                let fails = if self.fails(n, to) {
                    1.0
                } else {
                    0.05 + (1.0 - 1.0 / usage.max(1.0))
                };
                let queue = 1.0 / (1.0 - usage.min(0.9));
                let took = self.service_ms * queue * if slow { 6.0 } else { 1.0 };
                for _ in 0..ended {
                    let ending = match self.chance.rand_float() < fails {
                        true => [AttemptOutcome::ConnectionLost, AttemptOutcome::TimedOut]
                            [self.chance.rand_range(0..2) as usize],
                        false => AttemptOutcome::Success,
                    };
                    let took = took * (0.5 + self.chance.rand_float()) * 10.0;
                    let replica =
                        100 * to + self.chance.rand_range(0..replicas[to].into()) as usize;
                    self.watches[n]
                        .1
                        .on_outcome(to as u8, replica, ending, took as TenthMillis);
                }
            }
        }
    }

    fn hostile(&mut self) -> Report {
        let mut report = Report::default();
        let count = self.ground.zones.len() as u64;
        for _ in 0..self.chance.rand_range(0..12) {
            let at = (
                self.chance.rand_range(0..count) as u8,
                self.chance.rand_range(0..count) as u8,
            );
            let voices = self.chance.rand_range(0..9) as u32;
            let ended = self.chance.rand_range(0..1_000) as u32;
            let way = linenthread_zones::RouteStats {
                observers: voices,
                down: (self.chance.rand_range(0..2) as u32) * voices,
                slow: (self.chance.rand_range(0..2) as u32) * voices,
                completed: ended,
                succeeded: self.chance.rand_range(0..u64::from(ended) + 1) as u32,
                latency_sum_ms: self.chance.rand_range(0..100_000),
            };
            report.routes.insert(at, way);
            let demand = Demand {
                observers: 3,
                sub_requests: self.chance.rand_range(0..5_000) as u32,
            };
            report.demand.insert(at.0, demand);
        }
        Report::decode(&report.encode()).expect("as it went")
    }

    fn step(&mut self) {
        self.now += STEP;
        for n in 0..self.watches.len() {
            // Tables come to each in their order, some late.
            let now = self.now;
            while self.coming[n].first().is_some_and(|(at, _)| *at <= now) {
                self.acts[n] = self.coming[n].remove(0).1;
            }
        }
        self.traffic();
        let mut all = Report::default();
        for n in 0..self.watches.len() {
            let report = self.watches[n].1.report(&self.ground.replicas);
            // Some are lost on the way; those of a zone that is lost don't come at all.
            let lost =
                matches!(self.trouble, Trouble::ZoneLost(z) if self.on && self.watches[n].0 == z);
            if !lost && self.chance.rand_range(0..10) > 0 {
                all.add(&report);
            }
        }
        if self.trouble == Trouble::Hostile {
            all.add(&self.hostile());
        }
        self.decider.add_report(&all);
        // Who leads changes at times, and goes on from the record alone.
        if self.chance.rand_range(0..60) == 0 {
            self.leaders += 1;
            self.decider = FailoverController::new(
                terms(),
                self.ground.zones.clone(),
                self.record.as_ref(),
                self.now,
            );
        }
        let (now, ground) = (self.now, self.ground.clone());
        self.decider.set_drained(&self.drained, now);
        if let Some(table) = self.decider.decide(now, 0, &ground) {
            let table = RoutingTable::decode(&table.encode()).expect("as it went");
            let cells = |t: &RoutingTable| t.routes().map(|route| route.share).collect::<Vec<_>>();
            let before = self
                .record
                .as_ref()
                .map_or(vec![ALL_KEYS; ground.zones.len().pow(2)], cells);
            let opens = cells(&table)
                .iter()
                .zip(&before)
                .any(|(new, old)| new > old);
            self.openings += u32::from(opens);
            self.tables += 1;
            if std::env::var_os("SHOW").is_some() {
                println!("{:.1} {:?}", self.now as f64 / 1e4, table.rows);
            }
            for n in 0..self.watches.len() {
                let cut_off = self.trouble == Trouble::ZoneLost(self.watches[n].0) && self.on;
                if !cut_off {
                    let lag = self.chance.rand_range(0..9_000) as TenthMillis;
                    let at = self.coming[n]
                        .last()
                        .map_or(0, |(at, _)| *at)
                        .max(self.now + lag);
                    self.coming[n].push((at, table.clone()));
                }
            }
            self.record = Some(table);
            self.judge_table();
        }
    }

    /// What a table must hold when it is made.
    fn judge_table(&mut self) {
        let Some(table) = self.record.clone() else {
            return;
        };
        let count = self.ground.zones.len();
        let load = loads(&self.ground, &self.asked, &table.rows);
        let usual = loads(
            &self.ground,
            &self.asked,
            &RoutingTable::open(table.zones.clone()).rows,
        );
        // *never-past-room*: by what a zone can truly do, or what it bears anyway when all is sound.
        for to in 0..count {
            let sum = |l: &[Vec<f64>]| l.iter().map(|from| from[to]).sum::<f64>();
            let truly = if matches!(self.trouble, Trouble::ZoneSlow(z) if z == to) {
                f64::INFINITY
            } else {
                self.takes[to]
            };
            // Those of a lost zone's clients ask no more, or elsewhere: never more than all asked for.
            let told = self.ground.zones[to].replica_capacity.is_some();
            if told
                && self.trouble != Trouble::Hostile
                && sum(&load) > truly.max(sum(&usual)) * 1.15
            {
                self.breach(format!(
                    "never-past-room: zone {to} gets {:.0}, takes {truly:.0}, usually gets {:.0}",
                    sum(&load),
                    sum(&usual)
                ));
            }
        }
        let closed = |reasons: &[Reason]| {
            let cell = |f: usize, t: usize| reasons.contains(&table.rows[f].routes[t].reason);
            (0..count)
                .flat_map(|f| (0..count).map(move |t| (f, t)))
                .filter(|(f, t)| cell(*f, *t))
                .collect::<Vec<_>>()
        };
        let left = closed(&[Reason::ZoneDown, Reason::Partitioned]);
        let strays: Vec<_> = left
            .iter()
            .filter(|(f, t)| match self.trouble {
                Trouble::Noise | Trouble::ObserversOff(_) | Trouble::Drain(_) => true,
                // As slow as that it may fail most of what comes.
                Trouble::ZoneSlow(z) => *t != z,
                Trouble::ZoneLost(z) => *t != z && *f != z,
                Trouble::TwoZones(a, b) => *t != a && *t != b && *f != a && *f != b,
                Trouble::PairCut(a, b) => (*f, *t) != (a, b) && (*f, *t) != (b, a),
                Trouble::Hostile => false,
            })
            .copied()
            .collect();
        if !strays.is_empty() {
            self.breach(format!("wrongly left, from and to: {strays:?}"));
        }
        if self.trouble == Trouble::Noise && !closed(&[Reason::Capacity, Reason::Slow]).is_empty() {
            self.breach("near-while-safe: ways are closed though nothing is wrong".into());
        }
    }

    fn shut(&self, from: usize, to: usize) -> bool {
        self.record
            .as_ref()
            .is_some_and(|t| t.rows[from].routes[to].share == 0)
    }

    /// Whether what is to be left is left by the table.
    fn is_left(&self) -> bool {
        let count = self.ground.zones.len();
        match self.trouble {
            Trouble::ZoneLost(z) => (0..count).filter(|f| *f != z).all(|f| self.shut(f, z)),
            Trouble::TwoZones(a, b) => (0..count)
                .filter(|f| *f != a && *f != b)
                .all(|f| self.shut(f, a) && self.shut(f, b)),
            Trouble::PairCut(a, b) => self.shut(a, b) || self.shut(b, a),
            Trouble::Drain(z) => (0..count).all(|f| self.shut(f, z)),
            _ => true,
        }
    }

    fn play(mut self) -> (Vec<String>, Option<TenthMillis>, u32) {
        for _ in 0..40 {
            self.step();
        }
        if self.tables > 0 && self.trouble != Trouble::Hostile {
            self.breach("near-while-safe: a table before anything is wrong".into());
        }
        self.on = true;
        let began = self.now;
        let mut ordered = true;
        if let Trouble::Drain(z) = self.trouble {
            // Where shards lie there alone, the order is refused.
            ordered = self
                .ground
                .may_drain(&format!("z{z}"), &self.drained)
                .is_ok();
            self.drained.extend(ordered.then(|| format!("z{z}")));
        }
        let long = 40 + self.chance.rand_range(0..120) as usize;
        for _ in 0..long {
            self.step();
            if self.left_at.is_none() && self.is_left() {
                self.left_at = Some(self.now - began);
            }
            if self.breaches.len() > 3 {
                break;
            }
        }
        let usual = loads(
            &self.ground,
            &self.asked,
            &RoutingTable::open(vec![String::new(); self.ground.zones.len()]).rows,
        );
        let each = (self.watches.len() / self.ground.zones.len()) as f64;
        // Only where parts enough go that way can it be seen.
        let met = |to: usize, not: usize| {
            (0..usual.len()).any(|f| f != to && f != not && usual[f][to] / each >= 10.0)
        };
        let seen = match self.trouble {
            Trouble::ZoneLost(z) => met(z, z),
            Trouble::TwoZones(a, b) => met(a, b) && met(b, a),
            Trouble::Drain(_) => ordered,
            _ => false,
        };
        if seen && self.left_at.is_none_or(|at| at > 8 * SECOND) {
            self.breach(format!("not left in time: {:?}", self.left_at));
        }
        self.on = false;
        self.drained.clear();
        // All is well again: after the longest hold and all steps, with what wavers meanwhile, all is open.
        if self.trouble != Trouble::Hostile && self.breaches.is_empty() {
            let end = self.now + 2 * (terms().max_hold + 6 * terms().return_step) + 20 * SECOND;
            let open = |w: &World| {
                w.record.as_ref().is_none_or(|t| {
                    t.rows
                        .iter()
                        .flat_map(|r| &r.routes)
                        .all(|route| route.share == ALL_KEYS)
                })
            };
            while self.now < end && !open(&self) {
                self.step();
            }
            if !open(&self) {
                let rows = self.record.as_ref().map(|t| t.rows.clone());
                self.breach(format!("not all open again: {rows:?}"));
            }
        }
        // *no-flap*: 20 openings in a row, one more with each minute, and 5 more with each change of who leads.
        let minutes = (self.now - 100 * SECOND) as f64 / 60e4;
        let bound = 20.0 + minutes + 5.0 * f64::from(self.leaders);
        if f64::from(self.openings) > bound {
            self.breach(format!(
                "no-flap: {} openings in {minutes:.1} minutes",
                self.openings
            ));
        }
        (self.breaches, self.left_at.filter(|_| seen), self.openings)
    }
}

impl Drill {
    pub(crate) fn run(&self) -> (usize, usize) {
        let threads = std::thread::available_parallelism().map_or(1, std::num::NonZero::get) as u64;
        let all: Vec<_> = std::thread::scope(|scope| {
            let part = |thread: u64| {
                let seeds = (self.seed..self.seed + self.schedules as u64)
                    .filter(move |s| s % threads == thread);
                scope.spawn(move || {
                    seeds
                        .map(|seed| World::new(seed).play())
                        .collect::<Vec<_>>()
                })
            };
            let parts: Vec<_> = (0..threads).map(part).collect();
            parts
                .into_iter()
                .flat_map(|p| p.join().expect("a schedule ends"))
                .collect()
        });
        let breaches: Vec<&String> = all.iter().flat_map(|(b, ..)| b).collect();
        breaches
            .iter()
            .take(20)
            .for_each(|why| println!("breach: {why}"));
        let mut left: Vec<TenthMillis> = all.iter().filter_map(|(_, left, _)| *left).collect();
        left.sort_unstable();
        let at = |share: usize| {
            left.get(left.len() * share / 100)
                .map_or(0.0, |t| *t as f64 / 1e4)
        };
        println!(
            "{} zones left, by the record after {:.1} s in the median, {:.1} s at the 99th",
            left.len(),
            at(50),
            at(99)
        );
        (self.schedules, breaches.len())
    }
}
