//! A replacement for the decision module, used to measure the module's cost. Each sub-request is sent once, to a
//! replica chosen by hash; nothing is scored, retried or rejected. Not for production.

use linenthread_core::DecisionSink;
use linenthread_core::interface::{
    AttemptOutcome, Completeness, Inputs, MembershipEntry, MembershipUpdate, NewQuery, Phase,
    QueryIndex, SubRequestIndex, TenthMillis,
};

/// An open query.
struct Query {
    key: u64,
    deadline: TenthMillis,
    /// The shard of each sub-request.
    shards: Vec<usize>,
    sent: usize,
    completed: usize,
    failed: bool,
}

/// Replicas and queries by index.
#[derive(Default)]
pub(super) struct PassThrough {
    replicas: Vec<MembershipEntry>,
    queries: Vec<Option<Query>>,
}

impl PassThrough {
    /// Runs one step: applies the inputs, sends new sub-requests and ends queries whose sub-requests have all ended.
    pub(super) fn step(&mut self, inputs: &Inputs, sink: &mut impl DecisionSink) {
        for update in &inputs.membership {
            if let MembershipUpdate::Delta(entries) = update {
                self.update_replicas(entries);
            }
        }
        for new in &inputs.queries {
            self.open(new);
        }
        for sub_request in &inputs.sub_requests {
            if let Some(Some(query)) = self.queries.get_mut(sub_request.query.0) {
                query.shards.push(sub_request.shard);
            }
        }
        for response in &inputs.results {
            if let Some(Some(query)) = self.queries.get_mut(response.query.0) {
                query.completed += 1;
                query.failed |= response.outcome != AttemptOutcome::Success;
            }
        }
        for (number, slot) in self.queries.iter_mut().enumerate() {
            let index = QueryIndex(number);
            let Some(query) = slot else {
                continue;
            };
            query.send_new(index, &self.replicas, inputs.now, sink);
            if query.completed == query.shards.len() {
                query.end(index, sink);
                *slot = None;
            }
        }
    }

    fn update_replicas(&mut self, entries: &[MembershipEntry]) {
        for entry in entries {
            let count = self.replicas.len().max(entry.replica.0 + 1);
            self.replicas.resize_with(count, MembershipEntry::default);
            self.replicas[entry.replica.0] = entry.clone();
        }
    }

    fn open(&mut self, new: &NewQuery) {
        let count = self.queries.len().max(new.query.0 + 1);
        self.queries.resize_with(count, || None);
        self.queries[new.query.0] = Some(Query {
            key: new.sequence_number,
            deadline: new.hard_deadline,
            shards: Vec::new(),
            sent: 0,
            completed: 0,
            failed: false,
        });
    }
}

impl Query {
    /// Sends each unsent sub-request to one of the nearest available replicas of its shard.
    fn send_new(
        &mut self,
        index: QueryIndex,
        replicas: &[MembershipEntry],
        now: TenthMillis,
        sink: &mut impl DecisionSink,
    ) {
        for number in self.sent..self.shards.len() {
            self.sent += 1;
            if let Some(chosen) = choose_replica(replicas, self.shards[number], self.key) {
                let timeout = (self.deadline - now).max(1);
                sink.send(index, SubRequestIndex(number), chosen.replica, timeout);
            } else {
                self.completed += 1;
                self.failed = true;
            }
        }
    }

    fn end(&self, index: QueryIndex, sink: &mut impl DecisionSink) {
        if self.failed {
            sink.fail(index);
        } else {
            sink.respond(index, Completeness::Complete);
        }
        sink.release(index);
    }
}

/// Chooses the replica of a shard by `key`, among those of the local zone if there are any.
fn choose_replica(
    replicas: &[MembershipEntry],
    shard: usize,
    key: u64,
) -> Option<&MembershipEntry> {
    let is_remote = |replica: &MembershipEntry| replica.zone > 0;
    let available = || {
        replicas
            .iter()
            .filter(|replica| replica.phase == Phase::Ready && replica.replica_group == shard)
    };
    let nearest = available().map(is_remote).min()?;
    let candidates: Vec<&MembershipEntry> = available()
        .filter(|replica| is_remote(replica) == nearest)
        .collect();
    let position = key % u64::try_from(candidates.len()).ok()?;
    candidates.get(usize::try_from(position).ok()?).copied()
}
