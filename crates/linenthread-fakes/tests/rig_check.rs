//! The check of a rig's queries finds a planted violation of each rule, and none where the rules are kept.

use std::time::{Duration, Instant};

use linenthread_fakes::rig::{Execution, QueryOutcome, check};

/// A non-idempotent query of shard 3 that succeeded.
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
        found: vec![3],
        alive: true,
    }
}

/// An idempotent query of three shards that succeeded.
fn find() -> QueryOutcome {
    QueryOutcome {
        id: "c0x2".to_owned(),
        non_idempotent: false,
        shards: vec![1, 6, 11],
        found: vec![1, 6, 11],
        ..order()
    }
}

/// One execution of each shard of a query.
fn executions(outcome: &QueryOutcome) -> Vec<Execution> {
    let execution = |&shard: &usize| Execution {
        query: outcome.id.clone(),
        shard,
        replica: 0,
    };
    outcome.shards.iter().map(execution).collect()
}

/// The violations of one query.
fn violations(outcome: &QueryOutcome, executed: &[Execution]) -> Vec<String> {
    check(std::slice::from_ref(outcome), executed)
}

/// Fails unless there is one violation, which has this text.
fn assert_only(violations: &[String], text: &str) {
    assert!(
        matches!(violations, [only] if only.contains(text)),
        "{text} in {violations:?}"
    );
}

#[test]
fn queries_that_keep_the_rules_have_no_violations() {
    let rejected = QueryOutcome {
        status: Some(503),
        complete: false,
        found: Vec::new(),
        ..order()
    };
    let partial = QueryOutcome {
        complete: false,
        found: vec![6],
        ..find()
    };
    // The process was stopped meanwhile.
    let unanswered = QueryOutcome {
        status: None,
        latency: Duration::from_secs(60),
        complete: false,
        found: Vec::new(),
        alive: false,
        ..find()
    };
    let twice = [executions(&find()), executions(&find())].concat();
    assert_eq!(violations(&order(), &executions(&order())), [""; 0]);
    assert_eq!(violations(&rejected, &[]), [""; 0]);
    assert_eq!(violations(&partial, &executions(&find())), [""; 0]);
    assert_eq!(violations(&unanswered, &[]), [""; 0]);
    assert_eq!(violations(&find(), &twice), [""; 0], "it may run again");
}

#[test]
fn a_query_without_a_response_in_time_is_found() {
    let unanswered = QueryOutcome {
        status: None,
        complete: false,
        found: Vec::new(),
        ..order()
    };
    assert_only(&violations(&unanswered, &[]), "got no answer");
    let late = QueryOutcome {
        latency: Duration::from_secs(5),
        ..order()
    };
    assert_only(
        &violations(&late, &executions(&order())),
        "was answered after",
    );
}

#[test]
fn a_non_idempotent_query_that_runs_twice_or_though_rejected_is_found() {
    let twice = [executions(&order()), executions(&order())].concat();
    assert_only(&violations(&order(), &twice), "ran twice");
    let rejected = QueryOutcome {
        status: Some(503),
        complete: false,
        found: Vec::new(),
        ..order()
    };
    assert_only(
        &violations(&rejected, &executions(&order())),
        "was nacked, and a part of it ran",
    );
}

#[test]
fn a_response_that_lacks_or_invents_a_value_is_found() {
    let lacking = QueryOutcome {
        found: vec![1, 11],
        ..find()
    };
    assert_only(
        &violations(&lacking, &executions(&find())),
        "is said to be whole and lacks [6]",
    );
    let mut executed = executions(&find());
    executed.remove(0);
    assert_only(
        &violations(&find(), &executed),
        "has a value of shard 1, which never ran",
    );
}
