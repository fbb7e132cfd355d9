//! The duty to report usage at one node: under which fencing token it makes calls, when, and what follows from the
//! outcome of a call.
//!
//! There is a test for each edge of the table in `docs/usage-design.md`.

use std::time::Duration;

use linenthread_control::usage_duty::{ActiveLease, CallConsequence, UsageDuty};
use linenthread_control::{Epoch, PlatformCall, PlatformOutcome};
use linenthread_messages::UsageReport;
use linenthread_time::{Instant, WindowNumber};
use yare::parameterized;

const LEASE: Duration = Duration::from_millis(3_000);
const START: Instant = Instant::from_millis(1_000);
const SEED: u64 = 7;

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn duty() -> UsageDuty {
    UsageDuty::new(START, LEASE, 50.0, SEED)
}

fn current_lease(epoch: u64) -> ActiveLease {
    ActiveLease {
        epoch: Epoch::new(epoch),
        expires_at: at(1_000_000),
    }
}

fn report(window: u64) -> UsageReport {
    UsageReport {
        window,
        body: format!("body of {window}").into_bytes().into(),
    }
}

fn call(duty: &mut UsageDuty, now: u64, epoch: u64, windows: &[u64]) -> Option<PlatformCall> {
    let reports: Vec<UsageReport> = windows.iter().map(|window| report(*window)).collect();
    duty.next_call(at(now), current_lease(epoch), &reports)
}

/// Makes a call under an epoch, which the platform accepts.
fn make_accepted_call(duty: &mut UsageDuty, now: u64, epoch: u64, window: u64) {
    let platform_call = call(duty, now, epoch, &[window]).expect("a call");
    duty.on_outcome(at(now), platform_call.id, PlatformOutcome::Accepted);
}

// Guards against calls of different nodes under one fencing token, and against bytes that differ from the decided ones.
#[test]
fn a_call_carries_the_epoch_of_the_lease_and_the_decided_bytes() {
    let mut duty = duty();
    let platform_call = call(&mut duty, 4_000, 9, &[5, 6]).expect("a call");
    assert_eq!(platform_call.fence, Epoch::new(9));
    assert_eq!(platform_call.report, report(5));
    assert_eq!(platform_call.not_after, at(1_000_000));
}

// Guards against a call whose first byte is written when another node may hold the lease.
#[test]
fn no_call_is_made_once_the_lease_has_expired() {
    let mut duty = duty();
    let expired = ActiveLease {
        expires_at: at(4_000),
        ..current_lease(9)
    };
    assert_eq!(duty.next_call(at(4_000), expired, &[report(5)]), None);
}

// Guards against calls of nodes A, B and A again within the lease time, where A restarted in between.
#[test]
fn a_started_node_waits_for_the_lease_time() {
    let mut duty = duty();
    assert_eq!(call(&mut duty, 3_999, 9, &[5]), None);
    assert!(call(&mut duty, 4_000, 9, &[5]).is_some());
}

// Guards against calls of nodes A, B and A again within the lease time, where A kept running and lost the duty in
// between.
#[test]
fn a_node_under_a_new_epoch_waits_for_the_lease_time_after_its_last_call() {
    let mut duty = duty();
    make_accepted_call(&mut duty, 10_000, 9, 5);
    assert_eq!(call(&mut duty, 12_999, 11, &[6]), None);
    assert!(call(&mut duty, 13_000, 11, &[6]).is_some());
}

// Guards against a wait counted from the start of the last call, whose bytes may have been written later.
#[test]
fn the_wait_starts_at_the_end_of_the_last_call() {
    let mut duty = duty();
    let platform_call = call(&mut duty, 10_000, 9, &[5]).expect("a call");
    assert_eq!(call(&mut duty, 12_000, 11, &[5]), None, "still in flight");
    duty.on_outcome(at(12_500), platform_call.id, PlatformOutcome::Unknown);
    assert_eq!(call(&mut duty, 15_499, 11, &[5]), None);
    assert!(call(&mut duty, 15_500, 11, &[5]).is_some());
}

#[test]
fn a_node_under_the_same_epoch_does_not_wait() {
    let mut duty = duty();
    make_accepted_call(&mut duty, 10_000, 9, 5);
    assert!(call(&mut duty, 10_100, 9, &[5, 6]).is_some());
}

// Guards against using a fencing token again that the platform has refused.
#[test]
fn a_refused_epoch_is_never_used_again() {
    let mut duty = duty();
    let platform_call = call(&mut duty, 10_000, 9, &[5]).expect("a call");
    assert_eq!(
        duty.on_outcome(at(10_100), platform_call.id, PlatformOutcome::FenceTooLow),
        Some(CallConsequence::StepDown {
            epoch: Epoch::new(9)
        })
    );
    for epoch in [8, 9] {
        assert_eq!(call(&mut duty, 100_000, epoch, &[5]), None);
    }
    assert!(call(&mut duty, 100_000, 10, &[5]).is_some());
}

// Guards against a report that counts as delivered though the platform may not have it, and against calls to a busy
// platform without a backoff.
#[parameterized(
    busy = { PlatformOutcome::Busy },
    rejected = { PlatformOutcome::Rejected },
    not_sent = { PlatformOutcome::NotSent },
    unknown = { PlatformOutcome::Unknown },
)]
fn a_failed_report_is_sent_again_after_a_backoff(outcome: PlatformOutcome) {
    let mut duty = duty();
    let platform_call = call(&mut duty, 10_000, 9, &[5, 6]).expect("a call");
    assert_eq!(
        duty.on_outcome(at(10_000), platform_call.id, outcome),
        Some(CallConsequence::Retry {
            window: WindowNumber::new(5),
            outcome
        })
    );
    assert_eq!(call(&mut duty, 10_050, 9, &[5, 6]), None);
    let retry = call(&mut duty, 10_300, 9, &[5, 6]).expect("a call");
    assert_eq!(retry.report, platform_call.report);
    assert_ne!(retry.id, platform_call.id);
    assert_eq!(duty.delivered_window(), None);
}

// Guards against calling a platform that is down for a long time ever more often, or hardly ever.
#[test]
fn the_backoff_grows_up_to_a_limit() {
    let (mut duty, mut now) = (duty(), 10_000);
    let mut called_at = Vec::new();
    while called_at.len() < 12 {
        if let Some(platform_call) = call(&mut duty, now, 9, &[5]) {
            called_at.push(now);
            duty.on_outcome(at(now), platform_call.id, PlatformOutcome::Busy);
        }
        now += 10;
    }
    let backoffs: Vec<u64> = called_at.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!((100..=210).contains(&backoffs[0]), "{backoffs:?}");
    assert!(
        backoffs.iter().all(|backoff| *backoff <= 1_610),
        "{backoffs:?}"
    );
    assert!(
        backoffs[5..].iter().all(|backoff| *backoff >= 800),
        "{backoffs:?}"
    );
}

#[test]
fn only_one_call_is_in_flight_at_a_time() {
    let mut duty = duty();
    let platform_call = call(&mut duty, 10_000, 9, &[5, 6]).expect("a call");
    assert_eq!(call(&mut duty, 10_100, 9, &[5, 6]), None);
    duty.on_outcome(at(10_100), platform_call.id, PlatformOutcome::Accepted);
    let next = call(&mut duty, 10_200, 9, &[5, 6]).expect("a call");
    assert_eq!(next.report, report(6));
}

#[test]
fn the_outcome_of_another_call_is_ignored() {
    let mut duty = duty();
    let platform_call = call(&mut duty, 10_000, 9, &[5]).expect("a call");
    let other = platform_call.id.next();
    assert_eq!(
        duty.on_outcome(at(10_000), other, PlatformOutcome::Accepted),
        None
    );
    assert_eq!(duty.delivered_window(), None);
}

// Guards against exceeding the rate of calls that the platform accepts.
#[test]
fn calls_do_not_exceed_the_rate() {
    let mut duty = UsageDuty::new(START, LEASE, 2.0, SEED);
    make_accepted_call(&mut duty, 10_000, 9, 5);
    assert_eq!(call(&mut duty, 10_499, 9, &[6]), None);
    assert!(call(&mut duty, 10_500, 9, &[6]).is_some());
}

// Guards against one report that the platform never accepts and that blocks all later ones.
#[test]
fn a_report_is_abandoned_after_repeated_rejections() {
    let mut duty = duty();
    let mut last = None;
    for round in 0..8u64 {
        let platform_call = call(&mut duty, 20_000 + round * 10_000, 9, &[5]).expect("a call");
        last = duty.on_outcome(
            at(20_000 + round * 10_000),
            platform_call.id,
            PlatformOutcome::Rejected,
        );
    }
    assert_eq!(
        last,
        Some(CallConsequence::ReportClosed {
            window: WindowNumber::new(5),
            outcome: PlatformOutcome::Rejected
        })
    );
    let next = call(&mut duty, 200_000, 9, &[5, 6]).expect("a call");
    assert_eq!(next.report, report(6));
}
