//! Selects the replica for an attempt: the natural replica, unless its score is too bad.

use super::Coordinator;
use crate::interface::{AttemptOutcome, QueryIndex, ReplicaIndex, SubRequestIndex, TenthMillis};
use crate::state::{Attempt, Query, Replica, SubRequest, hash_ids};

/// How much worse than the best score a natural replica's score may be before its sub-requests go elsewhere.
///
/// Unit: share of the best score. Reason: with less, too many sub-requests of a key leave their natural replica.
const BADNESS_THRESHOLD: f64 = 0.6;

/// A replica is eligible only if it has at most this many more pending attempts than the least loaded replica.
///
/// Unit: attempts from here. Reason: a query with many sub-requests would fill one replica before scores are updated.
const MAX_PENDING_IMBALANCE: f64 = 1.0;

/// The time before a sub-request is sent again to a replica that failed it.
///
/// Unit: 0.1 ms (100 ms). Reason: an immediate retry there would most likely fail and use up an attempt.
const RETRY_BACKOFF: TenthMillis = 1_000;

/// The distance of a zone that is missing from the routing table.
///
/// Unit: rank, as in the table. Reason: its distance is unknown, so it is used last.
const FARTHEST: u8 = u8::MAX;

/// Criteria for replicas that are up, strictest first: each applies only if the previous one matched no replica.
#[derive(Clone, Copy)]
enum Eligibility {
    /// The replica has not failed this sub-request and is not saturated.
    UntriedAndUnsaturated,
    /// The replica has not failed this sub-request.
    Untried,
    /// The backoff after the sub-request's last failure, at any replica, has passed.
    AfterBackoff,
}

/// Reports whether an earlier attempt rules out its replica for the sub-request. An attempt in flight does; one that
/// succeeded does not, because continuations go to the same replica.
fn rules_out_replica(attempt: &Attempt) -> bool {
    attempt.outcome != Some(AttemptOutcome::Success)
}

impl Coordinator {
    /// Returns the replica for a sub-request's next attempt, or `None` if the attempt cannot be sent now.
    pub(super) fn choose_replica(
        &self,
        query_index: QueryIndex,
        sub_request_index: SubRequestIndex,
    ) -> Option<ReplicaIndex> {
        let query = self.queries[query_index].as_ref()?;
        let sub_request = &query.sub_requests[sub_request_index];
        if self.backs_off_from_full_queues(sub_request) {
            return None;
        }
        let permitted: Vec<ReplicaIndex> = self
            .shard_replicas(query, sub_request)
            .filter(|&replica| self.may_send(query, sub_request, replica))
            .collect();
        let strictest_first = [
            Eligibility::UntriedAndUnsaturated,
            Eligibility::Untried,
            Eligibility::AfterBackoff,
        ];
        strictest_first.into_iter().find_map(|eligibility| {
            let candidates: Vec<ReplicaIndex> = permitted
                .iter()
                .copied()
                .filter(|&replica| self.is_eligible(sub_request, replica, eligibility))
                .collect();
            self.preferred(query, sub_request, &candidates)
        })
    }

    /// Reports whether the sub-request backs off because of full queues, which do not empty immediately: from the
    /// second rejection on, the backoff doubles with each rejection.
    fn backs_off_from_full_queues(&self, sub_request: &SubRequest) -> bool {
        let rejections = sub_request
            .attempts
            .iter()
            .filter(|attempt| attempt.outcome == Some(AttemptOutcome::Rejected))
            .count();
        rejections > 1 && self.was_sent_within(sub_request, RETRY_BACKOFF << rejections)
    }

    /// Reports whether the sub-request's last attempt has failed or is in flight, and was sent less than `backoff` ago.
    fn was_sent_within(&self, sub_request: &SubRequest, backoff: TenthMillis) -> bool {
        sub_request
            .attempts
            .last()
            .is_some_and(|last| rules_out_replica(last) && self.now < last.sent_at + backoff)
    }

    fn is_eligible(
        &self,
        sub_request: &SubRequest,
        replica: ReplicaIndex,
        eligibility: Eligibility,
    ) -> bool {
        let is_untried = || {
            !sub_request
                .attempts
                .iter()
                .any(|attempt| attempt.replica == replica && rules_out_replica(attempt))
        };
        let is_saturated =
            || self.replicas[replica].pending() > self.fleet.max_in_flight_per_replica;
        self.is_up(replica, self.now)
            && match eligibility {
                Eligibility::UntriedAndUnsaturated => is_untried() && !is_saturated(),
                Eligibility::Untried => is_untried(),
                Eligibility::AfterBackoff => !self.was_sent_within(sub_request, RETRY_BACKOFF),
            }
    }

    /// Returns the preferred candidate. Only candidates with a sufficient score are considered, and of these only the
    /// ones in the nearest zone. Of the latter, the first in hash order that has few pending attempts is preferred.
    fn preferred(
        &self,
        query: &Query,
        sub_request: &SubRequest,
        candidates: &[ReplicaIndex],
    ) -> Option<ReplicaIndex> {
        let score = |replica: ReplicaIndex| self.replicas[replica].score;
        let pending = |replica: ReplicaIndex| self.replicas[replica].pending();
        let distance = |replica: ReplicaIndex| self.distance(query.key, &self.replicas[replica]);

        let best_score = candidates
            .iter()
            .copied()
            .map(score)
            .min_by(f64::total_cmp)?;
        let mut acceptable: Vec<ReplicaIndex> = candidates
            .iter()
            .copied()
            .filter(|&replica| score(replica) <= best_score * (1.0 + BADNESS_THRESHOLD))
            .collect();
        let nearest = acceptable.iter().copied().filter_map(distance).min();
        acceptable.retain(|&replica| distance(replica) == nearest);
        let least_pending = acceptable
            .iter()
            .copied()
            .map(pending)
            .fold(f64::INFINITY, f64::min);
        acceptable
            .into_iter()
            .filter(|&replica| pending(replica) <= least_pending + MAX_PENDING_IMBALANCE)
            .max_by_key(|&replica| self.hash_rank(query, sub_request, replica))
    }

    /// Returns the rank of a replica in rendezvous hashing; the highest rank is the first choice. All co-ordinators
    /// compute the same ranks, and adding or removing a replica moves only that replica's keys.
    fn hash_rank(&self, query: &Query, sub_request: &SubRequest, replica: ReplicaIndex) -> u64 {
        let shard = sub_request.shard as u64 + 1;
        hash_ids([query.key, shard, self.replicas[replica].entry.id])
    }

    /// Returns the distance of a replica's zone, or `None` if its route is closed to this key. Without a routing table
    /// all zones have the same distance.
    fn distance(&self, key: u64, replica: &Replica) -> Option<u8> {
        let Some(route) = self.zone_routes.get(replica.entry.zone) else {
            return Some(FARTHEST);
        };
        let is_open = hash_ids([key, route.id, 0]) % 1_000 < route.open_per_mille.into();
        is_open.then_some(route.distance)
    }

    /// Returns the replicas that hold a sub-request's shard and whose route is open to its key. If none of them is
    /// ready, draining replicas serve as a last resort until they reject a sub-request.
    pub(super) fn shard_replicas(
        &self,
        query: &Query,
        sub_request: &SubRequest,
    ) -> impl Iterator<Item = ReplicaIndex> {
        let (key, shard, now) = (query.key, sub_request.shard, self.now);
        let has_shard = move |replica: &Replica| {
            let holds = self.config.layout.holds(replica.entry.replica_group, shard);
            holds && self.distance(key, replica).is_some()
        };
        let any_ready = self.replicas.iter().any(|r| r.is_ready() && has_shard(r));
        let may_serve = move |replica: &Replica| {
            let serves = replica.is_ready() || !any_ready && replica.is_last_resort(now);
            serves && has_shard(replica)
        };
        self.replica_indices()
            .filter(move |&replica| may_serve(&self.replicas[replica]))
    }
}
