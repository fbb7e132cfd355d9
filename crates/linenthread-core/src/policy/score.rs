//! The design's ordinary path: scores on a timer, and the choice by hash, threshold and score.

use super::{
    ASK, AttemptOutcome, BADNESS, Call, Coordinator, ENOUGH, FEW, FRESH, Fading, HEARD, JAM, LEAN,
    LOAD, LONGEST, Lookup, PAUSE, Part, QUICK, RECENT, RESET, ROOM, Replica, SEVERITY, SITE_LEAN,
    Seen, TICK, TOLD, TenthMillis, UNSURE, kept, mix,
};

impl Coordinator {
    /// Makes the scores anew, once a tick.
    pub(super) fn score(&mut self) {
        if self.now < self.due.tick {
            return;
        }
        self.due.tick = self.now + TICK;
        let (now, slow) = (self.now, self.time_of_most(2.0));
        let ready_count = self.replicas.iter().filter(|r| r.ready()).count().max(1) as f64;
        let fleet = &mut self.fleet;
        fleet.times.fade(now, RECENT);
        let pace = if fleet.pace > 0.0 {
            fleet.pace
        } else {
            ENOUGH * ready_count
        };
        fleet.pace = pace + (fleet.times.weight - pace) * TICK as f64 / RESET as f64;
        fleet.span = (RECENT * ENOUGH * ready_count / fleet.pace).clamp(RECENT, RECENT * LONGEST);
        let (span, quick, mean) = (
            fleet.span,
            fleet.quick,
            fleet.times.shape(HEARD).map_or(0.0, |s| s.0),
        );
        for seen in self
            .replicas
            .iter_mut()
            .map(|r| &mut r.seen)
            .chain(&mut self.sites)
        {
            seen.times.fade(now, span);
            seen.failures.fade(now, span);
        }
        self.count_lost(slow);
        let sites = &self.sites;
        // One unheard, or of few answers, leans on its site's average, and a site on the fleet's.
        let lean =
            |s: &Fading, weight: f64, mean: f64| (s.sum + weight * mean) / (s.weight + weight);
        let median =
            |s: &Seen, site: &Seen| lean(&s.times, LEAN, lean(&site.times, SITE_LEAN, mean)).exp();
        let ready = || self.replicas.iter().filter(|r| r.ready());
        // Where a table keeps parts near, a replica has more out than others only beside those of its site.
        let apart = !self.ways.is_empty();
        let out = |s: usize| {
            ready()
                .filter(move |r| !apart || r.listed.zone == s)
                .map(|r| f64::from(r.out))
        };
        let usual: Vec<_> = (0..sites.len())
            .map(|s| out(s).sum::<f64>() / out(s).count() as f64)
            .collect();
        let largest = ready()
            .map(|r| median(&r.seen, &sites[r.listed.zone]))
            .fold(1.0, f64::max);
        for replica in self.replicas.iter_mut().filter(|r| r.ready()) {
            let site = &sites[replica.listed.zone];
            let load = (f64::from(replica.out) - usual[replica.listed.zone]).max(0.0)
                + TOLD * replica.told(now, FRESH, quick);
            replica.expected = median(&replica.seen, site);
            let median = replica.expected * (1.0 + LOAD * load);
            // Lost parts count as failures before their time-outs say so: that meets a replica which hangs.
            let (lost, failures) = (f64::from(replica.lost), &replica.seen.failures);
            let severity = (failures.sum + lost + lean(&site.failures, SITE_LEAN, 0.0))
                / (failures.weight + lost + 1.0);
            let quiet = if replica.out > 0 {
                now - replica.heard
            } else {
                0
            };
            let silence = (quiet as f64 - slow).max(0.0) / largest;
            let unsure = replica
                .asked
                .filter(|&at| now - at >= ASK && replica.told_at < at)
                .map_or(0.0, |_| UNSURE);
            replica.score = median / largest + SEVERITY * severity + silence + unsure;
        }
        if now >= self.due.reset {
            self.due.reset = now + (RESET as f64 * span / RECENT) as TenthMillis;
            self.replicas
                .iter_mut()
                .for_each(|r| r.seen = Seen::default());
        }
        self.learn_capacity(ready_count);
    }

    /// Reckons from what was answered of late how many parts may be out, and what a warm replica can take.
    fn learn_capacity(&mut self, ready: f64) {
        let (now, window) = (self.now, self.deployment.slow_start.window as f64);
        let median = self.time_of_most(0.0);
        let warm = |&r: &usize| self.replicas[r].ready() && self.cold_share(r).is_none();
        let answers = |r: usize| self.replicas[r].seen.times.weight;
        let answers: Vec<f64> = (0..self.replicas.len()).filter(warm).map(answers).collect();
        let mean = answers.iter().sum::<f64>() / answers.len().max(1) as f64;
        let fleet = &mut self.fleet;
        let slowly = TICK as f64 / RESET as f64;
        fleet.quick = median.min(fleet.quick * (1.0 + slowly));
        // Only answered parts tell what a replica can do; a core does at least one in the quickest time.
        let least = window / fleet.quick / self.deployment.coordinator_count as f64;
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
            fleet.room = (back_in_time * JAM)
                .max(ready * ROOM / (self.deployment.coordinator_count as f64).sqrt());
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
    pub(super) fn is_lost(&self, call: &Call, slow: f64) -> bool {
        let silent = (self.now - self.replicas[call.replica].heard) as f64 > 2.0 * slow;
        call.ending.is_none() && (self.now - call.sent) as f64 > slow && silent
    }

    /// What parts take of late over all replicas: the median and so many deviations; few take two more.
    pub(super) fn time_of_most(&self, deviations: f64) -> f64 {
        self.fleet
            .times
            .shape(HEARD)
            .map_or(self.soft / 2.0, |(mean, deviation)| {
                (mean + deviations * deviation).exp()
            })
    }

    /// The replica for a part's next call: its natural one unless that scores too badly.
    pub(super) fn choose(&self, l: usize, p: usize) -> Option<usize> {
        let lookup = self.lookups[l].as_ref()?;
        let part = &lookup.parts[p];
        let near = |r: usize| self.near(lookup.key, &self.replicas[r]);
        let order = |&r: &usize| {
            mix([
                lookup.key,
                part.shard as u64 + 1,
                self.replicas[r].listed.id,
            ])
        };
        let fit: Vec<usize> = self
            .holders(lookup, part)
            .filter(|&r| self.may_call(lookup, part, r))
            .collect();
        // One that answered is no worse for being asked on.
        let fail = |c: &Call| c.ending != Some(AttemptOutcome::Success);
        let tried = |r: usize| part.calls.iter().any(|c| c.replica == r && fail(c));
        // Full queues don't empty at once: each further call waits twice as long as the one before.
        let turned = part
            .calls
            .iter()
            .filter(|c| c.ending == Some(AttemptOutcome::Rejected))
            .count();
        let within = |wait: TenthMillis| {
            part.calls
                .last()
                .is_some_and(|c| fail(c) && self.now < c.sent + wait)
        };
        if turned > 1 && within(PAUSE << turned) {
            return None;
        }
        let up = |r: usize| self.is_up(r, self.now);
        let (score, waiting) = (
            |r: usize| self.replicas[r].score,
            |r: usize| self.replicas[r].waiting(),
        );
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
            good()
                .filter(|&r| waiting(r) <= least + 1.0)
                .max_by_key(order)
        })
    }

    /// How near a replica is by the table, if its way is open to this key; without a table all are alike.
    fn near(&self, key: u64, r: &Replica) -> Option<u8> {
        let Some(way) = self.ways.get(r.listed.zone) else {
            return Some(u8::MAX);
        };
        (mix([key, way.id, 0]) % 1_000 < way.open_per_mille.into()).then_some(way.distance)
    }

    pub(super) fn holders(&self, lookup: &Lookup, part: &Part) -> impl Iterator<Item = usize> {
        let (layout, key) = (&self.deployment.layout, lookup.key);
        let cell = move |r: &Replica| {
            layout.holds(r.listed.replica_group, part.shard) && self.near(key, r).is_some()
        };
        // Where none is ready, one that drains serves as the last resort, until it turns a part away.
        let (now, any) = (self.now, self.replicas.iter().any(|r| r.ready() && cell(r)));
        let holds = move |r: &Replica| cell(r) && (r.ready() || !any && r.still_takes(now));
        (0..self.replicas.len()).filter(move |&r| holds(&self.replicas[r]))
    }
}
