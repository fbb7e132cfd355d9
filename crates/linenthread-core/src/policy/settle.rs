//! Lookups: taken on or not, answered, sent on, given up.

use super::{
    ASK, ASK_MOST, COPIES, Call, Coordinator, DecisionSink, FRESH, Fading, FailureCause, HEARD,
    IN_TIME, Idempotency, IndexConfig, Lookup, PATIENT, PROBING, Part, RECENT, ROUNDING, Replica,
    SHARES, SPARE, TenthMillis, UNSEEN, UNTOLD, URGENT, USUAL, WARY, given_up_at,
};

impl Coordinator {
    /// Answers a lookup, gives it up, or sends what it still needs.
    pub(super) fn settle(&mut self, l: usize, writer: &mut impl DecisionSink) {
        if self.asks(l, writer) {
            return;
        }
        let partless = |k: &Lookup| k.parts.len() == k.step && self.now < k.hard;
        let Some(lookup) = self.lookups[l].as_ref().filter(|k| !k.over && !partless(k)) else {
            return;
        };
        let index = &self.deployment.indexes[lookup.index];
        let end = given_up_at(lookup, index);
        let total = lookup.weigh(|_| true).max(ROUNDING);
        let got = lookup.weigh(|p| p.answered) / total;
        let lost = lookup.weigh(|p| self.is_hopeless(lookup, p)) / total;
        let need = if lookup.step > 0 {
            1.0
        } else {
            index.complete_share
        };
        let floor = if lookup.step > 0 && index.min_share >= index.complete_share {
            1.0
        } else {
            index.min_share
        };
        let enough = |share: f64, of: f64| share >= of - ROUNDING / 2.0;
        let whole = enough(got, need);
        let partial_pays = index.partial_value * got / need > index.late_value_share;
        // A first answer leaves time for the second step.
        let two = if index.fetch_sub_requests > 0 && lookup.step == 0 {
            PATIENT
        } else {
            0.0
        };
        let by = self.now + (two * self.time_of_most(2.0)) as TenthMillis;
        let late = by >= end || by >= lookup.soft && partial_pays;
        let answer = whole || enough(got, floor) && (late || !enough(1.0 - lost, need));
        let marked_whole = whole && lookup.first_whole.unwrap_or(true);
        // What is asked on is waited for while it is out: never beyond the soft deadline, nor for room.
        let onward = |k: &Lookup| k.parts.iter().any(|p| p.onward.is_some());
        let asks_on = onward(lookup) && self.now < end.min(lookup.soft);
        if answer {
            let ends = lookup.first_whole.is_some() || index.fetch_sub_requests == 0;
            if asks_on {
                self.send(l, writer);
                let lookup = self.lookups[l].as_ref().expect("open");
                if lookup
                    .parts
                    .iter()
                    .any(|p| p.onward.is_some() && p.out() > 0)
                {
                    return;
                }
            }
            writer.respond(l, marked_whole);
            self.withdraw_all(l, writer);
            let lookup = self.lookups[l].as_mut().expect("open");
            lookup.over = ends;
            lookup.first_whole = Some(marked_whole);
            lookup.step = lookup.parts.len();
            return;
        }
        let why = match () {
            () if self.now >= end => Some(FailureCause::DeadlineExceeded),
            () if self.fells(lookup, true) && !lookup.out() => Some(FailureCause::QueryOfDeath),
            () if !enough(1.0 - lost, floor) => Some(FailureCause::Unanswerable),
            () if !lookup.admitted => self.refuses(l),
            () => None,
        };
        if let Some(why) = why {
            return self.give_up(l, why, writer);
        }
        self.lookups[l].as_mut().expect("open").admitted = true;
        self.send(l, writer);
    }

    /// It may be what brings replicas down: two broke off under it, or are proven gone by probes, unanswered;
    /// while others fall, one. Where nothing probes there is no proof, and resets alone end nothing.
    fn fells(&self, lookup: &Lookup, proven: bool) -> bool {
        let felled = |r: &Replica| r.down.is_some() && (!proven || !r.broke_under);
        let most = usize::from(self.fleet.falls.sum <= 1.0);
        self.deployment.permissions.health_probes
            && lookup.unanswered()
            && lookup
                .broke
                .iter()
                .filter(|&&r| felled(&self.replicas[r]))
                .count()
                > most
    }

    /// No further part call can bring this part's answer.
    fn is_hopeless(&self, lookup: &Lookup, part: &Part) -> bool {
        !part.answered
            && part.out() == 0
            && (!self.may_run_again(lookup, part)
                || part.calls.len() >= self.deployment.permissions.max_attempts
                || self
                    .holders(lookup, part)
                    .all(|r| self.too_late(lookup, part, r)))
    }

    /// Why a new lookup is not taken on: its slowest part would come too late, or a shard's holders jam.
    fn refuses(&mut self, l: usize) -> Option<FailureCause> {
        let now = self.now;
        self.fleet.delays.fade(now, RECENT);
        self.fleet.costs.fade(now, SHARES);
        self.fleet
            .customers
            .iter_mut()
            .for_each(|c| c.fade(now, SHARES));
        let lookup = self.lookups[l].as_ref()?;
        let (indexes, delays) = (&self.deployment.indexes, &self.fleet.delays);
        let (index, parts) = (&indexes[lookup.index], lookup.parts.len() as f64);
        let (mean, deviation) = delays.shape(HEARD).unwrap_or((0.0, 0.0));
        let known = delays.weight / (delays.weight + UNTOLD);
        let mean = known * mean + (1.0 - known) * (USUAL.0 * self.soft).ln();
        let deviation = known * deviation + (1.0 - known) * USUAL.1;
        // About the mean of the largest of n normal values; those an answer may lack are not waited for.
        let slowest = |parts: f64, index: &IndexConfig| {
            let of = |n: f64| (mean + (1.25 * n.max(1.0).ln()).sqrt() * deviation).exp();
            let second = if index.fetch_sub_requests > 0 {
                of(index.fetch_sub_requests as f64)
            } else {
                0.0
            };
            of(parts / (1.0 + (1.0 - index.min_share) * parts)) + second
        };
        // Where a shard is slower than the rest, all that need it meet in the queue of its quickest holder.
        let of = |r: usize| self.replicas[r].expected;
        let quickest = |p: &Part| self.holders(lookup, p).map(of).min_by(f64::total_cmp);
        let mut expected: Vec<f64> = lookup.parts.iter().filter_map(quickest).collect();
        expected.sort_by(f64::total_cmp);
        let needed = (index.min_share * expected.len() as f64).ceil() as usize;
        let slower = expected
            .get(needed.saturating_sub(1))
            .map_or(1.0, |e| (e / mean.exp()).max(1.0));
        let slower = slower.powi(if self.deployment.reports_queue {
            1
        } else {
            UNSEEN
        });
        // A client that leaves sooner is not worth the parts.
        let horizon = (lookup.soft.min(lookup.hard) - now).max(1) as f64;
        self.fleet.sizes[lookup.index].add(now, SHARES, parts);
        let own = slowest(parts, index) * slower / horizon;
        let of = |size: &Fading, i: &IndexConfig| {
            Some(slowest(size.shape(HEARD)?.0, i) / i.soft_deadline as f64)
        };
        let all = self
            .fleet
            .sizes
            .iter()
            .zip(indexes)
            .filter_map(|(size, i)| of(size, i));
        let pressure = all.fold(own, f64::max) / IN_TIME;
        // Of what came here of late a customer is owed its share of the quotas, wherever traffic has moved.
        let (quotas, customers) = (&self.deployment.customer_quotas, &self.fleet.customers);
        let all: f64 = customers.iter().map(|c| c.weight).sum();
        let owed = all / quotas.iter().sum::<f64>().max(0.001);
        let over = |(q, came): (&f64, &Fading)| all > 8.0 && came.weight > 1.25 * owed * q;
        let over_share = quotas
            .get(lookup.customer)
            .zip(customers.get(lookup.customer))
            .is_some_and(over);
        let cost = if self.deployment.value_by_work {
            1.0
        } else {
            parts
        } / index.value.max(0.001);
        let costs = &mut self.fleet.costs;
        (costs.weight, costs.sum) = (costs.weight + parts, costs.sum + parts * cost);
        let dear = cost * costs.weight / costs.sum.max(0.001);
        let dear = if over_share {
            dear / self.deployment.over_quota_value.max(0.1)
        } else {
            dear
        };
        // The dear for their gain are refused first, by chance; none where queues are short.
        if !self.deployment.short_queues && self.chance.rand_float() > pressure.powf(-3.0 * dear) {
            return Some(FailureCause::ExpectedLate);
        }
        let favour = if dear < 1.0 { 1.25 } else { 1.0 };
        let favour = if over_share {
            self.deployment.over_quota_value.max(0.6)
        } else {
            favour
        };
        let jammed = |p: &Part| {
            let (mut out, mut told) = (0.0, f64::INFINITY);
            for r in self.holders(lookup, p) {
                out += self.replicas[r].waiting() - favour * self.fleet.jam;
                told = self.replicas[r]
                    .told(self.now, FRESH, self.fleet.quick)
                    .min(told);
            }
            out > 0.0 || told.is_finite() && told > favour * self.soft / self.fleet.quick
        };
        let waiting: f64 = self.replicas.iter().map(Replica::waiting).sum();
        (waiting >= favour * self.fleet.room || lookup.parts.iter().any(jammed))
            .then_some(FailureCause::Saturated)
    }

    /// Holds a lookup while holders that told nothing of late are probed, where each is seen seldom.
    fn asks(&mut self, l: usize, writer: &mut impl DecisionSink) -> bool {
        let (now, most) = (self.now, (ASK_MOST * self.soft) as TenthMillis);
        let Some(Some(lookup)) = self.lookups.get(l) else {
            return false;
        };
        let seldom = self.fleet.span > 1.5 * RECENT && self.deployment.permissions.health_probes;
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
        if !self.deployment.reports_queue
            && self.chance.rand_float() >= (PROBING.1 * late).max(PROBING.0)
        {
            return false;
        }
        let mut old: Vec<usize> = lookup
            .parts
            .iter()
            .flat_map(|p| self.holders(lookup, p))
            .collect();
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
    fn send(&mut self, l: usize, writer: &mut impl DecisionSink) {
        let (now, slow) = (self.now, self.time_of_most(2.0));
        self.fleet.copies.fade(now, RECENT);
        self.fleet.falls.fade(now, WARY);
        let Some(Some(lookup)) = self.lookups.get(l) else {
            return;
        };
        // Replicas that fall may be the work of lookups: one part goes first, the others when it lasts.
        let wary = lookup.unanswered() && self.fleet.falls.sum > 1.0;
        let lasts = |c: &Call, time: f64| c.ending.is_none() && (now - c.sent) as f64 <= time;
        let mut calls = lookup.parts.iter().flat_map(|p| &p.calls);
        if self.fells(lookup, false) || wary && calls.any(|c| lasts(c, slow)) {
            return;
        }
        let alone = wary && !lookup.out();
        // An answer sooner than its soft deadline asks for earns nothing: a copy waits till it must go.
        let urgent = (lookup.soft - now) as f64 <= URGENT * slow;
        let missing = lookup.parts[lookup.step..]
            .iter()
            .filter(|p| !p.answered)
            .count();
        let share = if missing > 1 { COPIES.0 } else { COPIES.1 };
        let mut order: Vec<usize> = (lookup.step..lookup.parts.len()).collect();
        // Where any so many parts make a whole answer, those of the quickest go, and more as some are late.
        let need = if lookup.step > 0 {
            1.0
        } else {
            self.deployment.indexes[lookup.index].complete_share
        };
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
            let late = part
                .calls
                .last()
                .is_some_and(|c| (now - c.sent) as f64 > slow);
            let spare =
                late && urgent && self.fleet.copies.sum < share * self.fleet.copies.weight + 1.0;
            if spare && self.moves(l, p, slow) {
                let c = part
                    .calls
                    .iter()
                    .position(|c| c.ending.is_none())
                    .expect("out");
                writer.cancel(l, p, c);
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

    /// As many calls are out as may be, and one is as good as lost: it is called off for another holder.
    fn moves(&self, l: usize, p: usize, slow: f64) -> bool {
        let lookup = self.lookups[l].as_ref().expect("open");
        let part = &lookup.parts[p];
        self.deployment.permissions.cancellation
            && part.out() > usize::from(self.deployment.permissions.hedging)
            && part.calls.iter().any(|c| self.is_lost(c, slow))
            && part.calls.iter().all(|c| !c.moved || c.ending.is_some())
            && self
                .holders(lookup, part)
                .any(|r| self.replicas[r].down.is_none() && self.may_go(lookup, part, r))
    }

    /// Ends a lookup without an answer, at once: a nack where asking again is harmless.
    fn give_up(&mut self, l: usize, why: FailureCause, writer: &mut impl DecisionSink) {
        let Some(Some(lookup)) = self.lookups.get(l) else {
            return;
        };
        writer.failure_cause(l, why);
        let idempotent =
            self.deployment.indexes[lookup.index].idempotency == Idempotency::Idempotent;
        if idempotent || lookup.parts.iter().all(Part::never_ran) {
            let wait = self.time_of_most(2.0) as TenthMillis;
            let wait = wait / 2 + self.chance_up_to(wait.max(1));
            let advice = self
                .deployment
                .permissions
                .max_retry_after
                .map(|most| wait.min(most));
            writer.reject(l, advice);
        } else {
            writer.fail(l);
        }
        self.withdraw_all(l, writer);
        self.lookups[l].as_mut().expect("open").over = true;
    }

    fn withdraw_all(&self, l: usize, writer: &mut impl DecisionSink) {
        if let (Some(Some(lookup)), true) = (
            self.lookups.get(l),
            self.deployment.permissions.cancellation,
        ) {
            lookup
                .parts
                .iter()
                .enumerate()
                .for_each(|(p, part)| part.withdraw(l, p, writer));
        }
    }

    pub(super) fn release(&mut self, writer: &mut impl DecisionSink) {
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
}
