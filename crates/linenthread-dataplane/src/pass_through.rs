//! A stand-in for the decision module, to measure what it costs beside: each part goes once to the replica
//! that a hash names, nothing is scored, repeated or refused. Not for service.

use linenthread_core::DecisionSink;
use linenthread_core::interface::{
    AttemptOutcome, Inputs, MembershipEntry, MembershipUpdate, Phase, TenthMillis,
};

struct Lookup {
    key: u64,
    hard: TenthMillis,
    shards: Vec<usize>,
    sent: usize,
    ended: usize,
    failed: bool,
}

#[derive(Default)]
pub(crate) struct PassThrough {
    replicas: Vec<MembershipEntry>,
    lookups: Vec<Option<Lookup>>,
}

impl PassThrough {
    pub(crate) fn round(&mut self, arrivals: &Inputs, writer: &mut impl DecisionSink) {
        for news in &arrivals.membership {
            let MembershipUpdate::Delta(listed) = news else {
                continue;
            };
            for entry in listed {
                self.replicas.resize_with(
                    self.replicas.len().max(entry.replica + 1),
                    MembershipEntry::default,
                );
                self.replicas[entry.replica] = entry.clone();
            }
        }
        for new in &arrivals.queries {
            self.lookups
                .resize_with(self.lookups.len().max(new.query + 1), || None);
            let (key, hard) = (new.sequence_number, new.hard_deadline);
            let lookup = Lookup {
                key,
                hard,
                shards: Vec::new(),
                sent: 0,
                ended: 0,
                failed: false,
            };
            self.lookups[new.query] = Some(lookup);
        }
        for part in &arrivals.sub_requests {
            if let Some(Some(lookup)) = self.lookups.get_mut(part.query) {
                lookup.shards.push(part.shard);
            }
        }
        for back in &arrivals.results {
            if let Some(Some(lookup)) = self.lookups.get_mut(back.query) {
                lookup.ended += 1;
                lookup.failed |= back.outcome != AttemptOutcome::Success;
            }
        }
        for l in 0..self.lookups.len() {
            let Some(lookup) = &mut self.lookups[l] else {
                continue;
            };
            for p in lookup.sent..lookup.shards.len() {
                let here = |r: &&MembershipEntry| {
                    r.phase == Phase::Ready && r.replica_group == lookup.shards[p]
                };
                let mut all: Vec<&MembershipEntry> = self.replicas.iter().filter(here).collect();
                let nearest = all.iter().map(|r| usize::from(r.zone > 0)).min();
                all.retain(|r| Some(usize::from(r.zone > 0)) == nearest);
                lookup.sent += 1;
                if let Some(r) = all.get(lookup.key as usize % all.len().max(1)) {
                    writer.send(l, p, r.replica, (lookup.hard - arrivals.now).max(1));
                } else {
                    lookup.ended += 1;
                    lookup.failed = true;
                }
            }
            if lookup.ended == lookup.shards.len() {
                if lookup.failed {
                    writer.fail(l);
                } else {
                    writer.respond(l, true);
                }
                writer.release(l);
                self.lookups[l] = None;
            }
        }
    }
}
