//! Complete simulations: no rule is broken, and the same seed gives the same execution.

use linenthread_dataplane_sim::simulation::{SESSIONS, run};

#[test]
fn the_same_seed_gives_the_same_execution() {
    for seed in 1..=20 {
        let (one, other) = (run(seed, SESSIONS), run(seed, SESSIONS));
        assert_eq!(
            (one.digest, one.executions),
            (other.digest, other.executions),
            "seed {seed}"
        );
    }
}

#[test]
fn simulations_break_no_rule_and_most_requests_get_complete_responses() {
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
