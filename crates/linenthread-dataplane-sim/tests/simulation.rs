//! Runs complete simulations: no rule is violated, and the same seed gives the same execution.

use linenthread_dataplane_sim::simulation::{SESSIONS, run};

#[test]
fn the_same_seed_gives_the_same_execution() {
    for seed in 1..=20 {
        let (first, second) = (run(seed, SESSIONS), run(seed, SESSIONS));
        assert_eq!(
            (first.digest, first.executions),
            (second.digest, second.executions),
            "seed {seed}"
        );
    }
}

#[test]
fn no_rule_is_violated_and_most_requests_get_complete_responses() {
    let (mut requests, mut complete) = (0, 0);
    for seed in 1_000..1_040 {
        let outcome = run(seed, SESSIONS);
        assert!(
            outcome.violations.is_empty(),
            "seed {seed}: {}",
            outcome.violations[0]
        );
        requests += outcome.counts.requests;
        complete += outcome.counts.complete;
    }
    assert!(complete * 4 > requests * 3, "{complete} of {requests}");
}
