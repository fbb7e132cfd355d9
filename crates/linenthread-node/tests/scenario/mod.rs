//! Runs a scenario of `linenthread-demo` as a test.

use std::path::Path;

use linenthread_demo::scenarios::{Scale, Scenario};
use oorandom::Rand64;

/// Runs a scenario once. Panics with all violations if an invariant did not hold.
pub(crate) fn assert_scenario_holds(scenario: Scenario, seed: u64) {
    let program = Path::new(env!("CARGO_BIN_EXE_linenthread-node"));
    let mut random = Rand64::new(u128::from(seed));
    let findings = scenario
        .run(program, &Scale::BRIEF, &mut random)
        .expect("the cluster starts");
    let violations: Vec<String> = findings
        .violations
        .iter()
        .map(ToString::to_string)
        .collect();
    assert!(
        violations.is_empty(),
        "{}\n{}",
        violations.join("\n"),
        findings.notes.join("\n")
    );
    assert!(findings.checks > 0);
}
