//! What deciding in common is worth: the same fleet in simulated time, with the same troubles and the same chance,
//! under the design alone, a fixed near preference, each deciding alone by the same rule, deciding in common, and the
//! true state. Replicas have queues, cores and cold starts; the module and the decider are the program's own.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use linenthread_core::interface::{
    AttemptOutcome, AttemptResult, CoordinatorConfig, Idempotency, IndexConfig, Inputs,
    MembershipEntry, MembershipUpdate, NewQuery, NewSubRequest, Permissions, Phase, ProbeResult,
    ShardLayout, SlowStart, TenthMillis, ZoneRoute,
};
use linenthread_core::{Coordinator, DecisionSink};
use linenthread_zones::{
    ALL_KEYS, FailoverConfig, FailoverController, Placement, Reason, Report, Route, RoutingTable,
    Row, Topology, Zone, ZoneObserver, limit_to_capacity,
};
use oorandom::Rand64;

const ZONES: usize = 3;
/// Co-ordinators and replicas in each zone.
const EACH: usize = 4;
const REPLICAS: usize = ZONES * EACH;
const SHARDS: usize = 24;
const CORES: usize = 2;
const SERVICE: f64 = 200.0;
const SECOND: TenthMillis = 10_000;
const SOFT: TenthMillis = 5_000;
const HARD: TenthMillis = 15_000;
const WARM_UP: TenthMillis = 10 * SECOND;
const COLD: f64 = 0.2;
/// The roster tells so long after something has happened.
const LAG: TenthMillis = 2 * SECOND;
const BEGIN: TenthMillis = 15 * SECOND;
const TROUBLE: TenthMillis = 15 * SECOND;
const END: TenthMillis = 60 * SECOND;
const ROUND: TenthMillis = 10;

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Policy {
    Design,
    Near,
    Alone,
    Common,
    Truth,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Trouble {
    Calm,
    ZoneLost,
    ZoneSlow,
    PairCut,
    BackCold,
    Two,
}

const POLICIES: [Policy; 5] = [
    Policy::Design,
    Policy::Near,
    Policy::Alone,
    Policy::Common,
    Policy::Truth,
];
const TROUBLES: [Trouble; 6] = [
    Trouble::Calm,
    Trouble::ZoneLost,
    Trouble::ZoneSlow,
    Trouble::PairCut,
    Trouble::BackCold,
    Trouble::Two,
];

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive {
        call: usize,
    },
    Done {
        replica: usize,
        call: usize,
        life: u32,
    },
    Back {
        call: usize,
        ending: u8,
    },
    TimeOut {
        call: usize,
    },
    Probe {
        from: usize,
        replica: usize,
        ending: u8,
    },
    Lookup {
        from: usize,
    },
    Roster {
        news: usize,
    },
}

const ENDINGS: [AttemptOutcome; 4] = [
    AttemptOutcome::Success,
    AttemptOutcome::ConnectFailed,
    AttemptOutcome::ConnectionLost,
    AttemptOutcome::TimedOut,
];

struct Call {
    from: usize,
    lookup: usize,
    part: usize,
    number: usize,
    replica: usize,
    sent: TenthMillis,
    over: bool,
    waiting: u32,
}

#[derive(Clone, Default)]
struct Replica {
    up: bool,
    life: u32,
    started: Option<TenthMillis>,
    busy: Vec<usize>,
    queue: VecDeque<usize>,
    /// Parts that came within the last second, and since when it gets more than it bears.
    came: VecDeque<TenthMillis>,
    over_since: Option<TenthMillis>,
    fell: bool,
}

struct Lookup {
    soft: TenthMillis,
    calls: Vec<usize>,
}

struct One {
    zone: usize,
    module: Coordinator,
    arrivals: Inputs,
    lookups: Vec<Option<Lookup>>,
    free: Vec<usize>,
    wake: TenthMillis,
    watch: ZoneObserver,
    alone: Option<FailoverController>,
    coming: VecDeque<(TenthMillis, Vec<ZoneRoute>)>,
}

#[derive(Default)]
struct Log {
    calls: Vec<(usize, usize, usize, TenthMillis)>,
    satisfied: Vec<usize>,
    ended: Vec<usize>,
    released: Vec<usize>,
    withdrawn: Vec<(usize, usize, usize)>,
    probes: Vec<usize>,
    wake: Option<TenthMillis>,
}

impl DecisionSink for Log {
    fn send(&mut self, lookup: usize, part: usize, replica: usize, time_out: TenthMillis) {
        self.calls.push((lookup, part, replica, time_out));
    }
    fn cancel(&mut self, lookup: usize, part: usize, call: usize) {
        self.withdrawn.push((lookup, part, call));
    }
    fn respond(&mut self, lookup: usize, _: bool) {
        self.satisfied.push(lookup);
    }
    fn reject(&mut self, lookup: usize, _: Option<TenthMillis>) {
        self.ended.push(lookup);
    }
    fn fail(&mut self, lookup: usize) {
        self.ended.push(lookup);
    }
    fn release(&mut self, lookup: usize) {
        self.released.push(lookup);
    }
    fn close_idle(&mut self, _: usize) {}
    fn probe(&mut self, replica: usize) {
        self.probes.push(replica);
    }
    fn watch_membership(&mut self) {}
    fn wake_at(&mut self, at: TenthMillis) {
        self.wake = Some(at);
    }
}

/// What a run came to.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Outcome {
    pub asked: f64,
    pub served: f64,
    pub parts: f64,
    pub crossing: f64,
    /// Cold replicas that were pushed over.
    pub fell: u32,
    /// From the trouble's beginning to the table that meets it, where one does.
    pub table: Option<TenthMillis>,
}

struct World {
    now: TenthMillis,
    policy: Policy,
    trouble: Trouble,
    chance: Rand64,
    events: BinaryHeap<Reverse<(TenthMillis, u64, Event)>>,
    numbers: u64,
    calls: Vec<Call>,
    replicas: Vec<Replica>,
    ones: Vec<One>,
    news: Vec<Vec<MembershipEntry>>,
    rate: f64,
    decider: FailoverController,
    heard: Report,
    on: bool,
    mended: bool,
    outcome: Outcome,
}

fn names() -> Vec<String> {
    ["palermo", "catania", "messina"]
        .map(str::to_owned)
        .to_vec()
}

fn ground(replicas: &[Replica]) -> Topology {
    let mut counts = vec![0; ZONES];
    (0..REPLICAS)
        .filter(|&r| replicas.get(r).is_some_and(|r| r.up))
        .for_each(|r| counts[r % ZONES] += 1);
    let mut patterns: BTreeMap<Vec<u16>, f64> = BTreeMap::new();
    for shard in 0..SHARDS {
        let mut holders = vec![0; ZONES];
        (0..2).for_each(|k| holders[(shard + k) % REPLICAS % ZONES] += 1);
        *patterns.entry(holders).or_default() += 1.0 / SHARDS as f64;
    }
    let zone = |name: String| Zone {
        name,
        region: "sicily".into(),
        replica_capacity: None,
    };
    Topology {
        zones: names().into_iter().map(zone).collect(),
        replicas: counts,
        placements: patterns
            .into_iter()
            .map(|(holders, share)| Placement {
                replicas: holders,
                share,
            })
            .collect(),
    }
}

fn terms() -> FailoverConfig {
    FailoverConfig {
        capacity_margin: 0.8,
        hold: 5 * SECOND,
        max_hold: 60 * SECOND,
        return_step: 3 * SECOND,
    }
}

fn ways(own: usize, row: Option<&Row>) -> Vec<ZoneRoute> {
    let way = |zone: usize| ZoneRoute {
        id: 77 + zone as u64,
        distance: u8::from(zone != own),
        open_per_mille: row.map_or(ALL_KEYS, |row| row.routes[zone].share),
    };
    (0..ZONES).map(way).collect()
}

impl World {
    fn new(policy: Policy, trouble: Trouble, busy: f64, seed: u64) -> World {
        let deployment = |own_number| CoordinatorConfig {
            coordinator_number: own_number,
            coordinator_count: ZONES * EACH,
            indexes: vec![IndexConfig {
                idempotency: Idempotency::Idempotent,
                soft_deadline: SOFT,
                value: 1.0,
                late_value_share: 0.0,
                complete_share: 1.0,
                min_share: 1.0,
                partial_value: 0.0,
                fetch_sub_requests: 0,
            }],
            customer_quotas: Vec::new(),
            over_quota_value: 0.1,
            value_by_work: false,
            layout: ShardLayout {
                replica_groups: REPLICAS,
                replication_factor: 2,
            },
            permissions: Permissions {
                max_attempts: 3,
                hedging: true,
                cancellation: true,
                health_probes: true,
                max_retry_after: None,
            },
            slow_start: SlowStart {
                initial_share: COLD,
                duration: WARM_UP,
                budget_multiple: 2.0,
                window: SECOND,
            },
            reports_queue: true,
            short_queues: false,
            drain_grace: 0,
            retry_budget: None,
            watch_membership: false,
        };
        let zones = ground(&[]).zones;
        let now = 100 * SECOND;
        let one = |n: usize| One {
            zone: n % ZONES,
            module: Coordinator::new(deployment(n), seed.wrapping_mul(31) + n as u64),
            arrivals: Inputs::default(),
            lookups: Vec::new(),
            free: Vec::new(),
            wake: now,
            watch: ZoneObserver::new((n % ZONES) as u8),
            alone: None,
            coming: VecDeque::new(),
        };
        let replicas = vec![
            Replica {
                up: true,
                ..Replica::default()
            };
            REPLICAS
        ];
        let takes = REPLICAS as f64 * CORES as f64 / SERVICE;
        let mut world = World {
            now,
            policy,
            trouble,
            chance: Rand64::new(u128::from(seed)),
            events: BinaryHeap::new(),
            numbers: 0,
            calls: Vec::new(),
            replicas,
            ones: (0..ZONES * EACH).map(one).collect(),
            news: Vec::new(),
            // Lookups of three parts, a tenth of a millisecond, at one co-ordinator.
            rate: takes * busy / 3.0 / (ZONES * EACH) as f64,
            decider: FailoverController::new(terms(), zones, None, now),
            heard: Report::default(),
            on: false,
            mended: false,
            outcome: Outcome::default(),
        };
        let all: Vec<MembershipEntry> = (0..REPLICAS)
            .map(|r| world.listed(r, Phase::Ready))
            .collect();
        for one in &mut world.ones {
            one.arrivals
                .membership
                .push(MembershipUpdate::Snapshot(all.clone()));
            if policy != Policy::Design {
                one.arrivals.zone_routes = Some(ways(one.zone, None));
            }
        }
        for from in 0..world.ones.len() {
            world.next_lookup(from);
        }
        world
    }

    fn listed(&self, r: usize, phase: Phase) -> MembershipEntry {
        MembershipEntry {
            replica: r,
            id: 1_000 + r as u64,
            replica_group: r,
            zone: r % ZONES,
            phase,
            started_at: self.replicas[r].started,
            slow_start_share: None,
        }
    }

    fn after(&mut self, wait: TenthMillis, event: Event) {
        self.numbers += 1;
        self.events
            .push(Reverse((self.now + wait.max(1), self.numbers, event)));
    }

    fn next_lookup(&mut self, from: usize) {
        let wait = -(1.0 - self.chance.rand_float()).ln() / self.rate;
        self.after(wait as TenthMillis, Event::Lookup { from });
    }

    /// Zones that are out of order by the trouble: lost, slow, the pair that is cut.
    fn lost(&self, zone: usize) -> bool {
        self.on
            && matches!(
                self.trouble,
                Trouble::ZoneLost | Trouble::BackCold | Trouble::Two
            )
            && zone == 2
    }

    fn slow(&self, zone: usize) -> bool {
        self.on
            && (self.trouble == Trouble::ZoneSlow && zone == 2
                || self.trouble == Trouble::Two && zone == 1)
    }

    fn cut(&self, a: usize, b: usize) -> bool {
        self.on && self.trouble == Trouble::PairCut && (a, b).min((b, a)) == (1, 2)
    }

    fn way(&self, from: usize, replica: usize) -> TenthMillis {
        if self.ones[from].zone == replica % ZONES {
            5
        } else {
            25
        }
    }

    /// The share of its full work that a replica does now.
    fn strength(&self, r: usize) -> f64 {
        let cold = self.replicas[r].started.map_or(1.0, |at| {
            let age = (self.now - at).max(0) as f64 / WARM_UP as f64;
            (COLD + (1.0 - COLD) * age).min(1.0)
        });
        cold / if self.slow(r % ZONES) { 6.0 } else { 1.0 }
    }

    fn begin(&mut self, r: usize) {
        let strength = self.strength(r);
        while self.replicas[r].busy.len() < CORES
            && let Some(call) = self.replicas[r].queue.pop_front()
        {
            // What was given up is not begun.
            if self.calls[call].over {
                continue;
            }
            let takes = SERVICE / strength * (0.5 + self.chance.rand_float());
            self.replicas[r].busy.push(call);
            let life = self.replicas[r].life;
            self.after(
                takes as TenthMillis,
                Event::Done {
                    replica: r,
                    call,
                    life,
                },
            );
        }
    }

    /// A cold replica that gets more than twice what it can do for a second falls over and stays down.
    fn press(&mut self, r: usize) {
        let now = self.now;
        let strength = self.strength(r);
        let replica = &mut self.replicas[r];
        replica.came.push_back(now);
        while replica.came.front().is_some_and(|at| *at < now - SECOND) {
            replica.came.pop_front();
        }
        let bears = 2.0 * strength * CORES as f64 / SERVICE * SECOND as f64;
        let cold = replica.started.is_some_and(|at| now - at < WARM_UP);
        if !cold || (replica.came.len() as f64) <= bears {
            replica.over_since = None;
        } else if now - *replica.over_since.get_or_insert(now) >= SECOND && !replica.fell {
            replica.fell = true;
            self.outcome.fell += 1;
            self.stop(r);
        }
    }

    fn stop(&mut self, r: usize) {
        let replica = &mut self.replicas[r];
        replica.up = false;
        replica.life += 1;
        let out: Vec<usize> = replica
            .busy
            .drain(..)
            .chain(replica.queue.drain(..))
            .collect();
        for call in out {
            let wait = self.way(self.calls[call].from, r);
            self.after(wait, Event::Back { call, ending: 2 });
        }
    }

    fn tell_roster(&mut self, listed: Vec<MembershipEntry>) {
        self.news.push(listed);
        let news = self.news.len() - 1;
        self.after(LAG, Event::Roster { news });
    }

    fn end_call(&mut self, call: usize, ending: AttemptOutcome) {
        if std::mem::replace(&mut self.calls[call].over, true) {
            return;
        }
        let Call {
            from,
            lookup,
            part,
            number,
            replica,
            sent,
            waiting,
            ..
        } = self.calls[call];
        let took = self.now - sent;
        let queue = (ending == AttemptOutcome::Success).then_some(f64::from(waiting));
        let one = &mut self.ones[from];
        one.watch
            .on_outcome((replica % ZONES) as u8, replica, ending, took);
        one.arrivals.results.push(AttemptResult {
            query: lookup,
            sub_request: part,
            attempt: number,
            outcome: ending,
            elapsed: took,
            queue_depth: queue,
        });
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Lookup { from } => {
                self.next_lookup(from);
                // A lost zone's clients are lost with it.
                if self.lost(self.ones[from].zone) {
                    return;
                }
                let first = self.chance.rand_range(0..SHARDS as u64) as usize;
                let key = self.chance.rand_range(0..5_000);
                let now = self.now;
                let one = &mut self.ones[from];
                let lookup = one.free.pop().unwrap_or_else(|| {
                    one.lookups.push(None);
                    one.lookups.len() - 1
                });
                one.lookups[lookup] = Some(Lookup {
                    soft: now + SOFT,
                    calls: Vec::new(),
                });
                one.watch.on_query(3);
                let hard_deadline = now + HARD;
                one.arrivals.queries.push(NewQuery {
                    query: lookup,
                    index: 0,
                    customer: 0,
                    key: Some(key),
                    sequence_number: self.numbers,
                    hard_deadline,
                });
                let parts = (0..3).map(|k| NewSubRequest {
                    query: lookup,
                    shard: (first + 7 * k) % SHARDS,
                    weight: 1.0 / 3.0,
                });
                one.arrivals.sub_requests.extend(parts);
                self.outcome.asked += f64::from(u8::from(now >= 100 * SECOND + BEGIN));
            }
            Event::Arrive { call } => {
                let r = self.calls[call].replica;
                if !self.replicas[r].up {
                    let wait = self.way(self.calls[call].from, r);
                    self.after(wait, Event::Back { call, ending: 1 });
                    return;
                }
                self.calls[call].waiting = self.replicas[r].queue.len() as u32;
                self.replicas[r].queue.push_back(call);
                self.press(r);
                self.begin(r);
            }
            Event::Done {
                replica,
                call,
                life,
            } => {
                if self.replicas[replica].life == life {
                    self.replicas[replica].busy.retain(|c| *c != call);
                    let from = self.calls[call].from;
                    if !self.cut(self.ones[from].zone, replica % ZONES) {
                        let wait = self.way(from, replica);
                        self.after(wait, Event::Back { call, ending: 0 });
                    }
                    self.begin(replica);
                }
            }
            Event::Back { call, ending } => self.end_call(call, ENDINGS[usize::from(ending)]),
            Event::TimeOut { call } => self.end_call(call, AttemptOutcome::TimedOut),
            Event::Probe {
                from,
                replica,
                ending,
            } => {
                let ending = ENDINGS[usize::from(ending)];
                let queue = (ending == AttemptOutcome::Success)
                    .then(|| self.replicas[replica].queue.len() as f64);
                let one = &mut self.ones[from];
                one.watch
                    .on_outcome((replica % ZONES) as u8, replica, ending, 30);
                one.arrivals.probes.push(ProbeResult {
                    replica,
                    outcome: ending,
                    queue_depth: queue,
                });
            }
            Event::Roster { news } => {
                let listed = self.news[news].clone();
                self.ones.iter_mut().for_each(|o| {
                    o.arrivals
                        .membership
                        .push(MembershipUpdate::Delta(listed.clone()));
                });
            }
        }
    }

    fn round(&mut self, n: usize) {
        let now = self.now;
        let one = &mut self.ones[n];
        while one.coming.front().is_some_and(|(at, _)| *at <= now) {
            one.arrivals.zone_routes = one.coming.pop_front().map(|(_, ways)| ways);
        }
        let mut arrivals = std::mem::take(&mut one.arrivals);
        arrivals.now = now;
        let mut log = Log::default();
        one.module.step(&arrivals, &mut log);
        if let Some(wake) = log.wake {
            one.wake = wake;
        }
        for lookup in log.satisfied {
            if let Some(Some(l)) = self.ones[n].lookups.get(lookup)
                && now <= l.soft
                && l.soft - SOFT >= 100 * SECOND + BEGIN
            {
                self.outcome.served += 1.0;
            }
        }
        for (lookup, part, replica, time_out) in log.calls {
            let call = self.calls.len();
            let Some(Some(l)) = self.ones[n].lookups.get_mut(lookup) else {
                continue;
            };
            let number = l
                .calls
                .iter()
                .filter(|&&c| self.calls[c].part == part)
                .count();
            l.calls.push(call);
            self.calls.push(Call {
                from: n,
                lookup,
                part,
                number,
                replica,
                sent: now,
                over: false,
                waiting: 0,
            });
            self.outcome.parts += 1.0;
            self.outcome.crossing += f64::from(u8::from(self.ones[n].zone != replica % ZONES));
            self.after(time_out, Event::TimeOut { call });
            if !self.cut(self.ones[n].zone, replica % ZONES) {
                let wait = self.way(n, replica);
                self.after(wait, Event::Arrive { call });
            }
        }
        for (lookup, part, number) in log.withdrawn {
            let Some(Some(l)) = self.ones[n].lookups.get(lookup) else {
                continue;
            };
            let it = |c: &&usize| self.calls[**c].part == part && self.calls[**c].number == number;
            if let Some(&call) = l.calls.iter().find(it) {
                self.end_call(call, AttemptOutcome::Cancelled);
            }
        }
        for replica in log.probes {
            let cut = self.cut(self.ones[n].zone, replica % ZONES);
            let (wait, ending) = match (cut, self.replicas[replica].up) {
                (true, _) => (1_000, 3),
                (_, false) => (2 * self.way(n, replica), 1),
                _ => (2 * self.way(n, replica) + 5, 0),
            };
            self.after(
                wait,
                Event::Probe {
                    from: n,
                    replica,
                    ending,
                },
            );
        }
        for lookup in log.released {
            self.ones[n].lookups[lookup] = None;
            self.ones[n].free.push(lookup);
        }
    }

    /// What the trouble does, and its end.
    fn turn(&mut self) {
        let at = self.now - 100 * SECOND;
        if !self.on && !self.mended && at >= BEGIN && self.trouble != Trouble::Calm {
            self.on = true;
            let lost: Vec<usize> = (0..REPLICAS).filter(|r| self.lost(r % ZONES)).collect();
            lost.iter().for_each(|&r| self.stop(r));
            let listed = lost
                .iter()
                .map(|&r| self.listed(r, Phase::Removed))
                .collect();
            self.tell_roster(listed);
        }
        let length = if self.trouble == Trouble::BackCold {
            TROUBLE / 3
        } else {
            TROUBLE
        };
        if self.on && at >= BEGIN + length {
            let lost: Vec<usize> = (0..REPLICAS).filter(|r| self.lost(r % ZONES)).collect();
            (self.on, self.mended) = (false, true);
            for &r in &lost {
                self.replicas[r] = Replica {
                    up: true,
                    started: Some(self.now),
                    life: self.replicas[r].life,
                    ..Replica::default()
                };
            }
            let listed = lost.iter().map(|&r| self.listed(r, Phase::Ready)).collect();
            self.tell_roster(listed);
        }
    }

    /// Half a second's reports, and what is decided on them.
    fn decide(&mut self) {
        let ground = ground(&self.replicas);
        let mut all = Report::default();
        for n in 0..self.ones.len() {
            let report = self.ones[n].watch.report(&ground.replicas);
            if self.policy == Policy::Alone {
                let (now, zones) = (self.now, ground.zones.clone());
                let one = &mut self.ones[n];
                let decider = one
                    .alone
                    .get_or_insert_with(|| FailoverController::new(terms(), zones, None, now));
                decider.add_report(&report);
                if let Some(table) = decider.decide(now, 0, &ground) {
                    one.coming
                        .push_back((now, ways(one.zone, table.rows.get(one.zone))));
                }
            }
            if !self.lost(self.ones[n].zone) {
                all.add(&report);
            }
        }
        let mut table: Option<RoutingTable> = None;
        match self.policy {
            Policy::Common => {
                self.heard.add(&all);
                // Who leads is lost with the zone in a third of the cases: then nobody decides for two seconds.
                let leaderless =
                    self.on && self.now - 100 * SECOND < BEGIN + 2 * SECOND && self.lost(2);
                if !leaderless {
                    self.decider.add_report(&std::mem::take(&mut self.heard));
                    table = self.decider.decide(self.now, 0, &ground);
                }
            }
            Policy::Truth => {
                let mut rows = RoutingTable::open(names()).rows;
                for (from, row) in rows.iter_mut().enumerate() {
                    for (to, route) in row.routes.iter_mut().enumerate() {
                        if self.lost(to) || self.cut(from, to) {
                            *route = Route::closed(Reason::ZoneDown);
                        }
                    }
                }
                let asked = vec![self.rate * 3.0 * EACH as f64; ZONES];
                let room: Vec<f64> = (0..ZONES)
                    .map(|z| {
                        let of = (0..REPLICAS).filter(|r| r % ZONES == z && self.replicas[*r].up);
                        of.map(|r| 0.95 * self.strength(r) * CORES as f64 / SERVICE)
                            .sum()
                    })
                    .collect();
                if self.on || self.mended {
                    limit_to_capacity(&ground, &asked, &room, &mut rows);
                }
                table = Some(RoutingTable {
                    rows,
                    ..RoutingTable::open(names())
                });
            }
            _ => {}
        }
        if let Some(table) = table {
            let closed = table
                .rows
                .iter()
                .flat_map(|r| &r.routes)
                .any(|route| route.share == 0);
            if closed && self.on && self.outcome.table.is_none() {
                self.outcome.table = Some(self.now - 100 * SECOND - BEGIN);
            }
            for n in 0..self.ones.len() {
                let lag = if self.policy == Policy::Truth {
                    0
                } else {
                    3_000 + self.chance.rand_range(0..1_000) as TenthMillis
                };
                let one = &mut self.ones[n];
                one.coming
                    .push_back((self.now + lag, ways(one.zone, table.rows.get(one.zone))));
            }
        }
    }

    fn play(mut self) -> Outcome {
        let (mut decide_at, end) = (self.now + 5_000, self.now + END);
        while self.now < end {
            self.now += ROUND;
            while self
                .events
                .peek()
                .is_some_and(|Reverse((at, ..))| *at <= self.now)
            {
                let Some(Reverse((_, _, event))) = self.events.pop() else {
                    break;
                };
                self.happen(event);
            }
            self.turn();
            if self.now >= decide_at {
                decide_at += 5_000;
                self.decide();
            }
            for n in 0..self.ones.len() {
                let one = &self.ones[n];
                let arrivals = &one.arrivals;
                let came = !(arrivals.queries.is_empty()
                    && arrivals.results.is_empty()
                    && arrivals.probes.is_empty()
                    && arrivals.membership.is_empty());
                if came || one.wake <= self.now || !one.coming.is_empty() {
                    self.round(n);
                }
            }
        }
        self.outcome
    }
}

/// Plays all; how many comparisons, and in how many deciding in common is worse than the best of the others that
/// know no more by over 0.01.
pub(crate) fn run(seeds: usize, seed: u64) -> (usize, usize) {
    let mut breaches = 0;
    let mut checked = 0;
    for busy in [0.45, 0.6] {
        println!(
            "replicas busy to {busy}: share of gain served, of parts that cross, cold replicas pushed over"
        );
        println!(
            "{:10} {:>20} {:>20} {:>20} {:>20} {:>20}  table after",
            "", "design alone", "near, fixed", "each alone", "in common", "true state"
        );
        for trouble in TROUBLES {
            let all: Vec<Vec<Outcome>> = std::thread::scope(|scope| {
                let one = |policy| {
                    scope.spawn(move || {
                        (0..seeds as u64)
                            .map(|s| World::new(policy, trouble, busy, seed + s).play())
                            .collect::<Vec<_>>()
                    })
                };
                let all: Vec<_> = POLICIES.into_iter().map(one).collect();
                all.into_iter()
                    .map(|t| t.join().expect("a run ends"))
                    .collect()
            });
            let sum = |of: &[Outcome], get: fn(&Outcome) -> f64| of.iter().map(get).sum::<f64>();
            let served: Vec<f64> = all
                .iter()
                .map(|o| sum(o, |o| o.served) / sum(o, |o| o.asked).max(1.0))
                .collect();
            let cell = |n: usize| {
                let crossing = sum(&all[n], |o| o.crossing) / sum(&all[n], |o| o.parts).max(1.0);
                format!(
                    "{:.3} {:.2} {}",
                    served[n],
                    crossing,
                    sum(&all[n], |o| f64::from(o.fell))
                )
            };
            let mut tables: Vec<TenthMillis> = all[3].iter().filter_map(|o| o.table).collect();
            tables.sort_unstable();
            let table = tables
                .get(tables.len() / 2)
                .map_or("-".into(), |t| format!("{:.1} s", *t as f64 / 1e4));
            let cells: Vec<String> = (0..POLICIES.len())
                .map(|n| format!("{:>20}", cell(n)))
                .collect();
            println!("{:10} {}  {table}", format!("{trouble:?}"), cells.join(" "));
            checked += 1;
            let best = served[..3].iter().copied().fold(0.0, f64::max);
            breaches += usize::from(served[3] < best - 0.01);
        }
    }
    (checked, breaches)
}
