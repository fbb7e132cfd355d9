//! Checks the responses that clients received against the sub-requests that replicas executed.

use std::collections::BTreeMap;
use std::time::Duration;

use super::clients::QueryOutcome;
use super::layout::SOFT_DEADLINE;
use crate::EVENT_TIMEOUT;

/// The tolerance after the soft deadline within which a response may arrive.
const MAX_LATENESS: Duration = Duration::from_secs(EVENT_TIMEOUT.as_secs() / 5);

/// The execution of a sub-request by a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Execution {
    /// The trace id of the query.
    pub query: String,
    /// The shard that was queried.
    pub shard: usize,
    /// The replica that executed it.
    pub replica: usize,
}

/// The number of executions of each query on each shard.
struct ExecutionCounts<'e>(BTreeMap<(&'e str, usize), usize>);

impl<'e> ExecutionCounts<'e> {
    fn new(executed: &'e [Execution]) -> Self {
        let mut counts = BTreeMap::new();
        for execution in executed {
            *counts
                .entry((execution.query.as_str(), execution.shard))
                .or_default() += 1;
        }
        ExecutionCounts(counts)
    }

    fn of(&self, query: &str, shard: usize) -> usize {
        self.0.get(&(query, shard)).copied().unwrap_or_default()
    }
}

/// Checks the rules for all queries, and returns the violations.
pub fn check(outcomes: &[QueryOutcome], executed: &[Execution]) -> Vec<String> {
    let counts = ExecutionCounts::new(executed);
    let mut violations = Vec::new();
    for outcome in outcomes {
        check_response(outcome, &mut violations);
        check_idempotency(outcome, &counts, &mut violations);
        check_completeness(outcome, &counts, &mut violations);
    }
    violations
}

/// Checks rule 1: a process that stays up sends one final response in time.
fn check_response(outcome: &QueryOutcome, violations: &mut Vec<String>) {
    let QueryOutcome { id, latency, .. } = outcome;
    if outcome.process_stayed_up && outcome.status.is_none() {
        violations.push(format!("rule 1: {id} got no response within {latency:?}"));
    }
    if outcome.process_stayed_up && *latency > SOFT_DEADLINE + MAX_LATENESS {
        violations.push(format!(
            "rule 1: {id} got a late response after {latency:?}"
        ));
    }
}

/// Checks rule 2: a non-idempotent query is executed at most once on each shard, and not at all if it is rejected.
fn check_idempotency(
    outcome: &QueryOutcome,
    counts: &ExecutionCounts,
    violations: &mut Vec<String>,
) {
    if !outcome.non_idempotent {
        return;
    }
    let id = &outcome.id;
    let executed_more_than = |times: usize| {
        let mut shards = outcome.shards.iter();
        shards.any(|shard| counts.of(id, *shard) > times)
    };
    if executed_more_than(1) {
        violations.push(format!(
            "rule 2: a non-idempotent sub-request of {id} was executed more than once"
        ));
    }
    if outcome.status == Some(503) && executed_more_than(0) {
        violations.push(format!(
            "rule 2: {id} was rejected, but one of its sub-requests was executed"
        ));
    }
}

/// Checks rule 5: a response is reported as complete only if it has values of all shards, and it has values only of
/// shards on which the query was executed.
fn check_completeness(
    outcome: &QueryOutcome,
    counts: &ExecutionCounts,
    violations: &mut Vec<String>,
) {
    if !outcome.succeeded() {
        return;
    }
    let QueryOutcome {
        id,
        answered_shards: found,
        ..
    } = outcome;
    let missing: Vec<_> = outcome
        .shards
        .iter()
        .filter(|shard| !found.contains(shard))
        .collect();
    if outcome.complete && !missing.is_empty() {
        violations.push(format!(
            "rule 5: {id} is reported as complete, but lacks the shards {missing:?}"
        ));
    }
    if let Some(shard) = found.iter().find(|shard| counts.of(id, **shard) == 0) {
        violations.push(format!(
            "rule 5: {id} has a value of shard {shard}, which was never executed"
        ));
    }
}
