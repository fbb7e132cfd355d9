//! The decisions of one co-ordinator.
//!
//! Make a [`Coordinator`] from what its deployment states and a seed, then call [`Coordinator::round`] with
//! all that came in since the last call and a [`Writer`] that takes the decisions. The types of both are
//! in [`crate::interface`]. It asks to be woken by itself; it reads no clock and shares nothing.
//!
//! The ordinary path is dynamic snitching: each part has a natural replica, the first in a hash of shard and
//! key, and leaves it only while that replica's score is worse than the best by more than [`BADNESS`].

use oorandom::Rand64;

use crate::interface::*;
use crate::state::*;

/// Scores are made anew this often.
const TICK: Tenths = 50;
/// All scores are forgotten this often, so that each replica gets a fair shot again.
const RESET: Tenths = 100_000;
/// How much worse than the best a natural replica may score and keep its parts.
const BADNESS: f64 = 0.6;
/// Within so long an observation loses most of its weight; with less left than this nothing was heard.
const RECENT: f64 = 30_000.0;
const HEARD: f64 = 0.1;
/// Within so long, what came from each customer does.
const SHARES: f64 = 3.0 * RECENT;
/// Where little is seen of each replica both are longer, up to so many times, for about so many answers each.
const LONGEST: f64 = 10.0;
const ENOUGH: f64 = 6.0;
/// How many answers its site's average weighs in a replica's median, and the fleet's in a site's.
const LEAN: f64 = 1.0;
const SITE_LEAN: f64 = 4.0;
/// What each part out from here adds to a replica's median, as a share, and each that it says it has waiting.
const LOAD: f64 = 1.0;
const TOLD: f64 = 0.5;
/// What a replica that only fails adds to its score, against 1 for the slowest median.
const SEVERITY: f64 = 8.0;
/// What a replica told is old after so long: then it is probed before a lookup's parts go.
const FRESH: f64 = 10_000.0;
/// So long probes are waited for; up to this share of a soft deadline while all holders of a shard owe one.
const ASK: Tenths = 250;
const ASK_MOST: f64 = 0.05;
/// Where no queue is told: the least share of lookups that are asked for, and how often that of late probes.
const PROBING: (f64, f64) = (0.1, 12.0);
/// What a probe that is not answered by then adds to a score.
const UNSURE: f64 = 4.0;
/// What is down is probed after so long, and as much again by chance, times a quarter of the co-ordinators.
const PROBE: Tenths = 1_500;
/// When no probe was answered for so long, parts may try a replica again: it may be bad to probes only.
const GIVEN_UP: Tenths = 30_000;
/// How long to wait before a replica that failed a part is asked for the same part again.
const PAUSE: Tenths = 1_000;
/// Share of parts that may have a second copy sent because the first is late, and of a lookup's last ones ...
const COPIES: (f64, f64) = (0.005, 0.02);
/// ... when no more than so many slow answers' time is left.
const URGENT: f64 = 2.5;
/// How much of the cold budget is used.
const COLD_USE: f64 = 0.8;
/// Of a cold replica's turns, the share to be used where most pass unused, and how many may be had for one.
const TURNS: (f64, f64) = (0.5, 2.0);
/// Replicas that go down unannounced keep lookups to one part first for about so long.
const WARY: f64 = 200_000.0;
/// How many slow answers' time a first answer leaves for its second step.
const PATIENT: f64 = 1.4;
/// Where so many parts make a whole answer, this share of the others is asked for from the first.
const SPARE: f64 = 0.25;
/// An index whose late answers earn no more than this is given up at its soft deadline.
const LATE_PAYS: f64 = 0.15;
/// Parts out at one replica are held to its even share of what comes back within this share of the shortest
/// soft deadline, twice that where the median answer takes half of the other, or so many at the least.
const JAM: f64 = 0.45;
const QUICK: f64 = 0.3;
const FEW: f64 = 5.0;
/// In all, a lone co-ordinator may always have so many out a replica; of many, each its part of that, and
/// more by the root of their number since they are not all at it at once.
const ROOM: f64 = 3.0;
/// How many parts of usual delay, as a share of the shortest soft deadline and as its spread, weigh in what
/// a lookup's slowest part is expected to take.
const UNTOLD: f64 = 6.0;
const USUAL: (f64, f64) = (0.2, 0.6);
/// Share of the time left within which a lookup's slowest part is to be expected.
const IN_TIME: f64 = 0.75;
/// How often it counts that a shard is slower than the rest where no replica tells what waits there: a queue
/// shows by its delay alone then, and late.
const UNSEEN: i32 = 3;
/// A connection has rested when nothing went or came on it for so long. Where calls on rested ones come to
/// nothing more often than others, by so much of all, they are closed first, for a new one.
const REST: Tenths = 7_500;
const REAPED: f64 = 0.08;
/// A client's answer must leave this long before the moment that it must be there.
const MARGIN: Tenths = 150;
/// The module asks to be woken at least this often.
const BEAT: Tenths = 100;
/// Weights are sums of rounded shares.
const ROUNDING: f64 = 0.0001;

pub struct Coordinator {
    deployment: Deployment,
    /// The shortest soft deadline of all indexes.
    soft: f64,
    chance: Rand64,
    now: Tenths,
    fleet: Fleet,
    replicas: Vec<Replica>,
    sites: Vec<Seen>,
    ways: Vec<WayTo>, // By site, while all act on a table.
    lookups: Vec<Option<Lookup>>,
    /// Lookups not yet released, oldest first.
    open: Vec<usize>,
    due: Due,
}

/// When a lookup is given up.
fn given_up_at(lookup: &Lookup, index: &Index) -> Tenths {
    if index.late_share > LATE_PAYS { lookup.hard } else { lookup.soft.min(lookup.hard) }
}

impl Coordinator {
    pub fn new(deployment: Deployment, seed: u64) -> Self {
        Coordinator {
            soft: deployment.indexes.iter().map(|i| i.soft_deadline).min().unwrap_or(0).max(1) as f64,
            fleet: Fleet {
                sizes: vec![Fading::default(); deployment.indexes.len()],
                customers: vec![Fading::default(); deployment.customer_quotas.len()],
                span: RECENT,
                quick: f64::INFINITY,
                jam: f64::INFINITY,
                room: f64::INFINITY,
                ..Fleet::default()
            },
            deployment,
            chance: Rand64::new(u128::from(seed)),
            now: 0,
            replicas: Vec::new(),
            sites: Vec::new(),
            ways: Vec::new(),
            lookups: Vec::new(),
            open: Vec::new(),
            due: Due::default(),
        }
    }

    /// One more index, for lookups taken from now on.
    pub fn add_index(&mut self, index: Index) -> usize {
        let all = &mut self.deployment.indexes;
        all.push(index);
        self.soft = all.iter().map(|i| i.soft_deadline).min().unwrap_or(0).max(1) as f64;
        self.fleet.sizes.resize(all.len(), Fading::default());
        all.len() - 1
    }

    /// So many further calls are free in each window from now on; this is one of so many co-ordinators.
    pub fn allot(&mut self, free: f64, own_number: usize, co_ordinators: usize) {
        (self.deployment.own_number, self.deployment.co_ordinators) = (own_number, co_ordinators.max(1));
        self.deployment.further_calls.iter_mut().for_each(|f| f.free = free);
    }

    /// Takes all that came in and writes what is decided on it.
    pub fn round(&mut self, arrivals: &Arrivals, writer: &mut impl Writer) {
        self.now = arrivals.now;
        if self.due.reset == 0 {
            (self.due.began, self.due.reset) = (self.now, self.now + RESET);
        }
        arrivals.roster.iter().for_each(|news| self.hear_roster(news));
        self.ways = arrivals.ways.clone().unwrap_or(std::mem::take(&mut self.ways));
        if let Some(budget) = &self.deployment.further_calls {
            self.fleet.taken.add(self.now, budget.window, arrivals.lookups.len() + arrivals.parts.len());
        }
        arrivals.lookups.iter().for_each(|new| self.take(new));
        arrivals.parts.iter().for_each(|new| self.take_part(new));
        arrivals.returns.iter().for_each(|back| self.hear(back, writer));
        arrivals.onward.iter().for_each(|&(l, p)| self.ask_on(l, p));
        arrivals.probes.iter().for_each(|back| self.hear_probe(back));
        for &lapsed in &arrivals.lapsed {
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
            writer.watch_roster();
        }
        if self.due.wake <= self.now {
            self.due.wake = self.now + BEAT;
            writer.wake_at(self.due.wake);
        }
    }

    // --- what comes in ---

    fn hear_roster(&mut self, news: &RosterNews) {
        let (listed, whole) = match news {
            RosterNews::Changes(listed) => (listed, false),
            RosterNews::Whole(listed) => (listed, true),
            RosterNews::Remembered(listed) => {
                // Restarts may come together: their questions to the roster are spread out.
                self.due.ask = self.deployment.watch_roster.then(|| self.now + self.chance_up_to(2_000));
                (listed, true)
            }
            RosterNews::Failed => {
                self.due.ask_failures = (self.due.ask_failures + 1).min(4);
                let wait = 2_500 << self.due.ask_failures;
                self.due.ask = Some(self.now + wait / 2 + self.chance_up_to(wait / 2));
                return;
            }
        };
        // Only news that came without delay leaves some of the grace: the rest counts as told before.
        let grace = if whole || self.due.ask_failures > 0 { 0 } else { self.deployment.drain_grace / 2 };
        (self.due.ask_failures, self.due.tick) = (0, self.now);
        if whole {
            self.replicas.iter_mut().for_each(|r| r.listed.phase = Phase::Gone);
        }
        for entry in listed {
            self.replicas.resize_with(self.replicas.len().max(entry.replica + 1), Replica::default);
            self.sites.resize(self.sites.len().max(entry.site + 1), Seen::default());
            let replica = &mut self.replicas[entry.replica];
            if replica.listed.id != entry.id {
                *replica = Replica::default(); // Another replica has the index now.
            }
            if replica.listed.started != entry.started {
                // A new process: nothing seen of the old one counts against it.
                (replica.seen, replica.down, replica.returned) = (Seen::default(), None, None);
            }
            if !whole && replica.ready() && entry.phase == Phase::Gone {
                self.fleet.falls.add(self.now, WARY, 1.0);
            }
            if replica.ready() {
                replica.last_call = self.now + grace;
            }
            replica.listed = entry.clone();
        }
    }

    fn take(&mut self, new: &NewLookup) {
        self.lookups.resize_with(self.lookups.len().max(new.lookup + 1), || None);
        self.lookups[new.lookup] = Some(Lookup {
            index: new.index,
            customer: new.customer,
            key: new.key.unwrap_or_else(|| mix([new.number, 0, 1])),
            soft: self.now + self.deployment.indexes[new.index].soft_deadline - MARGIN,
            hard: new.hard_deadline - MARGIN,
            ..Lookup::default()
        });
        self.open.push(new.lookup);
        if let Some(came) = self.fleet.customers.get_mut(new.customer) {
            came.add(self.now, SHARES, 1.0);
        }
    }

    fn take_part(&mut self, new: &NewPart) {
        if let Some(Some(lookup)) = self.lookups.get_mut(new.lookup) {
            lookup.parts.push(Part { shard: new.shard, weight: new.weight, ..Part::default() });
        }
    }

    /// An answered part is wanted once more: only where it may run again, and not beyond the lookup's end.
    fn ask_on(&mut self, l: usize, p: usize) {
        if let Some(Some(lookup)) = self.lookups.get_mut(l)
            && self.deployment.indexes[lookup.index].effect == Effect::Idempotent
            && let Some(part) = lookup.parts.get_mut(p).filter(|part| part.answered)
        {
            part.onward = Some(part.calls.len());
        }
    }

    fn hear(&mut self, back: &Return, writer: &mut impl Writer) {
        let (now, slow, span) = (self.now, self.time_of_most(2.0), self.fleet.span);
        let Some(Some(lookup)) = self.lookups.get_mut(back.lookup) else { return };
        let Some(part) = lookup.parts.get_mut(back.part) else { return };
        let Some(call) = part.calls.get_mut(back.call) else { return };
        call.ending = Some(back.ending);
        let (r, took) = (call.replica, back.took.max(1) as f64);
        let came_to = match back.ending {
            Ending::Answered => Some(0.0),
            Ending::Broken if call.rested == Some(true) => Some(1.0),
            Ending::Unconnected if call.rested == Some(false) => Some(1.0),
            Ending::TimedOut | Ending::Withdrawn if took >= slow => Some(1.0),
            _ => None,
        };
        if let (Some(nothing), Some(rested)) = (came_to, call.rested) {
            let sort = if rested { &mut self.fleet.rested } else { &mut self.fleet.fresh };
            sort.add(now, WARY, nothing);
        }
        let replica = &mut self.replicas[r];
        let site = &mut self.sites[replica.listed.site];
        replica.out -= 1;
        replica.used = now;
        // A part took what its first call and all after it did: a copy that is quicker mends a slow one.
        let (delays, age) = (&mut self.fleet.delays, (now - part.calls[0].sent).max(1) as f64);
        let last = part.out() == 0 && matches!(back.ending, Ending::TimedOut | Ending::Withdrawn);
        if back.ending == Ending::TurnedAway {
            replica.last_call = now;
            delays.add(now, RECENT, self.soft.ln());
            replica.seen.times.add(now, span, self.soft.ln());
        } else if !part.answered && (last || back.ending == Ending::Answered) {
            delays.add(now, RECENT, age.ln());
        }
        let usual = replica.seen.times.shape(HEARD).or(self.fleet.times.shape(HEARD));
        let late = usual.is_some_and(|(median, _)| took.ln() > median);
        match back.ending {
            Ending::Answered => {
                // A copy that came first was needed: it makes room for two more.
                let passed = |c: &Call| c.ending.is_none() || c.moved && took < slow;
                if back.call > 0 && !part.answered && part.calls[..back.call].iter().any(passed) {
                    self.fleet.copies.relieve(now, RECENT, 2.0);
                }
                part.answered |= !lookup.over;
                part.onward = part.onward.filter(|from| back.call < *from);
                replica.heard = now;
                replica.answers(now, back.queue);
                for seen in [&mut replica.seen, site] {
                    seen.failures.add(now, span, 0.0);
                    seen.times.add(now, span, took.ln());
                }
                self.fleet.times.add(now, RECENT, took.ln());
                if self.deployment.allowance.withdraw && !lookup.over {
                    part.withdraw(back.lookup, back.part, writer);
                }
            }
            // It would have taken longer still: that much is known. A client that left early, or a copy that
            // was quicker, says no more of the replica.
            Ending::Withdrawn | Ending::TimedOut if back.ending == Ending::Withdrawn || took < slow => {
                for seen in [&mut replica.seen, site].into_iter().filter(|_| late) {
                    seen.times.add(now, span, took.ln());
                }
            }
            Ending::Unsent => {}
            _ => {
                replica.seen.failures.add(now, span, 1.0);
                site.failures.add(now, span, 1.0);
            }
        }
        let broken = back.ending == Ending::Broken;
        if broken && !lookup.broke.contains(&r) {
            lookup.broke.push(r);
            replica.broke_under = self.deployment.allowance.probes;
        }
        if broken || back.ending == Ending::Unconnected {
            replica.down.get_or_insert((now, now));
        }
    }

    fn hear_probe(&mut self, back: &ProbeReturn) {
        let now = self.now;
        self.due.tick = now;
        let Some(replica) = self.replicas.get_mut(back.replica) else { return };
        let since = replica.asked.take().unwrap_or(now);
        self.fleet.unsure.add(now, SHARES, f64::from(now - since >= ASK));
        // A replica that broke off and is gone may have been brought down; one that answers was not.
        if replica.broke_under && back.ending != Ending::TurnedAway {
            replica.broke_under = false;
            replica.died = back.ending != Ending::Answered;
            self.fleet.falls.add(now, WARY, f64::from(replica.died));
        }
        match back.ending {
            Ending::Answered => replica.answers(now, back.queue),
            _ if replica.told_at >= since => {}
            Ending::Unconnected | Ending::Broken => {
                replica.down.get_or_insert((now, now + PROBE));
            }
            // Too busy for a probe: nothing is known but that much waits there.
            _ => replica.tell(now, self.soft / self.fleet.quick),
        }
    }

    /// Probes what is down: a part sent there would be lost time and a spent call.
    fn probe(&mut self, writer: &mut impl Writer) {
        for r in 0..self.replicas.len() {
            if self.deployment.allowance.probes
                && self.replicas[r].ready()
                && let Some((since, next)) = self.replicas[r].down
                && next <= self.now
            {
                let share = (self.deployment.co_ordinators as Tenths / 4).max(1);
                let wait = PROBE.max((self.now - since) / 4) * share;
                self.replicas[r].down = Some((since, self.now + wait + self.chance_up_to(wait)));
                self.replicas[r].asked.get_or_insert(self.now);
                writer.probe(r);
            }
        }
    }

    // --- the design's ordinary path ---

    /// Makes the scores anew, once a tick.
    fn score(&mut self) {
        if self.now < self.due.tick {
            return;
        }
        self.due.tick = self.now + TICK;
        let (now, slow) = (self.now, self.time_of_most(2.0));
        let ready_count = self.replicas.iter().filter(|r| r.ready()).count().max(1) as f64;
        let fleet = &mut self.fleet;
        fleet.times.fade(now, RECENT);
        let pace = if fleet.pace > 0.0 { fleet.pace } else { ENOUGH * ready_count };
        fleet.pace = pace + (fleet.times.weight - pace) * TICK as f64 / RESET as f64;
        fleet.span = (RECENT * ENOUGH * ready_count / fleet.pace).clamp(RECENT, RECENT * LONGEST);
        let (span, quick, mean) = (fleet.span, fleet.quick, fleet.times.shape(HEARD).map_or(0.0, |s| s.0));
        for seen in self.replicas.iter_mut().map(|r| &mut r.seen).chain(&mut self.sites) {
            seen.times.fade(now, span);
            seen.failures.fade(now, span);
        }
        self.count_lost(slow);
        let sites = &self.sites;
        // An unheard replica counts as its site's average, and one of few answers leans on it, as the site
        // does on the fleet's: a slow or lossy way to a site shows there first.
        let lean = |s: &Fading, weight: f64, mean: f64| (s.sum + weight * mean) / (s.weight + weight);
        let median = |s: &Seen, site: &Seen| lean(&s.times, LEAN, lean(&site.times, SITE_LEAN, mean)).exp();
        let ready = || self.replicas.iter().filter(|r| r.ready());
        // Where a table keeps parts near, a replica has more out than others only beside those of its site.
        let apart = !self.ways.is_empty();
        let out = |s: usize| ready().filter(move |r| !apart || r.listed.site == s).map(|r| f64::from(r.out));
        let usual: Vec<_> = (0..sites.len()).map(|s| out(s).sum::<f64>() / out(s).count() as f64).collect();
        let largest = ready().map(|r| median(&r.seen, &sites[r.listed.site])).fold(1.0, f64::max);
        for replica in self.replicas.iter_mut().filter(|r| r.ready()) {
            let site = &sites[replica.listed.site];
            let load = (f64::from(replica.out) - usual[replica.listed.site]).max(0.0)
                + TOLD * replica.told(now, FRESH, quick);
            replica.expected = median(&replica.seen, site);
            let median = replica.expected * (1.0 + LOAD * load);
            // Lost parts count as failures before their time-outs say so: that meets a replica which hangs.
            let (lost, failures) = (f64::from(replica.lost), &replica.seen.failures);
            let severity =
                (failures.sum + lost + lean(&site.failures, SITE_LEAN, 0.0)) / (failures.weight + lost + 1.0);
            let quiet = if replica.out > 0 { now - replica.heard } else { 0 };
            let silence = (quiet as f64 - slow).max(0.0) / largest;
            let unsure =
                replica.asked.filter(|&at| now - at >= ASK && replica.told_at < at).map_or(0.0, |_| UNSURE);
            replica.score = median / largest + SEVERITY * severity + silence + unsure;
        }
        if now >= self.due.reset {
            self.due.reset = now + (RESET as f64 * span / RECENT) as Tenths;
            self.replicas.iter_mut().for_each(|r| r.seen = Seen::default());
        }
        self.learn_capacity(ready_count);
    }

    /// Reckons from what was answered of late how many parts may be out, and what a warm replica can take.
    fn learn_capacity(&mut self, ready: f64) {
        let (now, window) = (self.now, self.deployment.cold.window as f64);
        let median = self.time_of_most(0.0);
        let warm = |&r: &usize| self.replicas[r].ready() && self.cold_share(r).is_none();
        let answers = |r: usize| self.replicas[r].seen.times.weight;
        let answers: Vec<f64> = (0..self.replicas.len()).filter(warm).map(answers).collect();
        let mean = answers.iter().sum::<f64>() / answers.len().max(1) as f64;
        let fleet = &mut self.fleet;
        let slowly = TICK as f64 / RESET as f64;
        fleet.quick = median.min(fleet.quick * (1.0 + slowly));
        // Only answered parts tell what a replica can do; a core does at least one in the quickest time.
        let least = window / fleet.quick / self.deployment.co_ordinators as f64;
        let seen = mean * window / fleet.span;
        fleet.usual = (fleet.usual * (1.0 - slowly)).max(least).max(seen);
        fleet.flow = fleet.copies.weight * window / RECENT / ready; // What is sent: a jam answers little.
        // In its first soft deadline's time a co-ordinator has seen too little to turn anything away.
        if (now - self.due.began) as f64 >= self.soft {
            // One that has just started has not yet seen a whole span of answers.
            let seen = RECENT * (1.0 - kept(self.due.began, now, RECENT));
            // While answers still come fast a burst may fill what a jam may not.
            let ease = (QUICK * self.soft / median).clamp(1.0, 2.0);
            let back_in_time = fleet.times.weight / seen * self.soft * ease;
            fleet.jam = (back_in_time * JAM / ready).max(FEW);
            fleet.room =
                (back_in_time * JAM).max(ready * ROOM / (self.deployment.co_ordinators as f64).sqrt());
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

    /// A slow part call whose replica has been silent for as long again.
    fn is_lost(&self, call: &Call, slow: f64) -> bool {
        let silent = (self.now - self.replicas[call.replica].heard) as f64 > 2.0 * slow;
        call.ending.is_none() && (self.now - call.sent) as f64 > slow && silent
    }

    /// What parts take of late over all replicas: the median and so many deviations; few take two more.
    fn time_of_most(&self, deviations: f64) -> f64 {
        self.fleet
            .times
            .shape(HEARD)
            .map_or(self.soft / 2.0, |(mean, deviation)| (mean + deviations * deviation).exp())
    }

    /// The replica for a part's next call: its natural one unless that scores too badly.
    fn choose(&self, l: usize, p: usize) -> Option<usize> {
        let lookup = self.lookups[l].as_ref()?;
        let part = &lookup.parts[p];
        let near = |r: usize| self.near(lookup.key, &self.replicas[r]);
        let order = |&r: &usize| mix([lookup.key, part.shard as u64 + 1, self.replicas[r].listed.id]);
        let fit: Vec<usize> =
            self.holders(lookup, part).filter(|&r| self.may_call(lookup, part, r)).collect();
        // One that answered is no worse for being asked on.
        let fail = |c: &Call| c.ending != Some(Ending::Answered);
        let tried = |r: usize| part.calls.iter().any(|c| c.replica == r && fail(c));
        // Full queues don't empty at once: each further call waits twice as long as the one before.
        let turned = part.calls.iter().filter(|c| c.ending == Some(Ending::TurnedAway)).count();
        let within = |wait: Tenths| part.calls.last().is_some_and(|c| fail(c) && self.now < c.sent + wait);
        if turned > 1 && within(PAUSE << turned) {
            return None;
        }
        let up = |r: usize| self.replicas[r].down.is_none_or(|(since, _)| self.now > since + GIVEN_UP);
        let (score, waiting) = (|r: usize| self.replicas[r].score, |r: usize| self.replicas[r].waiting());
        // A part also leaves for a good twin that has two fewer of ours waiting.
        (0..3).find_map(|level| {
            let allowed = |r: &usize| match level {
                0 => up(*r) && !tried(*r) && waiting(*r) <= self.fleet.jam,
                1 => up(*r) && !tried(*r),
                _ => up(*r) && !within(PAUSE),
            };
            let allowed = || fit.iter().copied().filter(allowed);
            let best = allowed().map(score).min_by(f64::total_cmp)?;
            let good = || allowed().filter(|&r| score(r) <= best * (1.0 + BADNESS));
            let nearest = good().filter_map(near).min(); // By the table, before their load is looked at.
            let good = || good().filter(|&r| near(r) == nearest);
            let least = good().map(waiting).fold(f64::INFINITY, f64::min);
            good().filter(|&r| waiting(r) <= least + 1.0).max_by_key(order)
        })
    }

    /// How near a replica is by the table, if its way is open to this key; without a table all are alike.
    fn near(&self, key: u64, r: &Replica) -> Option<u8> {
        let Some(way) = self.ways.get(r.listed.site) else { return Some(u8::MAX) };
        (mix([key, way.id, 0]) % 1_000 < way.open.into()).then_some(way.distance)
    }

    fn holders(&self, lookup: &Lookup, part: &Part) -> impl Iterator<Item = usize> {
        let (layout, key) = (&self.deployment.layout, lookup.key);
        let cell = move |r: &Replica| layout.holds(r.listed.cell, part.shard) && self.near(key, r).is_some();
        // Where none is ready, one that drains serves as the last resort, until it turns a part away.
        let (now, any) = (self.now, self.replicas.iter().any(|r| r.ready() && cell(r)));
        let holds = move |r: &Replica| cell(r) && (r.ready() || !any && r.still_takes(now));
        (0..self.replicas.len()).filter(move |&r| holds(&self.replicas[r]))
    }

    // --- the gate ---

    /// Whether a part call may be made at all. Every send passes here, and nothing else holds the rules.
    fn may_call(&self, lookup: &Lookup, part: &Part, r: usize) -> bool {
        part.out() <= usize::from(self.deployment.allowance.second_copies) && self.may_go(lookup, part, r)
    }

    /// Whether it may, but for what is out.
    fn may_go(&self, lookup: &Lookup, part: &Part, r: usize) -> bool {
        self.may_run_again(lookup, part)
            && !lookup.over
            && part.is_wanted()
            && (self.replicas[r].ready() || self.replicas[r].still_takes(self.now))
            && part.calls.len() < self.deployment.allowance.calls_a_part
            && part.calls.iter().all(|c| c.ending.is_some() || c.replica != r)
            && self.cold_room(r)
            && (part.calls.is_empty() || self.further_room())
            && !self.too_late(lookup, part, r)
    }

    /// It is down to the lookup's end; or the part's next call is a further one and would come too late: work
    /// that no withdrawal may stop.
    fn too_late(&self, lookup: &Lookup, part: &Part, r: usize) -> bool {
        let (end, replica) = (given_up_at(lookup, &self.deployment.indexes[lookup.index]), &self.replicas[r]);
        replica.down.is_some_and(|(since, _)| since + GIVEN_UP >= end)
            || !part.calls.is_empty() && replica.expected > (end - self.now) as f64
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
        let age = self.now - self.replicas[r].began()?;
        (age < cold.warm_up)
            .then(|| cold.share + (1.0 - cold.share) * age.max(0) as f64 / cold.warm_up as f64)
    }

    /// Whether a cold replica has room for one more within each window. Capacity is not told; what warm ones
    /// get from here is never more than they can do, and each co-ordinator keeps to its own part of it.
    fn cold_room(&self, r: usize) -> bool {
        let Some(share) = self.cold_share(r) else { return true };
        let cold = &self.deployment.cold;
        let sent = self.replicas[r].cold_sends.since(self.now - cold.window);
        let told = self.replicas[r].listed.cold_share.unwrap_or(1.0);
        let room = cold.multiple * COLD_USE * share * told * self.fleet.usual;
        if room >= 1.0 {
            return (sent + 1) as f64 <= room;
        }
        // Less than one in each window: the co-ordinators take turns, window by window since its start.
        let age = self.now - self.replicas[r].began().unwrap_or(0);
        // Who sees little seldom has a part for it in its turn: more have theirs at once, to use some of it.
        let used = 1.0 - (-self.fleet.flow).exp();
        let room = room * (TURNS.0 / used).clamp(1.0, TURNS.1);
        let turn = (age / cold.window.max(1)) as u64
            + self.deployment.own_number as u64
            + self.replicas[r].listed.id;
        sent == 0 && turn.is_multiple_of((1.0 / room).ceil().min(self.deployment.co_ordinators as f64) as u64)
    }

    fn further_room(&self) -> bool {
        let Some(budget) = &self.deployment.further_calls else { return true };
        let start = self.now - budget.window;
        let further = (self.fleet.further.since(start) + 1) as f64;
        further <= budget.free + budget.share * self.fleet.taken.since(start + 1) as f64
    }

    /// Makes a part call, if a replica may take it.
    fn call(&mut self, l: usize, p: usize, writer: &mut impl Writer) {
        let Some(r) = self.choose(l, p) else { return };
        let now = self.now;
        let cold = self.cold_share(r).is_some();
        let lookup = self.lookups[l].as_mut().expect("chosen for");
        let end = given_up_at(lookup, &self.deployment.indexes[lookup.index]);
        let part = &mut lookup.parts[p];
        let further = !part.calls.is_empty();
        self.fleet.copies.add(now, RECENT, if part.out() > 0 { 1.0 } else { 0.0 });
        let replica = &mut self.replicas[r];
        let alone = replica.out == 0;
        let rested = alone && now - replica.used > REST;
        let (old, new) = (self.fleet.rested.shape(ENOUGH), self.fleet.fresh.shape(ENOUGH));
        let reaped = rested && old.zip(new).is_some_and(|(old, new)| old.0 > new.0 + REAPED);
        if reaped {
            writer.close(r);
        }
        part.calls.push(Call {
            replica: r,
            sent: now,
            rested: alone.then_some(rested && !reaped),
            ending: None,
            moved: false,
        });
        replica.used = now;
        if alone {
            replica.heard = now;
        }
        replica.out += 1;
        if cold {
            replica.cold_sends.add(now, self.deployment.cold.window, 1);
        }
        if let (Some(budget), true) = (&self.deployment.further_calls, further) {
            self.fleet.further.add(now, budget.window, 1);
        }
        writer.call(l, p, r, (end - now).max(1));
    }

    // --- lookups ---

    /// Answers a lookup, gives it up, or sends what it still needs.
    fn settle(&mut self, l: usize, writer: &mut impl Writer) {
        if self.asks(l, writer) {
            return;
        }
        let partless = |k: &Lookup| k.parts.len() == k.step && self.now < k.hard;
        let Some(lookup) = self.lookups[l].as_ref().filter(|k| !k.over && !partless(k)) else { return };
        let index = &self.deployment.indexes[lookup.index];
        let end = given_up_at(lookup, index);
        let total = lookup.weigh(|_| true).max(ROUNDING);
        let got = lookup.weigh(|p| p.answered) / total;
        let lost = lookup.weigh(|p| self.is_hopeless(lookup, p)) / total;
        let need = if lookup.step > 0 { 1.0 } else { index.need };
        let floor = if lookup.step > 0 && index.floor >= index.need { 1.0 } else { index.floor };
        let enough = |share: f64, of: f64| share >= of - ROUNDING / 2.0;
        let whole = enough(got, need);
        let partial_pays = index.partial_gain * got / need > index.late_share;
        // A first answer leaves time for the second step.
        let two = if index.second_step > 0 && lookup.step == 0 { PATIENT } else { 0.0 };
        let by = self.now + (two * self.time_of_most(2.0)) as Tenths;
        let late = by >= end || by >= lookup.soft && partial_pays;
        let answer = whole || enough(got, floor) && (late || !enough(1.0 - lost, need));
        let marked_whole = whole && lookup.first_whole.unwrap_or(true);
        // What is asked on is waited for while it is out: never beyond the soft deadline, nor for room.
        let onward = |k: &Lookup| k.parts.iter().any(|p| p.onward.is_some());
        let asks_on = onward(lookup) && self.now < end.min(lookup.soft);
        if answer {
            let ends = lookup.first_whole.is_some() || index.second_step == 0;
            if asks_on {
                self.send(l, writer);
                let lookup = self.lookups[l].as_ref().expect("open");
                if lookup.parts.iter().any(|p| p.onward.is_some() && p.out() > 0) {
                    return;
                }
            }
            writer.satisfy(l, marked_whole);
            self.withdraw_all(l, writer);
            let lookup = self.lookups[l].as_mut().expect("open");
            lookup.over = ends;
            lookup.first_whole = Some(marked_whole);
            lookup.step = lookup.parts.len();
        } else if self.now >= end
            || self.fells(lookup, true) && !lookup.out()
            || !enough(1.0 - lost, floor)
            || !lookup.admitted && !self.admits(l)
        {
            self.give_up(l, writer);
        } else {
            self.lookups[l].as_mut().expect("open").admitted = true;
            self.send(l, writer);
        }
    }

    /// It may be what brings replicas down: two broke off under it, or are proven gone by probes, unanswered;
    /// while others fall, one.
    fn fells(&self, lookup: &Lookup, proven: bool) -> bool {
        let felled = |r: &Replica| r.down.is_some() && (!proven || !r.broke_under);
        let most = usize::from(self.fleet.falls.sum <= 1.0);
        lookup.unanswered() && lookup.broke.iter().filter(|&&r| felled(&self.replicas[r])).count() > most
    }

    /// No further part call can bring this part's answer.
    fn is_hopeless(&self, lookup: &Lookup, part: &Part) -> bool {
        !part.answered
            && part.out() == 0
            && (!self.may_run_again(lookup, part)
                || part.calls.len() >= self.deployment.allowance.calls_a_part
                || self.holders(lookup, part).all(|r| self.too_late(lookup, part, r)))
    }

    /// Whether a new lookup is taken on: not when its slowest part, or any index's, can be expected after its
    /// client wants it, nor when a shard's holders are jammed, by what is out from here or by their own word.
    fn admits(&mut self, l: usize) -> bool {
        let now = self.now;
        self.fleet.delays.fade(now, RECENT);
        self.fleet.costs.fade(now, SHARES);
        self.fleet.customers.iter_mut().for_each(|c| c.fade(now, SHARES));
        let Some(Some(lookup)) = self.lookups.get(l) else { return false };
        let (indexes, delays) = (&self.deployment.indexes, &self.fleet.delays);
        let (index, parts) = (&indexes[lookup.index], lookup.parts.len() as f64);
        let (mean, deviation) = delays.shape(HEARD).unwrap_or((0.0, 0.0));
        let known = delays.weight / (delays.weight + UNTOLD);
        let mean = known * mean + (1.0 - known) * (USUAL.0 * self.soft).ln();
        let deviation = known * deviation + (1.0 - known) * USUAL.1;
        // About the mean of the largest of n normal values; those an answer may lack are not waited for.
        let slowest = |parts: f64, index: &Index| {
            let of = |n: f64| (mean + (1.25 * n.max(1.0).ln()).sqrt() * deviation).exp();
            let second = if index.second_step > 0 { of(index.second_step as f64) } else { 0.0 };
            of(parts / (1.0 + (1.0 - index.floor) * parts)) + second
        };
        // Where a shard is slower than the rest, all that need it meet in the queue of its quickest holder.
        let of = |r: usize| self.replicas[r].expected;
        let quickest = |p: &Part| self.holders(lookup, p).map(of).min_by(f64::total_cmp);
        let mut expected: Vec<f64> = lookup.parts.iter().filter_map(quickest).collect();
        expected.sort_by(f64::total_cmp);
        let needed = (index.floor * expected.len() as f64).ceil() as usize;
        let slower = expected.get(needed.saturating_sub(1)).map_or(1.0, |e| (e / mean.exp()).max(1.0));
        let slower = slower.powi(if self.deployment.queue_told { 1 } else { UNSEEN });
        // A client that leaves sooner is not worth the parts.
        let horizon = (lookup.soft.min(lookup.hard) - now).max(1) as f64;
        self.fleet.sizes[lookup.index].add(now, SHARES, parts);
        let own = slowest(parts, index) * slower / horizon;
        let of = |size: &Fading, i: &Index| Some(slowest(size.shape(HEARD)?.0, i) / i.soft_deadline as f64);
        let all = self.fleet.sizes.iter().zip(indexes).filter_map(|(size, i)| of(size, i));
        let pressure = all.fold(own, f64::max) / IN_TIME;
        // Of what came here of late a customer is owed its share of the quotas, wherever traffic has moved.
        let (quotas, customers) = (&self.deployment.customer_quotas, &self.fleet.customers);
        let all: f64 = customers.iter().map(|c| c.weight).sum();
        let owed = all / quotas.iter().sum::<f64>().max(0.001);
        let over = |(q, came): (&f64, &Fading)| all > 8.0 && came.weight > 1.25 * owed * q;
        let over_share = quotas.get(lookup.customer).zip(customers.get(lookup.customer)).is_some_and(over);
        // What it costs for its gain, beside what all do: the dear are refused first. All co-ordinators see
        // much the same delays: by chance they turn away no more than it takes.
        let cost = if self.deployment.gain_by_work { 1.0 } else { parts } / index.gain.max(0.001);
        let costs = &mut self.fleet.costs;
        (costs.weight, costs.sum) = (costs.weight + parts, costs.sum + parts * cost);
        let dear = cost * costs.weight / costs.sum.max(0.001);
        let dear = if over_share { dear / self.deployment.over_share_gain.max(0.1) } else { dear };
        if self.chance.rand_float() > pressure.powf(-3.0 * dear) {
            return false;
        }
        let favour = if dear < 1.0 { 1.25 } else { 1.0 };
        let favour = if over_share { self.deployment.over_share_gain.max(0.6) } else { favour };
        let jammed = |p: &Part| {
            let (mut out, mut told) = (0.0, f64::INFINITY);
            for r in self.holders(lookup, p) {
                out += self.replicas[r].waiting() - favour * self.fleet.jam;
                told = self.replicas[r].told(self.now, FRESH, self.fleet.quick).min(told);
            }
            out > 0.0 || told.is_finite() && told > favour * self.soft / self.fleet.quick
        };
        let waiting: f64 = self.replicas.iter().map(Replica::waiting).sum();
        waiting < favour * self.fleet.room && !lookup.parts.iter().any(jammed)
    }

    /// Holds a lookup while the holders that told nothing of late are probed, and shortly waited for: where
    /// each is seen seldom, what is remembered is too old to tell a sick one by.
    fn asks(&mut self, l: usize, writer: &mut impl Writer) -> bool {
        let (now, most) = (self.now, (ASK_MOST * self.soft) as Tenths);
        let Some(Some(lookup)) = self.lookups.get(l) else { return false };
        let seldom = self.fleet.span > 1.5 * RECENT && self.deployment.allowance.probes;
        let settled = lookup.admitted || lookup.over || now + 2 * most > lookup.hard;
        if !seldom || settled || lookup.parts.is_empty() {
            return false;
        }
        if let Some(since) = lookup.asked {
            let asked = |r: usize| self.replicas[r].asked.is_some();
            let unheard = |p: &Part| self.holders(lookup, p).all(asked);
            let waits = |p: &Part| self.holders(lookup, p).any(asked);
            return now - since < ASK && lookup.parts.iter().any(waits)
                || now - since < most && lookup.parts.iter().any(unheard);
        }
        // Where no queue is told a probe tells by its delay alone, if at all: few go while all are quick.
        let late = self.fleet.unsure.shape(HEARD).map_or(1.0, |s| s.0);
        if !self.deployment.queue_told && self.chance.rand_float() >= (PROBING.1 * late).max(PROBING.0) {
            return false;
        }
        let mut old: Vec<usize> = lookup.parts.iter().flat_map(|p| self.holders(lookup, p)).collect();
        old.retain(|&r| {
            let replica = &mut self.replicas[r];
            let ask = replica.down.is_none() && (now - replica.told_at) as f64 > FRESH;
            ask && replica.asked.replace(now).is_none()
        });
        old.iter().for_each(|&r| writer.probe(r));
        self.lookups[l].as_mut().expect("open").asked = Some(now);
        !old.is_empty()
    }

    /// Sends parts not yet asked for, those that failed, and second copies of those that are late.
    fn send(&mut self, l: usize, writer: &mut impl Writer) {
        let (now, slow) = (self.now, self.time_of_most(2.0));
        self.fleet.copies.fade(now, RECENT);
        self.fleet.falls.fade(now, WARY);
        let Some(Some(lookup)) = self.lookups.get(l) else { return };
        // Several replicas that fall may be the work of what lookups ask for: one part goes first then, and
        // the others once it outlasts a slow one's time.
        let wary = lookup.unanswered() && self.fleet.falls.sum > 1.0;
        let lasts = |c: &Call, time: f64| c.ending.is_none() && (now - c.sent) as f64 <= time;
        let mut calls = lookup.parts.iter().flat_map(|p| &p.calls);
        if self.fells(lookup, false) || wary && calls.any(|c| lasts(c, slow)) {
            return;
        }
        let alone = wary && !lookup.out();
        // An answer sooner than its soft deadline asks for earns nothing: a copy waits till it must go.
        let urgent = (lookup.soft - now) as f64 <= URGENT * slow;
        let missing = lookup.parts[lookup.step..].iter().filter(|p| !p.answered).count();
        let share = if missing > 1 { COPIES.0 } else { COPIES.1 };
        let mut order: Vec<usize> = (lookup.step..lookup.parts.len()).collect();
        // Where any so many parts make a whole answer, those of the quickest go, and more as some are late.
        let need = if lookup.step > 0 { 1.0 } else { self.deployment.indexes[lookup.index].need };
        let mut wanted = f64::INFINITY;
        if need < 1.0 {
            let coming = |p: &Part| p.answered || p.calls.iter().any(|c| lasts(c, slow));
            wanted = (need + SPARE * (1.0 - need)) * lookup.weigh(|_| true) - lookup.weigh(coming);
            let score = |r: usize| (1_000.0 * self.replicas[r].score) as u64;
            order.sort_by_cached_key(|&p| self.holders(lookup, &lookup.parts[p]).map(score).min());
        }
        for p in order {
            let part = &self.lookups[l].as_ref().expect("open").parts[p];
            let first = part.calls.is_empty();
            if !part.is_wanted() || first && wanted <= ROUNDING / 2.0 {
                continue;
            }
            wanted -= if first { part.weight } else { 0.0 };
            let late = part.calls.last().is_some_and(|c| (now - c.sent) as f64 > slow);
            let spare = late && urgent && self.fleet.copies.sum < share * self.fleet.copies.weight + 1.0;
            if spare && self.moves(l, p, slow) {
                let c = part.calls.iter().position(|c| c.ending.is_none()).expect("out");
                writer.withdraw(l, p, c);
                self.fleet.copies.sum += 1.0;
                self.lookups[l].as_mut().expect("open").parts[p].calls[c].moved = true;
            } else if part.out() == 0 || part.out() == 1 && spare {
                self.call(l, p, writer);
                if alone {
                    return;
                }
            }
        }
    }

    /// As many calls are out as may be, and one is as good as lost: it is called off, and the part goes to
    /// another holder once that is known.
    fn moves(&self, l: usize, p: usize, slow: f64) -> bool {
        let lookup = self.lookups[l].as_ref().expect("open");
        let part = &lookup.parts[p];
        self.deployment.allowance.withdraw
            && part.out() > usize::from(self.deployment.allowance.second_copies)
            && part.calls.iter().any(|c| self.is_lost(c, slow))
            && part.calls.iter().all(|c| !c.moved || c.ending.is_some())
            && self
                .holders(lookup, part)
                .any(|r| self.replicas[r].down.is_none() && self.may_go(lookup, part, r))
    }

    /// Ends a lookup without an answer, at once: a nack where asking again is harmless.
    fn give_up(&mut self, l: usize, writer: &mut impl Writer) {
        let Some(Some(lookup)) = self.lookups.get(l) else { return };
        let idempotent = self.deployment.indexes[lookup.index].effect == Effect::Idempotent;
        if idempotent || lookup.parts.iter().all(Part::never_ran) {
            let wait = self.time_of_most(2.0) as Tenths;
            let wait = wait / 2 + self.chance_up_to(wait.max(1));
            let advice = self.deployment.allowance.retry_advice.map(|most| wait.min(most));
            writer.nack(l, advice);
        } else {
            writer.abort(l);
        }
        self.withdraw_all(l, writer);
        self.lookups[l].as_mut().expect("open").over = true;
    }

    fn withdraw_all(&self, l: usize, writer: &mut impl Writer) {
        if let (Some(Some(lookup)), true) = (self.lookups.get(l), self.deployment.allowance.withdraw) {
            lookup.parts.iter().enumerate().for_each(|(p, part)| part.withdraw(l, p, writer));
        }
    }

    fn release(&mut self, writer: &mut impl Writer) {
        let lookups = &mut self.lookups;
        self.open.retain(|&l| {
            let done = lookups[l].as_ref().is_none_or(|k| k.over && !k.out());
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
