//! Checks what clients received against what replicas executed.

use std::collections::BTreeMap;
use std::time::Duration;

use super::clients::QueryOutcome;
use super::layout::SOFT_DEADLINE;
use crate::PATIENCE;

/// How much later than the soft deadline a response may arrive.
const LATENESS: Duration = Duration::from_secs(PATIENCE.as_secs() / 5);

/// A sub-request that a replica began to execute.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Execution {
    /// The trace id of the query.
    pub query: String,
    /// The shard that was queried.
    pub shard: usize,
    /// The replica that executed it.
    pub replica: usize,
}

/// How many times each shard of a query was executed.
struct ExecutionCounts<'e>(BTreeMap<(&'e str, usize), usize>);

impl<'e> ExecutionCounts<'e> {
    fn new(executed: &'e [Execution]) -> Self {
        let mut counts = BTreeMap::new();
        for one in executed {
            *counts.entry((one.query.as_str(), one.shard)).or_default() += 1;
        }
        ExecutionCounts(counts)
    }

    fn of(&self, query: &str, shard: usize) -> usize {
        self.0.get(&(query, shard)).copied().unwrap_or_default()
    }
}

/// Checks the rules for all queries; the violations.
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

/// Rule 1: one final response in time from a process that is up.
fn check_response(outcome: &QueryOutcome, violations: &mut Vec<String>) {
    let QueryOutcome { id, latency, .. } = outcome;
    if outcome.alive && outcome.status.is_none() {
        violations.push(format!("rule 1: {id} got no answer in {latency:?}"));
    }
    if outcome.alive && *latency > SOFT_DEADLINE + LATENESS {
        violations.push(format!("rule 1: {id} was answered after {latency:?}"));
    }
}

/// Rule 2: no effect twice, and a rejection only if nothing was executed.
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
        violations.push(format!("rule 2: a once-only part of {id} ran twice"));
    }
    if outcome.status == Some(503) && executed_more_than(0) {
        violations.push(format!("rule 2: {id} was nacked, and a part of it ran"));
    }
}

/// Rule 5: complete only if all shards are there, and only values that were executed.
fn check_completeness(
    outcome: &QueryOutcome,
    counts: &ExecutionCounts,
    violations: &mut Vec<String>,
) {
    if !outcome.succeeded() {
        return;
    }
    let QueryOutcome { id, found, .. } = outcome;
    let missing: Vec<_> = outcome
        .shards
        .iter()
        .filter(|shard| !found.contains(shard))
        .collect();
    if outcome.complete && !missing.is_empty() {
        violations.push(format!(
            "rule 5: {id} is said to be whole and lacks {missing:?}"
        ));
    }
    if let Some(shard) = found.iter().find(|shard| counts.of(id, **shard) == 0) {
        violations.push(format!(
            "rule 5: {id} has a value of shard {shard}, which never ran"
        ));
    }
}
