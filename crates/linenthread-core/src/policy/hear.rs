//! What comes in: the roster's news, lookups, parts, their returns and probes.

use super::{
    ASK, AttemptOutcome, AttemptResult, Call, Coordinator, DecisionSink, GIVEN_UP, HEARD,
    Idempotency, Lookup, MARGIN, MembershipUpdate, NewQuery, NewSubRequest, PROBE, Part, Phase,
    ProbeResult, RECENT, Replica, SHARES, Seen, TRIAL, TenthMillis, WARY, mix,
};

impl Coordinator {
    pub(super) fn hear_roster(&mut self, news: &MembershipUpdate) {
        let (listed, whole) = match news {
            MembershipUpdate::Delta(listed) => (listed, false),
            MembershipUpdate::Snapshot(listed) => (listed, true),
            MembershipUpdate::Cached(listed) => {
                // Restarts may come together: their questions to the roster are spread out.
                self.due.ask = self
                    .deployment
                    .watch_membership
                    .then(|| self.now + self.chance_up_to(2_000));
                (listed, true)
            }
            MembershipUpdate::Unavailable => {
                self.due.ask_failures = (self.due.ask_failures + 1).min(4);
                let wait = 2_500 << self.due.ask_failures;
                self.due.ask = Some(self.now + wait / 2 + self.chance_up_to(wait / 2));
                return;
            }
        };
        // Only news that came without delay leaves some of the grace: the rest counts as told before.
        let grace = if whole || self.due.ask_failures > 0 {
            0
        } else {
            self.deployment.drain_grace / 2
        };
        (self.due.ask_failures, self.due.tick) = (0, self.now);
        if whole {
            self.replicas
                .iter_mut()
                .for_each(|r| r.listed.phase = Phase::Removed);
        }
        for entry in listed {
            self.replicas
                .resize_with(self.replicas.len().max(entry.replica + 1), Replica::default);
            self.sites
                .resize(self.sites.len().max(entry.zone + 1), Seen::default());
            let replica = &mut self.replicas[entry.replica];
            if replica.listed.id != entry.id {
                *replica = Replica::default(); // Another replica has the index now.
            }
            if replica.listed.started_at != entry.started_at {
                // A new process: nothing seen of the old one counts against it.
                (replica.seen, replica.down, replica.returned) = (Seen::default(), None, None);
            }
            let falls = self.deployment.permissions.health_probes && !whole;
            if falls && replica.ready() && entry.phase == Phase::Removed {
                self.fleet.falls.add(self.now, WARY, 1.0);
            }
            if replica.ready() {
                replica.last_call = self.now + grace;
            }
            replica.listed = entry.clone();
        }
    }

    pub(super) fn take(&mut self, new: &NewQuery) {
        self.lookups
            .resize_with(self.lookups.len().max(new.query + 1), || None);
        self.lookups[new.query] = Some(Lookup {
            index: new.index,
            customer: new.customer,
            key: new.key.unwrap_or_else(|| mix([new.sequence_number, 0, 1])),
            soft: self.now + self.deployment.indexes[new.index].soft_deadline - MARGIN,
            hard: new.hard_deadline - MARGIN,
            ..Lookup::default()
        });
        self.open.push(new.query);
        if let Some(came) = self.fleet.customers.get_mut(new.customer) {
            came.add(self.now, SHARES, 1.0);
        }
    }

    pub(super) fn take_part(&mut self, new: &NewSubRequest) {
        if let Some(Some(lookup)) = self.lookups.get_mut(new.query) {
            lookup.parts.push(Part {
                shard: new.shard,
                weight: new.weight,
                ..Part::default()
            });
        }
    }

    /// An answered part is wanted once more: only where it may run again, and not beyond the lookup's end.
    pub(super) fn ask_on(&mut self, l: usize, p: usize) {
        if let Some(Some(lookup)) = self.lookups.get_mut(l)
            && self.deployment.indexes[lookup.index].idempotency == Idempotency::Idempotent
            && let Some(part) = lookup.parts.get_mut(p).filter(|part| part.answered)
        {
            part.onward = Some(part.calls.len());
        }
    }

    pub(super) fn hear(&mut self, back: &AttemptResult, writer: &mut impl DecisionSink) {
        let (now, slow, span) = (self.now, self.time_of_most(2.0), self.fleet.span);
        let Some(Some(lookup)) = self.lookups.get_mut(back.query) else {
            return;
        };
        let Some(part) = lookup.parts.get_mut(back.sub_request) else {
            return;
        };
        let Some(call) = part.calls.get_mut(back.attempt) else {
            return;
        };
        call.ending = Some(back.outcome);
        let (r, took) = (call.replica, back.elapsed.max(1) as f64);
        let came_to = match back.outcome {
            AttemptOutcome::Success => Some(0.0),
            AttemptOutcome::ConnectionLost if call.rested == Some(true) => Some(1.0),
            AttemptOutcome::ConnectFailed if call.rested == Some(false) => Some(1.0),
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled if took >= slow => Some(1.0),
            _ => None,
        };
        if let (Some(nothing), Some(rested)) = (came_to, call.rested) {
            let sort = if rested {
                &mut self.fleet.rested
            } else {
                &mut self.fleet.fresh
            };
            sort.add(now, WARY, nothing);
        }
        let replica = &mut self.replicas[r];
        let site = &mut self.sites[replica.listed.zone];
        replica.out -= 1;
        replica.used = now;
        // A part took what its first call and all after it did: a copy that is quicker mends a slow one.
        let (delays, age) = (
            &mut self.fleet.delays,
            (now - part.calls[0].sent).max(1) as f64,
        );
        let last = part.out() == 0
            && matches!(
                back.outcome,
                AttemptOutcome::TimedOut | AttemptOutcome::Cancelled
            );
        if back.outcome == AttemptOutcome::Rejected {
            replica.last_call = now;
            delays.add(now, RECENT, self.soft.ln());
            replica.seen.times.add(now, span, self.soft.ln());
        } else if !part.answered && (last || back.outcome == AttemptOutcome::Success) {
            delays.add(now, RECENT, age.ln());
        }
        let usual = replica
            .seen
            .times
            .shape(HEARD)
            .or(self.fleet.times.shape(HEARD));
        let late = usual.is_some_and(|(median, _)| took.ln() > median);
        match back.outcome {
            AttemptOutcome::Success => {
                // A copy that came first was needed: it makes room for two more.
                let passed = |c: &Call| c.ending.is_none() || c.moved && took < slow;
                if back.attempt > 0
                    && !part.answered
                    && part.calls[..back.attempt].iter().any(passed)
                {
                    self.fleet.copies.relieve(now, RECENT, 2.0);
                }
                part.answered |= !lookup.over;
                part.onward = part.onward.filter(|from| back.attempt < *from);
                replica.heard = now;
                replica.answers(now, back.queue_depth);
                for seen in [&mut replica.seen, site] {
                    seen.failures.add(now, span, 0.0);
                    seen.times.add(now, span, took.ln());
                }
                self.fleet.times.add(now, RECENT, took.ln());
                if self.deployment.permissions.cancellation && !lookup.over {
                    part.withdraw(back.query, back.sub_request, writer);
                }
            }
            // It would have taken longer still: a client that left early, or a quicker copy, says no more.
            AttemptOutcome::Cancelled | AttemptOutcome::TimedOut
                if back.outcome == AttemptOutcome::Cancelled || took < slow =>
            {
                for seen in [&mut replica.seen, site].into_iter().filter(|_| late) {
                    seen.times.add(now, span, took.ln());
                }
            }
            AttemptOutcome::NotSent => {}
            _ => {
                replica.seen.failures.add(now, span, 1.0);
                site.failures.add(now, span, 1.0);
            }
        }
        let broken = back.outcome == AttemptOutcome::ConnectionLost;
        if broken && !lookup.broke.contains(&r) {
            lookup.broke.push(r);
            replica.broke_under = self.deployment.permissions.health_probes;
        }
        if broken || back.outcome == AttemptOutcome::ConnectFailed {
            let (since, next) = replica.down.unwrap_or((now, now));
            let trial = now + (TRIAL + (now - since) / 4).min(GIVEN_UP);
            replica.down = Some((
                since,
                if self.deployment.permissions.health_probes {
                    next
                } else {
                    trial
                },
            ));
        }
    }

    pub(super) fn hear_probe(&mut self, back: &ProbeResult) {
        let now = self.now;
        self.due.tick = now;
        let Some(replica) = self.replicas.get_mut(back.replica) else {
            return;
        };
        let since = replica.asked.take().unwrap_or(now);
        self.fleet
            .unsure
            .add(now, SHARES, f64::from(now - since >= ASK));
        // A replica that broke off and is gone may have been brought down; one that answers was not.
        if replica.broke_under && back.outcome != AttemptOutcome::Rejected {
            replica.broke_under = false;
            replica.died = back.outcome != AttemptOutcome::Success;
            self.fleet.falls.add(now, WARY, f64::from(replica.died));
        }
        match back.outcome {
            AttemptOutcome::Success => replica.answers(now, back.queue_depth),
            _ if replica.told_at >= since => {}
            AttemptOutcome::ConnectFailed | AttemptOutcome::ConnectionLost => {
                _ = replica.down.get_or_insert((now, now + PROBE));
            }
            // Too busy for a probe: nothing is known but that much waits there.
            _ => replica.tell(now, self.soft / self.fleet.quick),
        }
    }

    /// Probes what is down: a part sent there would be lost time and a spent call.
    pub(super) fn probe(&mut self, writer: &mut impl DecisionSink) {
        for r in 0..self.replicas.len() {
            if self.deployment.permissions.health_probes
                && self.replicas[r].ready()
                && let Some((since, next)) = self.replicas[r].down
                && next <= self.now
            {
                let share = (self.deployment.coordinator_count as TenthMillis / 4).max(1);
                let wait = PROBE.max((self.now - since) / 4) * share;
                self.replicas[r].down = Some((since, self.now + wait + self.chance_up_to(wait)));
                self.replicas[r].asked.get_or_insert(self.now);
                writer.probe(r);
            }
        }
    }
}
