//! The check of a rig's queries detects violations of each rule, and reports none for valid queries.

use std::time::{Duration, Instant};

use linenthread_fakes::rig::{Execution, QueryOutcome, check};

/// Returns a non-idempotent query on shard 3 that succeeded.
fn order() -> QueryOutcome {
    QueryOutcome {
        id: "c0x1".to_owned(),
        zone: 0,
        non_idempotent: true,
        shards: vec![3],
        status: Some(200),
        latency: Duration::from_millis(20),
        sent_at: Instant::now(),
        complete: true,
        answered_shards: vec![3],
        process_stayed_up: true,
    }
}

/// Returns an idempotent query on three shards that succeeded.
fn find() -> QueryOutcome {
    QueryOutcome {
        id: "c0x2".to_owned(),
        non_idempotent: false,
        shards: vec![1, 6, 11],
        answered_shards: vec![1, 6, 11],
        ..order()
    }
}

/// Returns one execution of a query on each of its shards.
fn executions(outcome: &QueryOutcome) -> Vec<Execution> {
    let execution = |&shard: &usize| Execution {
        query: outcome.id.clone(),
        shard,
        replica: 0,
    };
    outcome.shards.iter().map(execution).collect()
}

/// Returns the violations of one query.
fn violations(outcome: &QueryOutcome, executed: &[Execution]) -> Vec<String> {
    check(std::slice::from_ref(outcome), executed)
}

/// Fails unless there is exactly one violation, which contains this text.
fn assert_single(violations: &[String], text: &str) {
    assert!(
        matches!(violations, [only] if only.contains(text)),
        "expected one violation with '{text}', got {violations:?}"
    );
}

#[test]
fn valid_queries_have_no_violations() {
    let rejected = QueryOutcome {
        status: Some(503),
        complete: false,
        answered_shards: Vec::new(),
        ..order()
    };
    let partial = QueryOutcome {
        complete: false,
        answered_shards: vec![6],
        ..find()
    };
    // The process was stopped during the query.
    let unanswered = QueryOutcome {
        status: None,
        latency: Duration::from_secs(60),
        complete: false,
        answered_shards: Vec::new(),
        process_stayed_up: false,
        ..find()
    };
    let twice = [executions(&find()), executions(&find())].concat();
    assert_eq!(violations(&order(), &executions(&order())), [""; 0]);
    assert_eq!(violations(&rejected, &[]), [""; 0]);
    assert_eq!(violations(&partial, &executions(&find())), [""; 0]);
    assert_eq!(violations(&unanswered, &[]), [""; 0]);
    assert_eq!(
        violations(&find(), &twice),
        [""; 0],
        "an idempotent query may be executed again"
    );
}

#[test]
fn a_missing_or_late_response_is_a_violation() {
    let unanswered = QueryOutcome {
        status: None,
        complete: false,
        answered_shards: Vec::new(),
        ..order()
    };
    assert_single(&violations(&unanswered, &[]), "got no response");
    let late = QueryOutcome {
        latency: Duration::from_secs(5),
        ..order()
    };
    assert_single(
        &violations(&late, &executions(&order())),
        "got a late response after",
    );
}

#[test]
fn a_non_idempotent_query_executed_twice_or_despite_rejection_is_a_violation() {
    let twice = [executions(&order()), executions(&order())].concat();
    assert_single(&violations(&order(), &twice), "was executed more than once");
    let rejected = QueryOutcome {
        status: Some(503),
        complete: false,
        answered_shards: Vec::new(),
        ..order()
    };
    assert_single(
        &violations(&rejected, &executions(&order())),
        "was rejected, but one of its sub-requests was executed",
    );
}

#[test]
fn a_response_with_a_missing_or_unexecuted_value_is_a_violation() {
    let incomplete = QueryOutcome {
        answered_shards: vec![1, 11],
        ..find()
    };
    assert_single(
        &violations(&incomplete, &executions(&find())),
        "is reported as complete, but lacks the shards [6]",
    );
    let mut executed = executions(&find());
    executed.remove(0);
    assert_single(
        &violations(&find(), &executed),
        "has a value of shard 1, which was never executed",
    );
}
