//! The decisions of one co-ordinator.
//!
//! Make a [`Coordinator`] from what its deployment states and a seed, then call [`Coordinator::round`] with
//! all that came in since the last call and a [`Writer`] that takes the decisions. The types of both are
//! in [`crate::interface`]. It asks to be woken by itself; it reads no clock and shares nothing.
//!
//! The ordinary path is dynamic snitching: each part has a natural replica, the first in a hash of shard and
//! key, and leaves it only while that replica's score is worse than the best by more than [`BADNESS`].

use std::collections::VecDeque;

use oorandom::Rand64;

use crate::interface::*;

/// Scores are made anew this often.
const TICK: Tenths = 200;
/// All scores are forgotten this often, so that each replica gets a fair shot again.
const RESET: Tenths = 100_000;
/// How much worse than the best a natural replica may score and keep its parts.
const BADNESS: f64 = 1.0;
/// How much of the cold budget is used, as reckoned from what warm replicas get.
const COLD_USE: f64 = 0.8;
/// How many answers the average of all replicas weighs in each one's median.
const SITE_LEAN: f64 = 4.0;
/// How many answers the average of all replicas weighs in each one's median.
const LEAN: f64 = 1.0;
/// What each part that this co-ordinator has out at a replica adds to its median, as a share.
const LOAD: f64 = 1.0;
/// What a replica that only fails adds to its score, against 1 for the slowest median.
const SEVERITY: f64 = 8.0;
/// Within so long an observation loses most of its weight.
const RECENT: Tenths = 30_000;
/// Where little is seen of each replica it is remembered longer, for about so many answers each ...
const ENOUGH: f64 = 6.0;
/// ... up to so many times as long.
const LONGEST: f64 = 10.0;
/// Parts that a replica must answer, one at a time, after a reset that found it bad.
const TRIAL: u32 = 2;
/// A client's answer must leave this long before the moment that it must be there.
const MARGIN: Tenths = 150;
/// The module asks to be woken at least this often.
const BEAT: Tenths = 100;
/// A part is lost when its replica has answered one that was sent this many slow answers' time later.
const OVERTAKEN: f64 = 0.5;
/// What is down is probed after so long, and as much again by chance.
const PROBE: Tenths = 1_500;
/// When no probe was answered for so long, parts may try a replica again: it may be bad to probes only.
const GIVEN_UP: Tenths = 30_000;
/// How long to wait before a replica that failed a part is asked for the same part again.
const PAUSE: Tenths = 1_000;
/// Share of parts that may have a second copy sent because the first is late.
const COPIES: f64 = 0.05;
/// A part is late when it takes so many times what half of its lookup's parts took.
const STRAGGLES: f64 = 3.0;
/// A second copy goes out when no more than so many slow answers' time is left.
const URGENT: f64 = 2.5;
/// An index whose late answers earn no more than this is given up at its soft deadline.
const LATE_PAYS: f64 = 0.15;
/// Parts out are held to what comes back within this share of the shortest soft deadline.
const HELD: f64 = 0.5;
/// And at one replica to its even share of what comes back within this one: beyond that it is jammed.
const JAM: f64 = 0.45;
/// So many parts out at one replica, over all co-ordinators, are never a jam.
const FEW: f64 = 14.0;
const TARGET: f64 = 1.0;
/// Breaks under an index's parts keep its lookups to one part first for about so long ...
const WARY: f64 = 200_000.0;
/// ... and each answered lookup leaves this share of the suspicion.
const CLEARS: f64 = 0.7;
/// What a replica told is old after so long; then it is asked before a lookup's parts go.
const FRESH: Tenths = 10_000;
/// So long probes are waited for.
const ASK: Tenths = 250;
/// And up to this share of the shortest soft deadline while all holders of a shard owe an answer.
const ASK_MOST: f64 = 0.05;
/// What a probe that is not answered by then adds to a score.
const UNSURE: f64 = 4.0;
/// How much of a part out here each part that a replica says it has waiting counts.
const TOLD: f64 = 0.5;
/// A lookup is refused when all holders of a shard say that so many times what a soft deadline has room for,
/// one by one, waits there.
const UNTOLD: f64 = 6.0;
const USUALLY: f64 = 0.2;
const POWER: i32 = 3;
const FULL: f64 = 1.0;
/// A replica may have so many parts from here more than the least of those that hold the shard.
const PILE: f64 = 1.0;
/// Both shares double where the median answer takes half of this share of the shortest soft deadline.
const QUICK: f64 = 0.3;
/// Weights are sums of rounded shares.
const ROUNDING: f64 = 0.0001;

/// Sums over recent values, fading with age and brought up to date when they are read.
#[derive(Clone, Copy, Default)]
struct Fading {
    at: Tenths,
    weight: f64,
    sum: f64,
    square: f64,
}

impl Fading {
    fn fade(&mut self, now: Tenths) {
        self.fade_in(now, RECENT as f64);
    }

    fn fade_in(&mut self, now: Tenths, span: f64) {
        if now > self.at {
            let keep = (-((now - self.at) as f64) / span).exp();
            self.weight *= keep;
            self.sum *= keep;
            self.square *= keep;
            self.at = now;
        }
    }

    fn add(&mut self, now: Tenths, value: f64) {
        self.fade(now);
        self.count(value);
    }

    fn add_in(&mut self, now: Tenths, value: f64, span: f64) {
        self.fade_in(now, span);
        self.count(value);
    }

    fn count(&mut self, value: f64) {
        self.weight += 1.0;
        self.sum += value;
        self.square += value * value;
    }

    /// Mean and deviation, where anything was heard of late.
    fn shape(&self) -> Option<(f64, f64)> {
        (self.weight > 0.1).then(|| {
            let mean = self.sum / self.weight;
            (mean, (self.square / self.weight - mean * mean).max(0.0).sqrt())
        })
    }
}

#[derive(Default)]
struct Replica {
    id: u64,
    cell: usize,
    site: usize,
    phase: Phase,
    started: Option<Tenths>,
    /// Logarithms of answer times: their mean is the median's, since the times are about log-normal.
    times: Fading,
    /// 1 for each failure, 0 for each answer.
    failures: Fading,
    out: u32,
    /// When the latest of the parts it has answered was sent.
    newest: Tenths,
    /// Of those out, the ones that are as good as lost.
    lost: u32,
    /// Its connections fail or broke, or it hangs: since when, and when it is next probed. It gets no parts
    /// until a probe or a part is answered.
    down: Option<(Tenths, Tenths)>,
    /// When it last answered, or was sent a part with none out.
    heard: Tenths,
    /// When it last told anything, by an answer or a probe, and the parts it then had waiting.
    told: Tenths,
    queue: f64,
    /// A probe is out since then.
    asked: Option<Tenths>,
    suspect: bool,
    trial: u32,
    score: f64,
    /// Sends within the last window of the cold budget.
    cold_sends: VecDeque<Tenths>,
}

impl Replica {
    /// Parts that it last said were waiting; old word fades.
    fn told_load(&self, now: Tenths) -> f64 {
        self.queue * (-((now - self.told) as f64) / FRESH as f64).exp()
    }

    /// Parts out that may still be answered.
    fn waiting(&self) -> f64 {
        f64::from(self.out.saturating_sub(self.lost))
    }
}

struct Call {
    replica: usize,
    sent: Tenths,
    ending: Option<Ending>,
}

#[derive(Default)]
struct Part {
    shard: usize,
    weight: f64,
    calls: Vec<Call>,
    answered: bool,
}

impl Part {
    fn out(&self) -> usize {
        self.calls.iter().filter(|c| c.ending.is_none()).count()
    }

    /// Withdraws the part's calls that are out.
    fn withdraw(&self, l: usize, p: usize, writer: &mut impl Writer) {
        for (c, _) in self.calls.iter().enumerate().filter(|(_, c)| c.ending.is_none()) {
            writer.withdraw(l, p, c);
        }
    }

    fn never_ran(&self) -> bool {
        self.calls.iter().all(|c| c.ending.is_some_and(Ending::never_ran))
    }

    /// When the first part call that may have run was sent.
    fn may_have_run(&self) -> Option<Tenths> {
        self.calls.iter().find(|c| !c.ending.is_some_and(Ending::never_ran)).map(|c| c.sent)
    }
}

#[derive(Default)]
struct Lookup {
    index: usize,
    customer: usize,
    key: u64,
    soft: Tenths,
    hard: Tenths,
    /// Its replicas are asked first: until then their answers are waited for.
    ask_until: Option<Tenths>,
    parts: Vec<Part>,
    /// Where the parts of the step under way begin, and when.
    step: usize,
    began: Tenths,
    /// How long half of the step's parts took, once they are in.
    half: Option<Tenths>,
    /// The first step is answered, and its answer was whole.
    first_whole: Option<bool>,
    /// Replicas that broke off under a part of it, while none of its parts was answered.
    broke: Vec<usize>,
    admitted: bool,
    over: bool,
}

impl Lookup {
    /// It may be what brings replicas down: two broke off under it, and none has answered it.
    fn fells(&self) -> bool {
        self.broke.len() > 1 && !self.parts.iter().any(|p| p.answered)
    }

    /// When it is given up.
    fn end(&self, index: &Index) -> Tenths {
        if index.late_share > LATE_PAYS { self.hard } else { self.soft.min(self.hard) }
    }
}

/// One co-ordinator; see the head of this file.
pub struct Coordinator {
    deployment: Deployment,
    /// The shortest soft deadline of all indexes.
    soft: f64,
    chance: Rand64,
    now: Tenths,
    replicas: Vec<Replica>,
    /// Answer times and failures of all replicas of a site, as seen from here.
    sites: Vec<(Fading, Fading)>,
    lookups: Vec<Option<Lookup>>,
    /// Lookups not yet released, oldest first.
    open: Vec<usize>,
    times: Fading,
    answers: Fading,
    span: f64,
    /// The lowest median time seen of late.
    quick: f64,
    /// Logarithms of how long parts took or were waited for; those turned away count as a whole soft deadline.
    delays: Fading,
    /// 1 for each second copy, 0 for each first part call.
    copies: Fading,
    /// Part calls that a warm replica gets from here within the cold window, as seen of late.
    usual: f64,
    /// Parts that may be out in all for a new lookup to be taken on, and at one replica before it is jammed.
    room: f64,
    jam: f64,
    customers: Vec<Fading>,
    /// Replicas that broke off under parts of each index.
    breaks: Vec<Fading>,
    /// Lookups and parts taken, and further part calls made, within the window of the further-call budget.
    taken: VecDeque<(Tenths, usize)>,
    further: VecDeque<Tenths>,
    began: Tenths,
    next_tick: Tenths,
    next_reset: Tenths,
    next_wake: Tenths,
    ask_at: Option<Tenths>,
    ask_failures: u32,
}

/// A hash of ids that all co-ordinators agree on.
fn mix(words: [u64; 3]) -> u64 {
    words.iter().fold(0x9e37_79b9_7f4a_7c15, |h: u64, w| {
        let x = (h ^ w).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let x = (x ^ (x >> 29)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^ (x >> 32)
    })
}

impl Coordinator {
    pub fn new(deployment: Deployment, seed: u64) -> Self {
        Coordinator {
            soft: deployment.indexes.iter().map(|i| i.soft_deadline).min().unwrap_or(0) as f64,
            customers: vec![Fading::default(); deployment.customer_quotas.len()],
            breaks: vec![Fading::default(); deployment.indexes.len()],
            deployment,
            chance: Rand64::new(u128::from(seed)),
            now: 0,
            replicas: Vec::new(),
            sites: Vec::new(),
            lookups: Vec::new(),
            open: Vec::new(),
            times: Fading::default(),
            delays: Fading::default(),
            answers: Fading::default(),
            span: RECENT as f64,
            quick: f64::INFINITY,
            copies: Fading::default(),
            usual: 0.0,
            room: f64::INFINITY,
            jam: f64::INFINITY,
            taken: VecDeque::new(),
            further: VecDeque::new(),
            began: 0,
            next_tick: 0,
            next_reset: 0,
            next_wake: 0,
            ask_at: None,
            ask_failures: 0,
        }
    }

    /// Takes all that came in and writes what is decided on it.
    pub fn round(&mut self, arrivals: &Arrivals, writer: &mut impl Writer) {
        if self.next_reset == 0 {
            self.began = arrivals.now;
            self.next_reset = arrivals.now + RESET;
        }
        self.now = arrivals.now;
        for news in &arrivals.roster {
            self.hear_roster(news);
        }
        for new in &arrivals.lookups {
            self.take(new);
        }
        for new in &arrivals.parts {
            self.take_part(new);
        }
        for back in &arrivals.returns {
            self.hear(back, writer);
        }
        for back in &arrivals.probes {
            self.hear_probe(back);
        }
        for &lapsed in &arrivals.lapsed {
            if let Some(Some(lookup)) = self.lookups.get_mut(lapsed) {
                lookup.over = true;
            }
        }
        if self.open.iter().any(|&l| {
            self.lookups[l].as_ref().is_some_and(|k| k.ask_until.is_some() && k.half.is_none() && !k.over)
        }) {
            self.next_tick = self.now;
        }
        self.score();
        for l in self.open.clone() {
            self.settle(l, writer);
        }
        self.release(writer);
        self.probe(writer);
        if self.ask_at.take_if(|at| *at <= self.now).is_some() {
            writer.watch_roster();
        }
        if self.next_wake <= self.now {
            self.next_wake = self.now + BEAT;
            writer.wake_at(self.next_wake);
        }
    }

    // --- what comes in ---

    fn hear_roster(&mut self, news: &RosterNews) {
        let (listed, whole) = match news {
            RosterNews::Changes(listed) => (listed, false),
            RosterNews::Whole(listed) => (listed, true),
            RosterNews::Remembered(listed) => {
                // Restarts may come together: their questions to the roster are spread out.
                self.ask_at = self.deployment.watch_roster.then(|| self.now + self.chance_up_to(2_000));
                (listed, true)
            }
            RosterNews::Failed => {
                self.ask_failures = (self.ask_failures + 1).min(4);
                let wait = 2_500 << self.ask_failures;
                self.ask_at = Some(self.now + wait / 2 + self.chance_up_to(wait / 2));
                return;
            }
        };
        self.ask_failures = 0;
        if whole {
            self.replicas.iter_mut().for_each(|r| r.phase = Phase::Gone);
        }
        for entry in listed {
            if self.replicas.len() <= entry.replica {
                self.replicas.resize_with(entry.replica + 1, Replica::default);
            }
            if self.sites.len() <= entry.site {
                self.sites.resize(entry.site + 1, Default::default());
            }
            let replica = &mut self.replicas[entry.replica];
            if replica.started != entry.started {
                // A new process: nothing seen of the old one counts against it.
                (replica.times, replica.failures, replica.trial) = (Fading::default(), Fading::default(), 0);
                replica.down = None;
            }
            replica.id = entry.id;
            replica.cell = entry.cell;
            replica.site = entry.site;
            replica.phase = entry.phase;
            replica.started = entry.started;
        }
    }

    fn take(&mut self, new: &NewLookup) {
        let index = &self.deployment.indexes[new.index];
        if self.lookups.len() <= new.lookup {
            self.lookups.resize_with(new.lookup + 1, || None);
        }
        self.lookups[new.lookup] = Some(Lookup {
            index: new.index,
            customer: new.customer,
            key: new.key.unwrap_or_else(|| mix([new.number, 0, 1])),
            began: self.now,
            soft: self.now + index.soft_deadline - MARGIN,
            hard: new.hard_deadline - MARGIN,
            ..Lookup::default()
        });
        self.open.push(new.lookup);
        self.count_taken();
        self.customers.iter_mut().for_each(|c| c.fade_in(self.now, 3.0 * RECENT as f64));
        if let Some(seen) = self.customers.get_mut(new.customer) {
            seen.weight += 1.0;
        }
    }

    fn take_part(&mut self, new: &NewPart) {
        self.count_taken();
        if let Some(Some(lookup)) = self.lookups.get_mut(new.lookup) {
            lookup.parts.push(Part { shard: new.shard, weight: new.weight, ..Part::default() });
        }
    }

    fn count_taken(&mut self) {
        let Some(budget) = &self.deployment.further_calls else { return };
        let since = self.now - budget.window;
        self.taken.retain(|(at, _)| *at >= since);
        match self.taken.back_mut() {
            Some((at, n)) if *at == self.now => *n += 1,
            _ => self.taken.push_back((self.now, 1)),
        }
    }

    fn hear(&mut self, back: &Return, writer: &mut impl Writer) {
        let slow = self.slow();
        let Some(Some(lookup)) = self.lookups.get_mut(back.lookup) else { return };
        let first = lookup.broke.is_empty() && !lookup.parts.iter().any(|p| p.answered);
        let Some(part) = lookup.parts.get_mut(back.part) else { return };
        let Some(call) = part.calls.get_mut(back.call) else { return };
        call.ending = Some(back.ending);
        let r = call.replica;
        match back.ending {
            Ending::TurnedAway => self.delays.add(self.now, self.soft.max(1.0).ln()),
            Ending::Answered | Ending::TimedOut | Ending::Withdrawn => {
                self.delays.add(self.now, (back.took.max(1) as f64).ln());
            }
            _ => {}
        }
        let sent = call.sent;
        let replica = &mut self.replicas[r];
        replica.out -= 1;
        // A hung replica has nothing out between its time-outs, and so no silence: it is down as well.
        let hung = matches!(back.ending, Ending::TimedOut | Ending::Withdrawn)
            && replica.heard <= sent
            && back.took as f64 > slow;
        let time = (back.took.max(1) as f64).ln();
        let site = &mut self.sites[replica.site];
        let late = replica.times.shape().is_some_and(|(median, _)| time > median);
        match back.ending {
            Ending::Answered => {
                if first {
                    self.breaks[lookup.index].sum *= CLEARS;
                }
                part.answered |= !lookup.over;
                replica.heard = self.now;
                replica.told = self.now;
                replica.queue = back.queue.unwrap_or(0.0);
                replica.newest = replica.newest.max(sent);
                replica.down = None;
                replica.trial = replica.trial.saturating_sub(1);
                replica.failures.count(0.0);
                replica.times.count(time);
                site.0.add(self.now, time);
                site.1.add(self.now, 0.0);
                self.times.add(self.now, time);
                self.answers.weight += 1.0;
                if self.deployment.allowance.withdraw && !lookup.over {
                    part.withdraw(back.lookup, back.part, writer);
                }
            }
            // It would have taken longer still: that much is known.
            // A client that left early says nothing of the replica.
            Ending::Withdrawn if late => {
                replica.times.count(time);
                site.0.add(self.now, time);
            }
            Ending::Withdrawn | Ending::Unsent => {}
            Ending::TimedOut if (back.took as f64) < slow => {
                if late {
                    replica.times.count(time);
                }
            }
            _ => {
                replica.failures.count(1.0);
                site.1.add(self.now, 1.0);
            }
        }
        if back.ending == Ending::Broken && !lookup.broke.contains(&r) {
            lookup.broke.push(r);
            self.breaks[lookup.index].add_in(self.now, 1.0, WARY);
        }
        if hung && self.deployment.allowance.probes && self.span > RECENT as f64 {
            // Little is seen of it: it is asked.
            replica.suspect = true;
        } else if hung || matches!(back.ending, Ending::Unconnected | Ending::Broken) {
            replica.down.get_or_insert((self.now, self.now));
            replica.trial = TRIAL;
        }
    }

    fn hear_probe(&mut self, back: &ProbeReturn) {
        let now = self.now;
        let Some(replica) = self.replicas.get_mut(back.replica) else { return };
        let asked = replica.asked.take().unwrap_or(now);
        match back.ending {
            Ending::Answered => {
                replica.down = None;
                replica.told = now;
                replica.queue = back.queue.unwrap_or(0.0);
            }
            Ending::Unconnected | Ending::Broken if replica.told < asked => {
                replica.down.get_or_insert((now, now + PROBE));
            }
            // Too busy for a probe: nothing is known but that much waits there.
            Ending::TurnedAway | Ending::TimedOut if replica.told < asked => {
                replica.told = now;
                replica.queue = self.soft / self.quick;
            }
            _ => {}
        }
    }

    /// Probes what is down: a part sent there would be lost time and a spent call.
    fn probe(&mut self, writer: &mut impl Writer) {
        for r in 0..self.replicas.len() {
            if std::mem::take(&mut self.replicas[r].suspect) && self.replicas[r].asked.is_none() {
                self.replicas[r].asked = Some(self.now);
                writer.probe(r);
            }
            if self.deployment.allowance.probes
                && self.replicas[r].phase == Phase::Ready
                && let Some((since, next)) = self.replicas[r].down
                && next <= self.now
            {
                let wait =
                    PROBE.max((self.now - since) / 4) * (self.deployment.co_ordinators as i64 / 4).max(1);
                self.replicas[r].down = Some((since, self.now + wait + self.chance_up_to(wait)));
                self.replicas[r].asked.get_or_insert(self.now);
                writer.probe(r);
            }
        }
    }

    // --- the design's ordinary path ---

    /// Makes the scores anew, once a tick.
    fn score(&mut self) {
        if self.now < self.next_tick {
            return;
        }
        self.next_tick = self.now + TICK;
        let now = self.now;
        let slow = self.slow();
        let ready = |r: &&mut Replica| r.phase == Phase::Ready;
        let ready_count = self.replicas.iter_mut().filter(ready).count().max(1);
        self.answers.fade_in(now, RECENT as f64 * LONGEST);
        let seen = RECENT as f64
            * LONGEST
            * (1.0 - (-((now - self.began) as f64) / (RECENT as f64 * LONGEST)).exp());
        let rate = self.answers.weight / ready_count as f64 / seen.max(1.0);
        let span = (ENOUGH / rate).clamp(RECENT as f64, RECENT as f64 * LONGEST);
        self.span = span;
        self.times.fade(now);
        let median = self.time_of_most(0.0);
        self.quick = median.min(self.quick * (1.0 + 0.2 * TICK as f64 / RESET as f64));
        let mean = self.times.shape().map_or(0.0, |(mean, _)| mean);
        let sites: Vec<(f64, f64)> = self
            .sites
            .iter_mut()
            .map(|(times, failures)| {
                times.fade(now);
                failures.fade(now);
                let mean = (times.sum + SITE_LEAN * mean) / (times.weight + SITE_LEAN);
                (mean, failures.sum / (failures.weight + SITE_LEAN))
            })
            .collect();
        for replica in self.replicas.iter_mut().filter(ready) {
            replica.times.fade_in(now, span);
            replica.failures.fade_in(now, span);
        }
        self.count_lost(slow);
        let usual_out = self.replicas.iter_mut().filter(ready).map(|r| f64::from(r.out)).sum::<f64>()
            / ready_count as f64;
        // An unheard replica counts as the average of its site, and one of few answers leans on it.
        let median = |r: &Replica| ((r.times.sum + LEAN * sites[r.site].0) / (r.times.weight + LEAN)).exp();
        let largest = self.replicas.iter_mut().filter(ready).map(|r| median(r)).fold(1.0, f64::max);
        for replica in self.replicas.iter_mut().filter(ready) {
            let load = (f64::from(replica.out) - usual_out).max(0.0) + TOLD * replica.told_load(now);
            let median = median(replica) * (1.0 + LOAD * load);
            // Lost parts count as failures before their time-outs say so: that meets a replica which answers
            // some and swallows others, as well as one that hangs.
            let lost = f64::from(replica.lost);
            let severity = (replica.failures.sum + lost + sites[replica.site].1)
                / (replica.failures.weight + lost + 1.0);
            let quiet = if replica.out > 0 { now - replica.heard } else { 0 };
            let silence = (quiet as f64 - slow).max(0.0) / largest;
            let unanswered = replica.asked.is_some_and(|at| now - at >= ASK && replica.told < at);
            let unsure = if unanswered { UNSURE } else { 0.0 };
            replica.score = median / largest + SEVERITY * severity + silence + unsure;
        }
        let best = self.replicas.iter_mut().filter(ready).map(|r| r.score).fold(f64::INFINITY, f64::min);
        if now >= self.next_reset {
            self.next_reset = now + (RESET as f64 * span / RECENT as f64) as Tenths;
            for replica in self.replicas.iter_mut() {
                // Exception to the design: what was bad regains its parts only after a trial.
                replica.trial = if replica.score > best * (1.0 + BADNESS) { TRIAL } else { 0 };
                replica.times = Fading::default();
                replica.failures = Fading::default();
            }
        }
        self.learn_capacity(ready_count as f64);
    }

    /// Reckons from what was answered of late how many parts may be out, and what a warm replica can take.
    fn learn_capacity(&mut self, ready: f64) {
        let now = self.now;
        self.times.fade(now);
        // Only answered parts tell what a replica can do.
        let (mut warm, mut calls) = (0.0, 0.0);
        for r in 0..self.replicas.len() {
            if self.replicas[r].phase == Phase::Ready && self.cold_share(r).is_none() {
                warm += 1.0;
                calls += self.replicas[r].times.weight;
            }
        }
        if warm > 0.0 {
            let usual = calls / warm * self.deployment.cold.window as f64 / self.span;
            // A core does at least one part in the time that the quickest answers take.
            let least =
                self.deployment.cold.window as f64 / self.quick / self.deployment.co_ordinators as f64;
            self.usual = usual.max(self.usual * (1.0 - TICK as f64 / RESET as f64)).max(least);
        }
        // In its first soft deadline's time a co-ordinator has seen too little to turn anything away.
        if (now - self.began) as f64 >= self.soft {
            // A co-ordinator that has just started has not yet seen a whole span of answers.
            let seen = RECENT as f64 * (1.0 - (-((now - self.began) as f64) / RECENT as f64).exp());
            // While answers still come fast a burst may fill what a jam may not.
            let ease = (QUICK * self.soft / self.time_of_most(0.0)).clamp(1.0, 2.0);
            let back_in_time = self.times.weight / seen * self.soft * ease;
            self.room = (back_in_time * HELD).max(ready * 2.0);
            self.jam =
                (back_in_time * JAM / ready).max((FEW / self.deployment.co_ordinators as f64).max(4.0));
        }
    }

    /// Counts the parts out at each replica that are as good as lost.
    fn count_lost(&mut self, slow: f64) {
        self.replicas.iter_mut().for_each(|r| r.lost = 0);
        for lookup in self.open.iter().filter_map(|&l| self.lookups[l].as_ref()) {
            for call in lookup.parts.iter().flat_map(|p| &p.calls) {
                let lost = self.is_lost(call, slow);
                self.replicas[call.replica].lost += u32::from(lost);
            }
        }
    }

    /// A slow part call whose replica has been silent for as long again, or has since answered what was sent
    /// later. Where a queue has merely grown, parts come back in about the order they were sent.
    fn is_lost(&self, call: &Call, slow: f64) -> bool {
        let replica = &self.replicas[call.replica];
        let silent = (self.now - replica.heard) as f64 > 2.0 * slow;
        let overtaken = (replica.newest - call.sent) as f64 > OVERTAKEN * slow;
        call.ending.is_none() && (self.now - call.sent) as f64 > slow && (silent || overtaken)
    }

    /// How long all but a few parts take of late, over all replicas.
    fn slow(&self) -> f64 {
        self.time_of_most(2.0)
    }

    fn time_of_most(&self, deviations: f64) -> f64 {
        self.times.shape().map_or(self.soft / 2.0, |(mean, deviation)| (mean + deviations * deviation).exp())
    }

    /// The replica for a part's next call: its natural one unless that scores too badly.
    fn choose(&self, l: usize, p: usize) -> Option<usize> {
        let lookup = self.lookups[l].as_ref()?;
        let part = &lookup.parts[p];
        let layout = &self.deployment.layout;
        // Where a call carries several parts at a cost of its own, a key has every so manieth cell for its
        // home, so that neighbouring shards travel together; the hash decides among the rest.
        let together = layout.parts_a_call > 1;
        let (turn, row) = (mix([lookup.key, 0, 0]) as usize, layout.in_a_row.max(1));
        let home = |r: usize| together && self.replicas[r].cell % row == turn % row;
        let spread = if together { 0 } else { part.shard as u64 + 1 };
        let order = |&r: &usize| (home(r), mix([lookup.key, spread, self.replicas[r].id]));
        let fit: Vec<usize> = self.holders(part.shard).filter(|&r| self.may_call(l, p, r)).collect();
        let tried = |r: usize| part.calls.iter().any(|c| c.replica == r);
        let once_only = self.deployment.indexes[lookup.index].effect == Effect::OnceOnly;
        let on_trial = |r: usize| self.replicas[r].trial > 0 && (once_only || self.replicas[r].out > 0);
        let turned = part.calls.iter().filter(|c| c.ending == Some(Ending::TurnedAway)).count();
        if turned > 1 && part.calls.last().is_some_and(|c| self.now < c.sent + (PAUSE << turned)) {
            return None;
        }
        let paused = part.calls.last().is_some_and(|c| self.now < c.sent + PAUSE);
        let up = |r: usize| self.replicas[r].down.is_none_or(|(since, _)| self.now > since + GIVEN_UP);
        let pile = PILE.max(layout.parts_a_call as f64 - 1.0);
        (0..4).find_map(|level| {
            let allowed: Vec<usize> = fit
                .iter()
                .copied()
                .filter(|&r| match level {
                    0 => up(r) && !tried(r) && !on_trial(r) && self.replicas[r].waiting() <= self.jam,
                    1 => up(r) && !tried(r) && !on_trial(r),
                    2 => up(r) && !tried(r),
                    _ => up(r) && !paused,
                })
                .collect();
            let score = |r: usize| self.replicas[r].score;
            let best = allowed.iter().map(|&r| score(r)).min_by(f64::total_cmp)?;
            let good = || allowed.iter().copied().filter(|&r| score(r) <= best * (1.0 + BADNESS));
            let least = good().map(|r| self.replicas[r].waiting()).fold(f64::INFINITY, f64::min);
            good().filter(|&r| self.replicas[r].waiting() <= least + pile).max_by_key(order)
        })
    }

    fn holders(&self, shard: usize) -> impl Iterator<Item = usize> {
        let Layout { cells, in_a_row, .. } = self.deployment.layout;
        let holds =
            move |r: &Replica| r.phase == Phase::Ready && (r.cell + cells - shard % cells) % cells < in_a_row;
        (0..self.replicas.len()).filter(move |&r| holds(&self.replicas[r]))
    }

    // --- the gate ---

    /// Whether a part call may be made at all. Every send passes here, and nothing else holds the rules.
    fn may_call(&self, l: usize, p: usize, r: usize) -> bool {
        let Some(Some(lookup)) = self.lookups.get(l) else { return false };
        let part = &lookup.parts[p];
        let allowance = &self.deployment.allowance;
        let out = part.out();
        self.may_run_again(lookup, part)
            && !lookup.over
            && !part.answered
            && self.replicas[r].phase == Phase::Ready
            && part.calls.len() < allowance.calls_a_part
            && (out == 0 || allowance.second_copies && out == 1)
            && part.calls.iter().all(|c| c.ending.is_some() || c.replica != r)
            && self.cold_room(r)
            && (part.calls.is_empty() || self.further_room())
    }

    /// Whether the effect of its index lets a part be sent, after what became of its calls so far.
    fn may_run_again(&self, lookup: &Lookup, part: &Part) -> bool {
        match self.deployment.indexes[lookup.index].effect {
            Effect::Idempotent => true,
            Effect::Fingerprinted(window) => {
                part.may_have_run().is_none_or(|first| self.now <= first + window)
            }
            Effect::OnceOnly => part.never_ran(),
        }
    }

    /// What share of its full work a replica can do at least, while it is cold.
    fn cold_share(&self, r: usize) -> Option<f64> {
        let cold = &self.deployment.cold;
        let age = self.now - self.replicas[r].started?;
        (age < cold.warm_up)
            .then(|| cold.share + (1.0 - cold.share) * age.max(0) as f64 / cold.warm_up as f64)
    }

    /// Whether a cold replica has room for one more within each window. Capacity is not told; what warm ones
    /// get from here is never more than they can do, and each co-ordinator keeps to its own part of it.
    fn cold_room(&self, r: usize) -> bool {
        let Some(share) = self.cold_share(r) else { return true };
        let cold = &self.deployment.cold;
        let since = self.now - cold.window;
        let sent = self.replicas[r].cold_sends.iter().filter(|&&at| at > since).count();
        let room = cold.multiple * COLD_USE * share * self.usual;
        if room >= 1.0 {
            return (sent + 1) as f64 <= room;
        }
        // Less than one in each window: the co-ordinators take turns, window by window since its start.
        let age = self.now - self.replicas[r].started.unwrap_or(0);
        let turn =
            (age / cold.window.max(1)) as u64 + self.deployment.own_number as u64 + self.replicas[r].id;
        sent == 0 && turn.is_multiple_of((1.0 / room).ceil().min(self.deployment.co_ordinators as f64) as u64)
    }

    fn further_room(&self) -> bool {
        let Some(budget) = &self.deployment.further_calls else { return true };
        let since = self.now - budget.window;
        let taken: usize = self.taken.iter().filter(|(at, _)| *at > since).map(|(_, n)| n).sum();
        let further = self.further.iter().filter(|&&at| at >= since).count();
        (further + 1) as f64 <= budget.free + budget.share * taken as f64
    }

    /// Makes a part call, if a replica may take it.
    fn call(&mut self, l: usize, p: usize, writer: &mut impl Writer) {
        let Some(r) = self.choose(l, p) else { return };
        let now = self.now;
        let cold = self.cold_share(r).is_some();
        let lookup = self.lookups[l].as_mut().expect("chosen for");
        let end = lookup.end(&self.deployment.indexes[lookup.index]);
        let part = &mut lookup.parts[p];
        let further = !part.calls.is_empty();
        self.copies.add(now, if part.out() > 0 { 1.0 } else { 0.0 });
        part.calls.push(Call { replica: r, sent: now, ending: None });
        let replica = &mut self.replicas[r];
        if replica.out == 0 {
            replica.heard = now;
        }
        replica.out += 1;
        if cold {
            let since = now - self.deployment.cold.window;
            replica.cold_sends.retain(|&at| at > since);
            replica.cold_sends.push_back(now);
        }
        if let (Some(budget), true) = (&self.deployment.further_calls, further) {
            let since = now - budget.window;
            self.further.retain(|&at| at >= since);
            self.further.push_back(now);
        }
        writer.call(l, p, r, (end - now).max(1));
    }

    // --- lookups ---

    /// Answers a lookup, gives it up, or sends what it still needs.
    fn settle(&mut self, l: usize, writer: &mut impl Writer) {
        let Some(Some(lookup)) = self.lookups.get(l) else { return };
        if lookup.over {
            return;
        }
        if !lookup.admitted && !lookup.parts.is_empty() && self.asks(l, writer) {
            return;
        }
        let Some(Some(lookup)) = self.lookups.get(l) else { return };
        let index = &self.deployment.indexes[lookup.index];
        let end = lookup.end(index);
        let parts = &lookup.parts[lookup.step..];
        if parts.is_empty() {
            if self.now >= lookup.hard {
                self.give_up(l, writer);
            }
            return;
        }
        let weigh =
            |of: &dyn Fn(&Part) -> bool| -> f64 { parts.iter().filter(|p| of(p)).map(|p| p.weight).sum() };
        let total = weigh(&|_| true);
        let got = weigh(&|p| p.answered) / total;
        let lost = weigh(&|p| self.is_hopeless(lookup, p)) / total;
        let need = if lookup.step > 0 { 1.0 } else { index.need };
        let floor = if lookup.step > 0 && index.floor >= index.need { 1.0 } else { index.floor };
        let enough = |share: f64, of: f64| share >= of - ROUNDING / 2.0;
        let whole = enough(got, need);
        let can_be_whole = enough(1.0 - lost, need);
        let partial_pays = index.partial_gain * got / need > index.late_share;
        let answer = whole
            || enough(got, floor)
                && (!can_be_whole || self.now >= end || self.now >= lookup.soft && partial_pays);
        let marked_whole = whole && lookup.first_whole.unwrap_or(true);
        if answer {
            let ends = lookup.first_whole.is_some() || index.second_step == 0;
            writer.satisfy(l, marked_whole);
            self.withdraw_all(l, writer);
            let lookup = self.lookups[l].as_mut().expect("open");
            lookup.over = ends;
            lookup.first_whole = Some(marked_whole);
            lookup.step = lookup.parts.len();
            (lookup.began, lookup.half) = (self.now, None);
        } else if self.now >= end
            || lookup.fells() && parts.iter().all(|p| p.out() == 0)
            || !enough(1.0 - lost, floor)
            || !lookup.admitted && !self.admits(l)
        {
            self.give_up(l, writer);
        } else {
            let now = self.now;
            let lookup = self.lookups[l].as_mut().expect("open");
            lookup.admitted = true;
            if got >= 0.5 {
                lookup.half.get_or_insert(now - lookup.began);
            }
            self.send(l, writer);
        }
    }

    /// No further part call can bring this part's answer.
    fn is_hopeless(&self, lookup: &Lookup, part: &Part) -> bool {
        !part.answered
            && part.out() == 0
            && (!self.may_run_again(lookup, part)
                || part.calls.len() >= self.deployment.allowance.calls_a_part
                || self.holders(part.shard).next().is_none())
    }

    /// Whether a new lookup is taken on. What is out is held to what comes back within a share of the
    /// shortest soft deadline: this does not bind while answers come fast, and keeps queues short.
    fn admits(&mut self, l: usize) -> bool {
        self.delays.fade(self.now);
        let Some(Some(lookup)) = self.lookups.get(l) else { return false };
        // A client that leaves sooner than its parts can be expected is not worth them.
        let horizon = self.soft.min((lookup.hard - self.now) as f64);
        let parts = lookup.parts.len() as f64;
        // Those that an answer may go without are not waited for.
        let n = parts / (1.0 + (1.0 - self.deployment.indexes[lookup.index].floor) * parts);
        let (mean, deviation) = self.delays.shape().unwrap_or((0.0, 0.0));
        let told = self.delays.weight / (self.delays.weight + UNTOLD);
        let mean = mean * told + (USUALLY * self.soft).ln() * (1.0 - told);
        let deviation = deviation * told + 0.6 * (1.0 - told);
        let slowest = mean + (1.25 * n.ln()).sqrt() * deviation;
        if self.chance.rand_float() > (TARGET * horizon / slowest.exp()).powi(POWER) {
            return false;
        }
        let Some(Some(lookup)) = self.lookups.get(l) else { return false };
        let indexes = &self.deployment.indexes;
        let quotas = &self.deployment.customer_quotas;
        // Of what came here of late, a customer is owed its share of the quotas, wherever traffic has moved.
        let owed = quotas.get(lookup.customer).map_or(1.0, |q| q / quotas.iter().sum::<f64>().max(0.001));
        let all: f64 = self.customers.iter().map(|c| c.weight).sum();
        let took = self.customers.get(lookup.customer).map_or(0.0, |c| c.weight);
        let over_share = all > 8.0 && took > 1.25 * owed * all;
        let least = indexes.iter().map(|i| i.gain).fold(f64::INFINITY, f64::min);
        let favour = match (over_share, indexes[lookup.index].gain > least) {
            (true, _) => self.deployment.over_share_gain.max(0.6),
            (_, true) => 1.25,
            _ => 1.0,
        };
        let waiting: f64 =
            self.replicas.iter().filter(|r| r.phase == Phase::Ready).map(Replica::waiting).sum();
        let full = favour * FULL * self.soft / self.quick;
        let jammed = |p: &Part| {
            let (mut out, mut told) = (0.0, f64::INFINITY);
            for r in self.holders(p.shard) {
                out += self.replicas[r].waiting() - favour * self.jam;
                told = self.replicas[r].told_load(self.now).min(told);
            }
            out > 0.0 || told.is_finite() && told > full
        };
        waiting < favour * self.room && !lookup.parts.iter().any(jammed)
    }

    /// Before its first parts go, replicas that told nothing of late are probed and shortly waited for.
    fn asks(&mut self, l: usize, writer: &mut impl Writer) -> bool {
        let now = self.now;
        let lookup = self.lookups[l].as_ref().expect("open");
        let most = (ASK_MOST * self.soft) as Tenths;
        if !self.deployment.allowance.probes || lookup.step > 0 || now + 2 * most > lookup.hard {
            return false;
        }
        let mut holders: Vec<usize> = lookup.parts.iter().flat_map(|p| self.holders(p.shard)).collect();
        holders.sort_unstable();
        holders.dedup();
        if let Some(since) = lookup.ask_until {
            let pending = |&r: &usize| self.replicas[r].asked.is_some();
            let unheard = |p: &Part| self.holders(p.shard).all(|r| pending(&r));
            let age = now - since;
            return age < ASK && holders.iter().any(pending)
                || age < most && lookup.parts.iter().any(unheard);
        }
        let mut any = false;
        for r in holders {
            let replica = &mut self.replicas[r];
            if replica.down.is_none() && replica.asked.is_none() && now - replica.told > FRESH {
                replica.asked = Some(now);
                writer.probe(r);
                any = true;
            }
        }
        self.lookups[l].as_mut().expect("open").ask_until = Some(now);
        any
    }

    /// Sends parts not yet asked for, those that failed, and second copies of those that are late.
    fn send(&mut self, l: usize, writer: &mut impl Writer) {
        let slow = self.slow();
        self.copies.fade(self.now);
        let Some(Some(lookup)) = self.lookups.get(l) else { return };
        // An answer sooner than its soft deadline asks for earns nothing: a copy waits till it must go.
        let urgent = (lookup.soft - self.now) as f64 <= URGENT * slow;
        self.breaks[lookup.index].fade_in(self.now, WARY);
        let none = !lookup.parts.iter().any(|p| p.answered);
        let alone = none && self.breaks[lookup.index].sum >= 2.0;
        let out = lookup.parts.iter().any(|p| p.out() > 0);
        if lookup.fells() || alone && out {
            return;
        }
        let straggles = lookup.half.map_or(f64::INFINITY, |half| STRAGGLES * half as f64).min(slow);
        for p in lookup.step..lookup.parts.len() {
            let part = &self.lookups[l].as_ref().expect("open").parts[p];
            if part.answered {
                continue;
            }
            let late = part.calls.last().is_some_and(|c| (self.now - c.sent) as f64 > straggles);
            let lost = part.calls.last().is_some_and(|c| self.is_lost(c, slow));
            let spare = urgent && self.copies.sum < COPIES * self.copies.weight + 1.0;
            if part.out() == 0 || part.out() == 1 && (late && spare || lost) {
                self.call(l, p, writer);
                if alone {
                    return;
                }
            }
        }
    }

    /// Ends a lookup without an answer, at once: a nack where asking again is harmless.
    fn give_up(&mut self, l: usize, writer: &mut impl Writer) {
        let Some(Some(lookup)) = self.lookups.get(l) else { return };
        let harmless = match self.deployment.indexes[lookup.index].effect {
            Effect::Idempotent => true,
            _ => lookup.parts.iter().all(Part::never_ran),
        };
        if harmless {
            let advice = self.deployment.allowance.retry_advice.map(|most| {
                let wait = self.slow() as Tenths;
                (wait / 2 + self.chance_up_to(wait.max(1))).min(most)
            });
            writer.nack(l, advice);
        } else {
            writer.abort(l);
        }
        self.withdraw_all(l, writer);
        self.lookups[l].as_mut().expect("open").over = true;
    }

    fn withdraw_all(&self, l: usize, writer: &mut impl Writer) {
        let Some(Some(lookup)) = self.lookups.get(l) else { return };
        if !self.deployment.allowance.withdraw {
            return;
        }
        for (p, part) in lookup.parts.iter().enumerate() {
            part.withdraw(l, p, writer);
        }
    }

    fn release(&mut self, writer: &mut impl Writer) {
        let lookups = &mut self.lookups;
        self.open.retain(|&l| {
            let done = lookups[l].as_ref().is_none_or(|k| k.over && k.parts.iter().all(|p| p.out() == 0));
            if done {
                lookups[l] = None;
                writer.release(l);
            }
            !done
        });
    }

    fn chance_up_to(&mut self, most: Tenths) -> Tenths {
        (self.chance.rand_float() * most as f64) as Tenths
    }
}
