//! A stand-in for the decision module, to measure what it costs beside: each part goes once to the replica
//! that a hash names, nothing is scored, repeated or refused. Not for service.

use linenthread_core::Writer;
use linenthread_core::interface::{Arrivals, Ending, Listed, Phase, RosterNews, Tenths};

struct Lookup {
    key: u64,
    hard: Tenths,
    shards: Vec<usize>,
    sent: usize,
    ended: usize,
    failed: bool,
}

#[derive(Default)]
pub(crate) struct PassThrough {
    replicas: Vec<Listed>,
    lookups: Vec<Option<Lookup>>,
}

impl PassThrough {
    pub(crate) fn round(&mut self, arrivals: &Arrivals, writer: &mut impl Writer) {
        for news in &arrivals.roster {
            let RosterNews::Changes(listed) = news else {
                continue;
            };
            for entry in listed {
                self.replicas
                    .resize_with(self.replicas.len().max(entry.replica + 1), Listed::default);
                self.replicas[entry.replica] = entry.clone();
            }
        }
        for new in &arrivals.lookups {
            self.lookups
                .resize_with(self.lookups.len().max(new.lookup + 1), || None);
            let (key, hard) = (new.number, new.hard_deadline);
            let lookup = Lookup {
                key,
                hard,
                shards: Vec::new(),
                sent: 0,
                ended: 0,
                failed: false,
            };
            self.lookups[new.lookup] = Some(lookup);
        }
        for part in &arrivals.parts {
            if let Some(Some(lookup)) = self.lookups.get_mut(part.lookup) {
                lookup.shards.push(part.shard);
            }
        }
        for back in &arrivals.returns {
            if let Some(Some(lookup)) = self.lookups.get_mut(back.lookup) {
                lookup.ended += 1;
                lookup.failed |= back.ending != Ending::Answered;
            }
        }
        for l in 0..self.lookups.len() {
            let Some(lookup) = &mut self.lookups[l] else {
                continue;
            };
            for p in lookup.sent..lookup.shards.len() {
                let here = |r: &&Listed| r.phase == Phase::Ready && r.cell == lookup.shards[p];
                let mut all: Vec<&Listed> = self.replicas.iter().filter(here).collect();
                let nearest = all.iter().map(|r| usize::from(r.site > 0)).min();
                all.retain(|r| Some(usize::from(r.site > 0)) == nearest);
                lookup.sent += 1;
                if let Some(r) = all.get(lookup.key as usize % all.len().max(1)) {
                    writer.call(l, p, r.replica, (lookup.hard - arrivals.now).max(1));
                } else {
                    lookup.ended += 1;
                    lookup.failed = true;
                }
            }
            if lookup.ended == lookup.shards.len() {
                if lookup.failed {
                    writer.abort(l);
                } else {
                    writer.satisfy(l, true);
                }
                writer.release(l);
                self.lookups[l] = None;
            }
        }
    }
}
