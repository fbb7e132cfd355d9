//! The gate: whether a part call may be made at all. Every send passes here.

use super::{
    COLD_USE, Call, Coordinator, DecisionSink, ENOUGH, GIVEN_UP, Idempotency, Lookup, Part, REAPED,
    RECENT, REST, TURNS, TenthMillis, given_up_at,
};

impl Coordinator {
    /// Whether a part call may be made at all. Every send passes here, and nothing else holds the rules.
    pub(super) fn may_call(&self, lookup: &Lookup, part: &Part, r: usize) -> bool {
        part.out() <= usize::from(self.deployment.permissions.hedging)
            && self.may_go(lookup, part, r)
    }

    /// Whether it may, but for what is out.
    pub(super) fn may_go(&self, lookup: &Lookup, part: &Part, r: usize) -> bool {
        self.may_run_again(lookup, part)
            && !lookup.over
            && part.is_wanted()
            && (self.replicas[r].ready() || self.replicas[r].still_takes(self.now))
            && part.calls.len() < self.deployment.permissions.max_attempts
            && part
                .calls
                .iter()
                .all(|c| c.ending.is_some() || c.replica != r)
            && self.cold_room(r)
            && (part.calls.is_empty() || self.further_room())
            && !self.too_late(lookup, part, r)
    }

    /// It is down to the lookup's end; or the part's next call is a further one that would come too late.
    pub(super) fn too_late(&self, lookup: &Lookup, part: &Part, r: usize) -> bool {
        let (end, replica) = (
            given_up_at(lookup, &self.deployment.indexes[lookup.index]),
            &self.replicas[r],
        );
        replica.down.is_some()
            && !self.is_up(
                r,
                if self.deployment.permissions.health_probes {
                    end
                } else {
                    self.now
                },
            )
            || !part.calls.is_empty() && replica.expected > (end - self.now) as f64
    }

    /// Parts may go there at some time: it is not down, or for so long that a part may try it. Where nothing
    /// probes it parts do, one at a time, soon and then less and less often.
    pub(super) fn is_up(&self, r: usize, at: TenthMillis) -> bool {
        let (replica, probes) = (&self.replicas[r], self.deployment.permissions.health_probes);
        let up = |(since, next)| {
            if probes {
                at > since + GIVEN_UP
            } else {
                at >= next && replica.out == 0
            }
        };
        replica.down.is_none_or(up)
    }

    /// Whether the effect of its index lets a part be sent, after what became of its calls so far.
    pub(super) fn may_run_again(&self, lookup: &Lookup, part: &Part) -> bool {
        match self.deployment.indexes[lookup.index].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Deduplicated(window) => part
                .may_have_run()
                .is_none_or(|first| self.now <= first + window),
            Idempotency::AtMostOnce => part.never_ran(),
        }
    }

    /// What share of its full work a replica can do at least, while it is cold.
    pub(super) fn cold_share(&self, r: usize) -> Option<f64> {
        let cold = &self.deployment.slow_start;
        let age = self.now - self.replicas[r].began()?;
        (age < cold.duration).then(|| {
            cold.initial_share
                + (1.0 - cold.initial_share) * age.max(0) as f64 / cold.duration as f64
        })
    }

    /// Whether a cold replica has room for one more: its share of what warm ones get from here, at most.
    fn cold_room(&self, r: usize) -> bool {
        let Some(share) = self.cold_share(r) else {
            return true;
        };
        let cold = &self.deployment.slow_start;
        let sent = self.replicas[r].cold_sends.since(self.now - cold.window);
        let told = self.replicas[r].listed.slow_start_share.unwrap_or(1.0);
        let room = cold.budget_multiple * COLD_USE * share * told * self.fleet.usual;
        if room >= 1.0 {
            return (sent + 1) as f64 <= room;
        }
        // Less than one in each window: the co-ordinators take turns, window by window since its start.
        let age = self.now - self.replicas[r].began().unwrap_or(0);
        // Who sees little seldom has a part for it in its turn: more have theirs at once, to use some of it.
        let used = 1.0 - (-self.fleet.flow).exp();
        let room = room * (TURNS.0 / used).clamp(1.0, TURNS.1);
        let turn = (age / cold.window.max(1)) as u64
            + self.deployment.coordinator_number as u64
            + self.replicas[r].listed.id;
        sent == 0
            && turn.is_multiple_of(
                (1.0 / room)
                    .ceil()
                    .min(self.deployment.coordinator_count as f64) as u64,
            )
    }

    fn further_room(&self) -> bool {
        let Some(budget) = &self.deployment.retry_budget else {
            return true;
        };
        let start = self.now - budget.window;
        let further = (self.fleet.further.since(start) + 1) as f64;
        further <= budget.reserve + budget.ratio * self.fleet.taken.since(start + 1) as f64
    }

    /// Makes a part call, if a replica may take it.
    pub(super) fn call(&mut self, l: usize, p: usize, writer: &mut impl DecisionSink) {
        let Some(r) = self.choose(l, p) else { return };
        let now = self.now;
        let cold = self.cold_share(r).is_some();
        let lookup = self.lookups[l].as_mut().expect("chosen for");
        let end = given_up_at(lookup, &self.deployment.indexes[lookup.index]);
        let part = &mut lookup.parts[p];
        let further = !part.calls.is_empty();
        self.fleet
            .copies
            .add(now, RECENT, if part.out() > 0 { 1.0 } else { 0.0 });
        let replica = &mut self.replicas[r];
        let alone = replica.out == 0;
        let rested = alone && now - replica.used > REST;
        let (old, new) = (
            self.fleet.rested.shape(ENOUGH),
            self.fleet.fresh.shape(ENOUGH),
        );
        let reaped = rested
            && old
                .zip(new)
                .is_some_and(|(old, new)| old.0 > new.0 + REAPED);
        if reaped {
            writer.close_idle(r);
        }
        let rested = alone.then_some(rested && !reaped);
        part.calls.push(Call {
            replica: r,
            sent: now,
            rested,
            ending: None,
            moved: false,
        });
        replica.used = now;
        if alone {
            replica.heard = now;
        }
        replica.out += 1;
        if cold {
            replica
                .cold_sends
                .add(now, self.deployment.slow_start.window, 1);
        }
        if let (Some(budget), true) = (&self.deployment.retry_budget, further) {
            self.fleet.further.add(now, budget.window, 1);
        }
        writer.send(l, p, r, (end - now).max(1));
    }
}
