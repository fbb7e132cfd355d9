//! Whole worlds: no rule is broken, and the same seed gives the same run.

use linenthread_dataplane_sim::world::{SESSIONS, play};

#[test]
fn the_same_seed_gives_the_same_run() {
    for seed in 1..=20 {
        let (one, other) = (play(seed, SESSIONS), play(seed, SESSIONS));
        assert_eq!(
            (one.digest, one.runs),
            (other.digest, other.runs),
            "seed {seed}"
        );
    }
}

#[test]
fn worlds_break_no_rule_and_most_requests_are_served() {
    let (mut asked, mut whole) = (0, 0);
    for seed in 1_000..1_040 {
        let verdict = play(seed, SESSIONS);
        assert!(
            verdict.breaches.is_empty(),
            "seed {seed}: {}",
            verdict.breaches[0]
        );
        asked += verdict.counts.asked;
        whole += verdict.counts.whole;
    }
    assert!(whole * 4 > asked * 3, "{whole} of {asked}");
}
