//! A replacement of the decision module that decides nothing, to measure what the module costs. Each part goes
//! once to the replica that a hash names; nothing is scored, retried or rejected. Not for production.

use linenthread_core::Writer;
use linenthread_core::interface::{Arrivals, Ending, Listed, NewLookup, Phase, RosterNews, Tenths};

/// A query that has not ended.
struct Query {
    key: u64,
    deadline: Tenths,
    /// The shard of each part.
    shards: Vec<usize>,
    sent: usize,
    ended: usize,
    failed: bool,
}

/// The replicas and the queries, by their indices.
#[derive(Default)]
pub(super) struct PassThrough {
    replicas: Vec<Listed>,
    queries: Vec<Option<Query>>,
}

impl PassThrough {
    /// One round: takes in what arrived, sends new parts and ends queries whose parts have all ended.
    pub(super) fn round(&mut self, arrivals: &Arrivals, writer: &mut impl Writer) {
        for update in &arrivals.roster {
            if let RosterNews::Changes(listed) = update {
                self.update_replicas(listed);
            }
        }
        for new in &arrivals.lookups {
            self.open(new);
        }
        for part in &arrivals.parts {
            if let Some(Some(query)) = self.queries.get_mut(part.lookup) {
                query.shards.push(part.shard);
            }
        }
        for response in &arrivals.returns {
            if let Some(Some(query)) = self.queries.get_mut(response.lookup) {
                query.ended += 1;
                query.failed |= response.ending != Ending::Answered;
            }
        }
        for (index, slot) in self.queries.iter_mut().enumerate() {
            let Some(query) = slot else {
                continue;
            };
            query.send_parts(index, &self.replicas, arrivals.now, writer);
            if query.ended == query.shards.len() {
                query.end(index, writer);
                *slot = None;
            }
        }
    }

    fn update_replicas(&mut self, listed: &[Listed]) {
        for entry in listed {
            let count = self.replicas.len().max(entry.replica + 1);
            self.replicas.resize_with(count, Listed::default);
            self.replicas[entry.replica] = entry.clone();
        }
    }

    fn open(&mut self, new: &NewLookup) {
        let count = self.queries.len().max(new.lookup + 1);
        self.queries.resize_with(count, || None);
        self.queries[new.lookup] = Some(Query {
            key: new.number,
            deadline: new.hard_deadline,
            shards: Vec::new(),
            sent: 0,
            ended: 0,
            failed: false,
        });
    }
}

impl Query {
    /// Sends each part that has not been sent to one of the nearest available replicas of its shard.
    fn send_parts(
        &mut self,
        index: usize,
        replicas: &[Listed],
        now: Tenths,
        writer: &mut impl Writer,
    ) {
        for part in self.sent..self.shards.len() {
            self.sent += 1;
            match choose(replicas, self.shards[part], self.key) {
                Some(replica) => {
                    writer.call(index, part, replica.replica, (self.deadline - now).max(1));
                }
                None => {
                    self.ended += 1;
                    self.failed = true;
                }
            }
        }
    }

    fn end(&self, index: usize, writer: &mut impl Writer) {
        if self.failed {
            writer.abort(index);
        } else {
            writer.satisfy(index, true);
        }
        writer.release(index);
    }
}

/// The replica of a shard that a key names, among those of the local zone if there are any.
fn choose(replicas: &[Listed], shard: usize, key: u64) -> Option<&Listed> {
    let is_remote = |replica: &Listed| replica.site > 0;
    let available = || {
        replicas
            .iter()
            .filter(|replica| replica.phase == Phase::Ready && replica.cell == shard)
    };
    let nearest = available().map(is_remote).min()?;
    let candidates: Vec<&Listed> = available()
        .filter(|replica| is_remote(replica) == nearest)
        .collect();
    let position = key % u64::try_from(candidates.len()).ok()?;
    candidates.get(usize::try_from(position).ok()?).copied()
}
