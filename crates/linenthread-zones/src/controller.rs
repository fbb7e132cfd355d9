//! The decisions for the whole fleet, made by its leader once per interval.
//!
//! | a zone is | effect on the routes there | next state when |
//! | --- | --- | --- |
//! | healthy | open | a majority of those who see it finds it down in two consecutive evaluations: ejected. It finds it slow: slow |
//! | slow | open as far as its capacity at its present latency goes | nobody finds it slow for a hold: healthy |
//! | ejected | closed | its hold has passed: returning. A hold is twice the one before, up to a maximum |
//! | returning | open to 5, 15, 40 keys of a hundred, for the time of a step each | all steps are done: healthy. Found down: ejected |
//! | drained | closed by an operator | the operator ends it: returning |
//!
//! A pair of zones is partitioned while the remote one is not ejected and a majority in the local one finds it down:
//! the route between them goes through the same states by itself. So an observer that is itself cut off is outvoted in
//! its own zone, and a zone that only one other cannot reach is not ejected for all.

use std::collections::{BTreeMap, BTreeSet};

use linenthread_core::interface::TenthMillis;

use crate::health::{FailoverConfig, Health, RETURN_SHARES, State};
use crate::load::{limit_to_capacity, loads};
use crate::report::{Report, RouteStats};
use crate::table::{Reason, Route, RoutingTable, Row};
use crate::topology::{Topology, Zone};
use crate::{ALL_KEYS, MAX_ZONES};

/// Evidence is collected for so long before it is evaluated.
pub const EVALUATION_INTERVAL: TenthMillis = 10_000;
const TENTHS_PER_SECOND: f64 = 10_000.0;
/// How often routes may be opened further: this many times in a row, and once more with each minute that passes.
const MAX_OPENINGS: f64 = 20.0;
/// A new leader may open routes so often at first.
const INITIAL_OPENINGS: f64 = 5.0;
const MINUTE: TenthMillis = 600_000;
/// Shares that differ by less than this part are not worth a new table.
const MIN_RELATIVE_CHANGE: f64 = 0.05;
/// The measured demand falls by this part of the difference with each evaluation.
const DEMAND_DECAY: f64 = 0.1;
/// With fewer successes in an interval a zone's latency is not measured.
const MIN_SUCCEEDED: f64 = 20.0;
/// The shortest mean latency that is told apart, in milliseconds.
const MIN_LATENCY_MS: f64 = 0.1;
/// A latency above this many times the usual one does not change the usual one.
const MAX_USUAL_RATIO: f64 = 1.5;
/// The usual latency follows the present one by this part of the difference.
const USUAL_LATENCY_GAIN: f64 = 0.02;
/// The least part of its capacity that a slow zone is taken to have.
const MIN_SLOW_CAPACITY: f64 = 0.1;

/// A zone's mean latency in milliseconds; 0 while it was never measured.
#[derive(Clone, Copy, Debug, Default)]
struct Latency {
    usual_ms: f64,
    current_ms: f64,
}

impl Latency {
    fn measure(&mut self, mean_ms: f64) {
        self.current_ms = mean_ms;
        if self.usual_ms == 0.0 {
            self.usual_ms = mean_ms;
        }
        if mean_ms <= MAX_USUAL_RATIO * self.usual_ms {
            self.usual_ms += USUAL_LATENCY_GAIN * (mean_ms - self.usual_ms);
        }
    }

    /// The part of its capacity that a zone of this latency has.
    fn capacity_part(&self) -> f64 {
        let part = self.usual_ms / self.current_ms.max(MIN_LATENCY_MS);
        part.clamp(MIN_SLOW_CAPACITY, 1.0)
    }
}

/// Limits how often routes are opened further.
#[derive(Clone, Debug)]
struct OpeningBudget {
    openings: f64,
    refilled_at: TenthMillis,
    opened_at: TenthMillis,
}

impl OpeningBudget {
    fn new(now: TenthMillis) -> OpeningBudget {
        OpeningBudget {
            openings: INITIAL_OPENINGS,
            refilled_at: now,
            opened_at: now,
        }
    }

    fn refill(&mut self, now: TenthMillis) {
        self.openings += (now - self.refilled_at) as f64 / MINUTE as f64;
        self.openings = self.openings.min(MAX_OPENINGS);
        self.refilled_at = now;
    }

    fn spend(&mut self, now: TenthMillis) {
        self.openings -= 1.0;
        self.opened_at = now;
    }
}

/// A majority's opinion of a zone from one zone of clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Opinion {
    Reachable,
    Down,
    /// Too few have an opinion.
    Unknown,
}

impl Opinion {
    /// `observers` are all coordinators in the zone of clients: a few that see nothing are themselves cut off.
    fn new(stats: &RouteStats, observers: u32) -> Opinion {
        let is_down = is_majority(stats.down, stats.observers);
        if is_down && is_majority(stats.down, observers) {
            Opinion::Down
        } else if !is_down && stats.observers > 0 {
            Opinion::Reachable
        } else {
            Opinion::Unknown
        }
    }
}

fn is_majority(part: u32, all: u32) -> bool {
    all > 0 && 2 * part > all
}

/// One interval's evidence, by zone index.
struct Evidence<'a> {
    report: &'a Report,
    count: usize,
}

impl Evidence<'_> {
    fn stats(&self, from: usize, to: usize) -> RouteStats {
        let zones = (from as u8, to as u8);
        self.report.routes.get(&zones).copied().unwrap_or_default()
    }

    fn opinion(&self, from: usize, to: usize) -> Opinion {
        let demand = self.report.demand.get(&(from as u8));
        let observers = demand.map_or(0, |demand| demand.observers);
        Opinion::new(&self.stats(from, to), observers)
    }

    /// A zone that reaches nothing, itself neither, has no say on others: it is what is cut off.
    fn is_isolated(&self, from: usize) -> bool {
        !(0..self.count).any(|to| self.opinion(from, to) == Opinion::Reachable)
    }

    /// How many other zones find a zone down, and how many find it reachable.
    fn votes(&self, to: usize) -> Votes {
        let mut votes = Votes::default();
        for from in (0..self.count).filter(|from| *from != to && !self.is_isolated(*from)) {
            match self.opinion(from, to) {
                Opinion::Down => votes.down += 1,
                Opinion::Reachable => votes.reachable += 1,
                Opinion::Unknown => {}
            }
        }
        votes
    }

    /// Whether a zone is down. One that its own coordinators reach is not, however many others do not reach it.
    fn is_down(&self, to: usize, votes: Votes) -> bool {
        match self.opinion(to, to) {
            Opinion::Reachable => false,
            Opinion::Down => votes.down > votes.reachable || votes.reachable == 0,
            Opinion::Unknown => votes.down > votes.reachable,
        }
    }

    /// Whether a majority of all who reach a zone finds it slow.
    fn is_slow(&self, to: usize) -> bool {
        let (slow, observers) = (0..self.count).map(|from| self.stats(from, to)).fold(
            (0, 0),
            |(slow, observers), stats| {
                (slow + stats.slow, observers + stats.observers - stats.down)
            },
        );
        is_majority(slow, observers)
    }
}

/// How many other zones find a zone down or reachable.
#[derive(Clone, Copy, Debug, Default)]
struct Votes {
    down: usize,
    reachable: usize,
}

/// Decides for the whole fleet.
#[derive(Clone, Debug)]
pub struct FailoverController {
    config: FailoverConfig,
    zones: Vec<Zone>,
    /// By zone.
    health: Vec<Health>,
    /// Routes between pairs of zones that are, or were lately, partitioned.
    pairs: BTreeMap<(usize, usize), Health>,
    /// What was reported in this interval.
    report: Report,
    interval_started_at: TenthMillis,
    /// By zone of clients, sub-requests a second.
    demand: Vec<f64>,
    /// By zone of replicas.
    latency: Vec<Latency>,
    /// The current table's.
    rows: Vec<Row>,
    budget: OpeningBudget,
}

impl FailoverController {
    /// Takes over from a former leader: what its last table had ejected is ejected for a hold from now on, and what
    /// was returning goes on from its step.
    pub fn new(
        config: FailoverConfig,
        mut zones: Vec<Zone>,
        former: Option<&RoutingTable>,
        now: TenthMillis,
    ) -> FailoverController {
        zones.truncate(MAX_ZONES);
        let count = zones.len();
        let names: Vec<String> = zones.iter().map(|zone| zone.name.clone()).collect();
        let former = former.filter(|table| table.zones == names && table.rows.len() == count);
        let rows = match former {
            Some(table) => table.rows.clone(),
            None => RoutingTable::open(names).rows,
        };
        let mut controller = FailoverController {
            health: vec![Health::new(State::Healthy, now); count],
            pairs: BTreeMap::new(),
            report: Report::default(),
            interval_started_at: now,
            demand: vec![0.0; count],
            latency: vec![Latency::default(); count],
            rows,
            budget: OpeningBudget::new(now),
            config,
            zones,
        };
        controller.restore_health(now);
        controller
    }

    /// Restores the states from the routes of a former table.
    fn restore_health(&mut self, now: TenthMillis) {
        let count = self.zones.len();
        for from in 0..count {
            for to in 0..count {
                let route = self.rows[from].routes[to];
                let health = restored_health(route, now, &self.config);
                // A reason that is the same for all zones of clients is the zone's own.
                let is_of_zone = self
                    .rows
                    .iter()
                    .all(|row| row.routes[to].reason == route.reason);
                if is_of_zone && route.reason != Reason::Partitioned {
                    self.health[to] = health;
                } else if matches!(route.reason, Reason::Partitioned | Reason::Returning) {
                    self.pairs.insert((from, to), health);
                }
            }
        }
    }

    /// Adds what others observed.
    pub fn add_report(&mut self, report: &Report) {
        self.report.add(report);
    }

    /// When [`FailoverController::decide`] has something to evaluate.
    pub fn wake_at(&self) -> TenthMillis {
        self.interval_started_at + EVALUATION_INTERVAL
    }

    /// The current routes, by zone of clients.
    pub fn rows(&self) -> &[Row] {
        &self.rows
    }

    /// Sets which zones operators drain; those that are no longer named return.
    pub fn set_drained(&mut self, drained: &BTreeSet<String>, now: TenthMillis) {
        for (zone, health) in self.zones.iter().zip(&mut self.health) {
            if drained.contains(&zone.name) {
                health.state = State::Drained;
            } else if health.state == State::Drained {
                health.state = State::returning(now, &self.config);
            }
        }
    }

    /// Evaluates the interval if it is over, and returns the table to be replicated where that changes a route.
    pub fn decide(
        &mut self,
        now: TenthMillis,
        valid_from_ms: u64,
        topology: &Topology,
    ) -> Option<RoutingTable> {
        if now < self.wake_at() || topology.zones.len() != self.zones.len() {
            return None;
        }
        let report = std::mem::take(&mut self.report);
        let seconds = (now - self.interval_started_at) as f64 / TENTHS_PER_SECOND;
        self.interval_started_at = now;
        self.measure(&report, seconds);
        self.evaluate(&report, now);
        let rows = self.routes(topology);
        self.adopt(rows, now).then(|| self.table(valid_from_ms))
    }

    /// The current routes as a table.
    pub fn table(&self, valid_from_ms: u64) -> RoutingTable {
        RoutingTable {
            valid_from_ms,
            zones: self.zones.iter().map(|zone| zone.name.clone()).collect(),
            rows: self.rows.clone(),
        }
    }

    /// Measures demand and latency.
    fn measure(&mut self, report: &Report, seconds: f64) {
        for zone in 0..self.zones.len() {
            let demand = report.demand.get(&(zone as u8));
            let demand = demand.map_or(0.0, |demand| f64::from(demand.sub_requests) / seconds);
            // Up at once, down slowly: some reports are lost, and what comes in bursts comes again.
            let before = self.demand[zone];
            self.demand[zone] = demand.max(before + DEMAND_DECAY * (demand - before));
            let routes = || {
                let routes = report.routes.iter();
                let to_zone = routes.filter(|((_, to), _)| usize::from(*to) == zone);
                to_zone.map(|(_, stats)| stats)
            };
            let succeeded: f64 = routes().map(|stats| f64::from(stats.succeeded)).sum();
            let latency_sum_ms: f64 = routes().map(|stats| stats.latency_sum_ms as f64).sum();
            if succeeded >= MIN_SUCCEEDED {
                let mean_ms = (latency_sum_ms / succeeded).max(MIN_LATENCY_MS);
                self.latency[zone].measure(mean_ms);
            }
        }
    }

    /// Evaluates each zone and each pair.
    fn evaluate(&mut self, report: &Report, now: TenthMillis) {
        let count = self.zones.len();
        let evidence = Evidence { report, count };
        for to in 0..count {
            let votes = evidence.votes(to);
            let is_down = evidence.is_down(to, votes);
            let health = &mut self.health[to];
            health.evaluate(now, is_down, &self.config);
            health.evaluate_latency(now, evidence.is_slow(to), &self.config);
            let is_serving = health.state.is_serving() && !is_down;
            for from in 0..count {
                // Its own coordinators alone do not make a zone partitioned from itself, unless others outvote them.
                let may_be_partitioned = from != to || votes.reachable > votes.down;
                let is_partitioned =
                    is_serving && may_be_partitioned && evidence.opinion(from, to) == Opinion::Down;
                self.evaluate_pair((from, to), is_partitioned, now);
            }
        }
    }

    fn evaluate_pair(&mut self, pair: (usize, usize), is_partitioned: bool, now: TenthMillis) {
        if !is_partitioned && !self.pairs.contains_key(&pair) {
            return;
        }
        let healthy = Health::new(State::Healthy, now);
        let health = self.pairs.entry(pair).or_insert(healthy);
        health.evaluate(now, is_partitioned, &self.config);
        if health.is_unremarkable() {
            self.pairs.remove(&pair);
        }
    }

    /// The sub-requests a second that a zone can process, as configured; less for one that is slow. What could be
    /// measured instead, from the shortest latencies and the greatest throughput, is less than what replicas of several
    /// cores can process: rejecting by it cost a sixth of the value where all requests would have fitted (simulation
    /// of failover). So where capacity is not configured no route is closed for it, and each coordinator sheds by
    /// itself what is too much.
    fn capacity(&self, topology: &Topology, zone: usize) -> f64 {
        let configured = topology.zones[zone].replica_capacity;
        let capacity = configured.map_or(f64::INFINITY, |each| {
            each * f64::from(topology.replicas[zone]) * self.config.capacity_margin
        });
        match self.health[zone].state {
            State::Slow { .. } => capacity * self.latency[zone].capacity_part(),
            _ => capacity,
        }
    }

    /// The routes as the states have them, narrowed as far as capacity requires. While all is healthy none is: peaks
    /// are then borne by each coordinator by itself.
    fn routes(&self, topology: &Topology) -> Vec<Row> {
        let count = self.zones.len();
        let row = |from: usize| Row {
            routes: (0..count).map(|to| self.route(from, to)).collect(),
        };
        let mut rows: Vec<Row> = (0..count).map(row).collect();
        let mut routes = rows.iter().flat_map(|row| &row.routes);
        if routes.any(|route| route.reason != Reason::Healthy) {
            let capacity = self.capacities(topology);
            limit_to_capacity(topology, &self.demand, &capacity, &mut rows);
        }
        rows
    }

    fn route(&self, from: usize, to: usize) -> Route {
        let zone = &self.health[to];
        let pair = self.pairs.get(&(from, to));
        let share = pair.map_or(ALL_KEYS, Health::share);
        match zone.state {
            State::Drained => Route::closed(Reason::Drained),
            State::Ejected { .. } => Route::closed(Reason::ZoneDown),
            State::Returning { .. } => Route {
                share: zone.share(),
                reason: Reason::Returning,
            },
            _ if share == 0 => Route::closed(Reason::Partitioned),
            _ if share < ALL_KEYS => Route {
                share,
                reason: Reason::Returning,
            },
            State::Slow { .. } => Route {
                share: ALL_KEYS,
                reason: Reason::Slow,
            },
            State::Healthy => Route::OPEN,
        }
    }

    /// The capacity of each zone. What a zone bears while all is healthy it bears now, unless it is slow.
    fn capacities(&self, topology: &Topology) -> Vec<f64> {
        let count = self.zones.len();
        let open = RoutingTable::open(vec![String::new(); count]).rows;
        let usual = loads(topology, &self.demand, &open);
        let capacity_of = |zone: usize| {
            let capacity = self.capacity(topology, zone);
            let usual_load: f64 = usual.iter().map(|from| from[zone]).sum();
            let is_slow = matches!(self.health[zone].state, State::Slow { .. });
            if is_slow || topology.zones[zone].replica_capacity.is_some() {
                capacity
            } else {
                capacity.max(usual_load)
            }
        };
        (0..count).map(capacity_of).collect()
    }

    /// Adopts these routes, and returns whether any has changed. Routes are closed at once; they are opened further no
    /// more often than the budget allows, and small changes are left out.
    fn adopt(&mut self, rows: Vec<Row>, now: TenthMillis) -> bool {
        self.budget.refill(now);
        let changes = Changes::between(&rows, &self.rows);
        // Capacity that comes and goes is followed upwards no faster than a zone returns.
        let may_open = self.budget.openings >= 1.0
            && (changes.reasons || now >= self.budget.opened_at + self.config.return_step);
        if changes.opens && may_open {
            self.budget.spend(now);
            self.rows = rows;
            return true;
        }
        if !changes.closes && (changes.opens || !changes.reasons) {
            return false;
        }
        // What closes is closed; what would open stays as it is.
        let new = rows.iter().flat_map(|row| &row.routes);
        let current = self.rows.iter_mut().flat_map(|row| &mut row.routes);
        for (new, current) in new.zip(current) {
            if new.share <= current.share {
                *current = *new;
            }
        }
        true
    }
}

/// What differs between two tables' routes.
#[derive(Default)]
struct Changes {
    closes: bool,
    opens: bool,
    reasons: bool,
}

impl Changes {
    fn between(new: &[Row], current: &[Row]) -> Changes {
        let mut changes = Changes::default();
        let new = new.iter().flat_map(|row| &row.routes);
        let current = current.iter().flat_map(|row| &row.routes);
        for (new, current) in new.zip(current) {
            let (a, b) = (f64::from(new.share), f64::from(current.share));
            let is_relevant = (a - b).abs() > MIN_RELATIVE_CHANGE * a.max(b);
            changes.closes |= new.share < current.share && is_relevant;
            changes.opens |= new.share > current.share && (new.share == ALL_KEYS || is_relevant);
            changes.reasons |= new.reason != current.reason;
        }
        changes
    }
}

/// The state that a route of a former leader's table stands for.
fn restored_health(route: Route, now: TenthMillis, config: &FailoverConfig) -> Health {
    let state = match route.reason {
        Reason::ZoneDown | Reason::Partitioned => State::Ejected {
            until: now + config.hold,
        },
        Reason::Drained => State::Drained,
        Reason::Returning => {
            let mut shares = RETURN_SHARES.iter();
            let step = shares.position(|share| *share >= route.share);
            State::returning_at(step.unwrap_or(RETURN_SHARES.len() - 1), now, config)
        }
        Reason::Healthy | Reason::Capacity | Reason::Slow => State::Healthy,
    };
    let was_ejected = matches!(
        route.reason,
        Reason::ZoneDown | Reason::Partitioned | Reason::Returning
    );
    Health::restored(state, was_ejected, now)
}
