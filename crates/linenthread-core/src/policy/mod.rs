//! The decisions of one co-ordinator.
//!
//! Make a [`Coordinator`] of a deployment and a seed, then call [`Coordinator::round`] with all that came in
//! since ([`crate::interface`]) and a [`Writer`]. It asks to be woken by itself; it reads no clock.
//!
//! The ordinary path is dynamic snitching: each part has a natural replica, the first in a hash of shard and
//! key, and leaves it only while that replica's score is worse than the best by more than [`BADNESS`].

mod gate;
mod hear;
mod score;
mod settle;

use oorandom::Rand64;

use crate::interface::{
    AttemptOutcome, AttemptResult, CoordinatorConfig, DecisionSink, FailureCause, Idempotency,
    IndexConfig, Inputs, MembershipUpdate, NewQuery, NewSubRequest, Phase, ProbeResult,
    TenthMillis, ZoneRoute,
};
use crate::state::{Call, Due, Fading, Fleet, Lookup, Part, Replica, Seen, kept, mix};

const TICK: TenthMillis = 50; // Scores are made anew this often.
const RESET: TenthMillis = 100_000; // All scores are forgotten this often: each replica gets a fair shot again.
const BADNESS: f64 = 0.6; // How much worse than the best a natural replica may score and keep its parts.
const RECENT: f64 = 30_000.0; // Within so long an observation loses most of its weight.
const HEARD: f64 = 0.1; // With less weight left than this nothing was heard.
const SHARES: f64 = 3.0 * RECENT; // Within so long, what came from each customer does.
const LONGEST: f64 = 10.0; // Where little is seen of each replica both are longer, up to so many times,
const ENOUGH: f64 = 6.0; // for about so many answers each.
const LEAN: f64 = 1.0; // How many answers its site's average weighs in a replica's median,
const SITE_LEAN: f64 = 4.0; // and the fleet's in a site's.
const LOAD: f64 = 1.0; // What each part out from here adds to a replica's median, as a share,
const TOLD: f64 = 0.5; // and each that it says it has waiting.
const SEVERITY: f64 = 8.0; // What only failing adds to a score, against 1 for the slowest median.
const FRESH: f64 = 10_000.0; // Word older than this is old: the replica is probed before a lookup's parts go.
const ASK: TenthMillis = 250; // So long probes are waited for;
const ASK_MOST: f64 = 0.05; // up to this share of a soft deadline while all holders of a shard owe one.
const PROBING: (f64, f64) = (0.1, 12.0); // No queue told: least share of lookups that ask, times late probes.
const UNSURE: f64 = 4.0; // What a probe that is not answered by then adds to a score.
/// What is down is probed after so long, and as much again by chance, times a quarter of the co-ordinators.
const PROBE: TenthMillis = 1_500;
const GIVEN_UP: TenthMillis = 30_000; // After so long parts may try what is down: it may be bad to probes only.
const TRIAL: TenthMillis = 2_500; // Where nothing probes, the first part tries it so soon.
const PAUSE: TenthMillis = 1_000; // Before a replica that failed a part is asked for the same part again.
/// Share of parts that may have a second copy sent because the first is late, and of a lookup's last ones ...
const COPIES: (f64, f64) = (0.005, 0.02);
const URGENT: f64 = 2.5; // ... when no more than so many slow answers' time is left.
const COLD_USE: f64 = 0.8; // How much of the cold budget is used.
/// Of a cold replica's turns, the share to be used where most pass unused, and how many may be had for one.
const TURNS: (f64, f64) = (0.5, 2.0);
const WARY: f64 = 200_000.0; // Replicas that fall unannounced keep lookups to one part first for so long.
const PATIENT: f64 = 1.4; // How many slow answers' time a first answer leaves for its second step.
const SPARE: f64 = 0.25; // Where so many parts are a whole answer: share of the others asked for at first.
const LATE_PAYS: f64 = 0.15; // An index whose late answers earn no more is given up at its soft deadline.
/// Parts out at a replica: its share of what comes back in so much of a soft deadline, twice that if quick.
const JAM: f64 = 0.45;
const QUICK: f64 = 0.3;
const FEW: f64 = 5.0;
/// In all, a lone co-ordinator may have so many out a replica, of many each that by the root of their number.
const ROOM: f64 = 3.0;
/// So many parts of usual delay (share of the shortest soft deadline, spread) weigh in what one may take.
const UNTOLD: f64 = 6.0;
const USUAL: (f64, f64) = (0.2, 0.6);
const IN_TIME: f64 = 0.75; // Share of the time left within which a lookup's slowest part is to be expected.
const UNSEEN: i32 = 3; // How often a slower shard counts where no queue is told: it shows by delay, late.
/// A connection has rested after so long. Where rested ones fail more often, by so much, they go.
const REST: TenthMillis = 7_500;
const REAPED: f64 = 0.08;
const MARGIN: TenthMillis = 150; // A client's answer leaves this long before the moment that it must be there.
const BEAT: TenthMillis = 100; // The module asks to be woken at least this often.
const ROUNDING: f64 = 0.0001; // Weights are sums of rounded shares.
pub const DEFAULT_LATE_VALUE_SHARE: f64 = 0.3; // What late answers earn where no settings tell.
pub const DEFAULT_PARTIAL_VALUE: f64 = 0.6; // What parts earn that earn by the square of their share, about.
pub const BUDGET_UTILIZATION: f64 = 0.85; // How much of a budget is used that others count by other clocks.
pub const CONNECT_TIMEOUT: TenthMillis = 3_000; // A connection that is not up by then counts as a replica that is away.

pub struct Coordinator {
    deployment: CoordinatorConfig,
    soft: f64, // The shortest soft deadline of all indexes.
    chance: Rand64,
    now: TenthMillis,
    fleet: Fleet,
    replicas: Vec<Replica>,
    sites: Vec<Seen>,
    ways: Vec<ZoneRoute>, // By site, while all act on a table.
    lookups: Vec<Option<Lookup>>,
    open: Vec<usize>, // Lookups not yet released, oldest first.
    due: Due,
}

/// When a lookup is given up.
fn given_up_at(lookup: &Lookup, index: &IndexConfig) -> TenthMillis {
    if index.late_value_share > LATE_PAYS {
        lookup.hard
    } else {
        lookup.soft.min(lookup.hard)
    }
}

impl Coordinator {
    pub fn new(mut deployment: CoordinatorConfig, seed: u64) -> Self {
        let indexes = std::mem::take(&mut deployment.indexes);
        let mut new = Coordinator {
            soft: f64::INFINITY,
            fleet: Fleet::new(deployment.customer_quotas.len(), RECENT),
            deployment,
            chance: Rand64::new(u128::from(seed)),
            now: 0,
            replicas: Vec::new(),
            sites: Vec::new(),
            ways: Vec::new(),
            lookups: Vec::new(),
            open: Vec::new(),
            due: Due::default(),
        };
        indexes.into_iter().for_each(|i| _ = new.add_index(i));
        new
    }

    /// One more index, for lookups taken from now on.
    pub fn add_index(&mut self, index: IndexConfig) -> usize {
        self.soft = self.soft.min(index.soft_deadline.max(1) as f64);
        self.fleet.sizes.push(Fading::default());
        self.deployment.indexes.push(index);
        self.deployment.indexes.len() - 1
    }

    /// So many further calls are free in each window from now on; this is one of so many co-ordinators.
    pub fn set_retry_quota(&mut self, free: f64, own_number: usize, co_ordinators: usize) {
        (
            self.deployment.coordinator_number,
            self.deployment.coordinator_count,
        ) = (own_number, co_ordinators.max(1));
        self.deployment
            .retry_budget
            .iter_mut()
            .for_each(|f| f.reserve = free);
    }

    /// Takes all that came in and writes what is decided on it.
    pub fn step(&mut self, arrivals: &Inputs, writer: &mut impl DecisionSink) {
        self.now = arrivals.now;
        if self.due.reset == 0 {
            (self.due.began, self.due.reset) = (self.now, self.now + RESET);
        }
        arrivals
            .membership
            .iter()
            .for_each(|news| self.hear_roster(news));
        self.ways = arrivals
            .zone_routes
            .clone()
            .unwrap_or(std::mem::take(&mut self.ways));
        if let Some(budget) = &self.deployment.retry_budget {
            self.fleet.taken.add(
                self.now,
                budget.window,
                arrivals.queries.len() + arrivals.sub_requests.len(),
            );
        }
        arrivals.queries.iter().for_each(|new| self.take(new));
        arrivals
            .sub_requests
            .iter()
            .for_each(|new| self.take_part(new));
        arrivals
            .results
            .iter()
            .for_each(|back| self.hear(back, writer));
        arrivals
            .continuations
            .iter()
            .for_each(|&(l, p)| self.ask_on(l, p));
        arrivals
            .probes
            .iter()
            .for_each(|back| self.hear_probe(back));
        for &lapsed in &arrivals.abandoned {
            if let Some(Some(lookup)) = self.lookups.get_mut(lapsed) {
                lookup.over = true;
            }
        }
        self.score();
        for l in self.open.clone() {
            self.settle(l, writer);
        }
        self.release(writer);
        self.probe(writer);
        if self.due.ask.take_if(|at| *at <= self.now).is_some() {
            writer.watch_membership();
        }
        if self.due.wake <= self.now {
            self.due.wake = self.now + BEAT;
            writer.wake_at(self.due.wake);
        }
    }

    fn chance_up_to(&mut self, most: TenthMillis) -> TenthMillis {
        (self.chance.rand_float() * most as f64) as TenthMillis
    }
}
