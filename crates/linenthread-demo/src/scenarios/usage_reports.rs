//! Point 7: the control node that reports usage is killed, and then its successor is paused for longer than every lease
//! and resumed. The platform must get one report of each window, in time and from one node at a time, with the counts of
//! the clients' queries.
//!
//! [`run_with`] runs the same checks with other faults.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant, SystemTime};

use linenthread_fakes::platform::{AcceptedReport, FakePlatform, PlatformRules};

use super::context::Context;
use super::findings::Findings;
use super::scale::RECOVERY_TIMEOUT;
use super::setup::{SERVICES, configure_with, draw_duration};
use crate::client::TenantClient;
use crate::cluster::Cluster;
use crate::error::DemoError;
use crate::machine::Signal;
use crate::order::{Order, Tenant};
use crate::platform_settings::PlatformSettings;
use crate::replica::Replica;

const CONTROL_NODES: usize = 3;
const INGRESS_NODES: usize = 2;
/// The number of replicas of each service.
const REPLICAS: usize = 2;
const QUERY_DEADLINE: Duration = Duration::from_millis(800);
/// The pause between two queries of a client.
const QUERY_INTERVAL: Duration = Duration::from_millis(8);
/// The path of all queries; each is sent to one replica.
const QUERY_PATH: &str = "/s1/usage";

const REPORT_WINDOW: Duration = Duration::from_secs(2);
const REPORT_DELAY: Duration = Duration::from_secs(10);
const RULES: PlatformRules = PlatformRules {
    calls_per_second: 50.0,
    lease: Duration::from_secs(3),
    report_window: REPORT_WINDOW,
};
/// The largest error of a count, as a fraction of the true one (`limits_table.usage_error` of the deployments).
const MAX_COUNT_ERROR: f64 = 0.05;

/// The tenants, with the key of each.
const TENANTS: [(&str, &str); 2] = [
    ("left", "k5tw9left2rrytapjsujq"),
    ("right", "k7bd4right8rryiikdrbn"),
];

pub(super) fn run(context: &mut Context<'_>) -> Result<Findings, DemoError> {
    run_with(context, Duration::ZERO, fail_reporting_nodes)
}

/// Runs a cluster that reports usage while faults are injected, and checks all reports. They may be late by
/// `allowed_delay`, since a platform can't accept reports while it fails.
pub(super) fn run_with(
    context: &mut Context<'_>,
    allowed_delay: Duration,
    inject_faults: impl FnOnce(
        &mut Findings,
        &mut Cluster,
        &FakePlatform,
        &mut Context<'_>,
    ) -> Result<(), DemoError>,
) -> Result<Findings, DemoError> {
    let mut findings = Findings::default();
    let platform = FakePlatform::start(RULES);
    let mut cluster = start_cluster(context, platform.address)?;
    let addresses = cluster.ingress_addresses();
    let is_stopped = AtomicBool::new(false);
    let first_window = current_window();
    let last_window = std::thread::scope(|scope| {
        for peer in &addresses {
            for (tenant, key) in TENANTS {
                scope.spawn(|| send_queries(*peer, tenant, key, &is_stopped));
            }
        }
        wait_for_first_report(&mut findings, &platform);
        let faults = inject_faults(&mut findings, &mut cluster, &platform, context);
        let last_window = current_window();
        is_stopped.store(true, Ordering::Relaxed);
        faults.map(|()| last_window)
    })?;
    let is_reported = platform.wait_until(REPORT_DELAY + RECOVERY_TIMEOUT, |log| {
        log.report(last_window).is_some()
    });
    findings.check(is_reported, "the last window is reported", || {
        format!("window {last_window} was not reported")
    });
    check_calls(&mut findings, &platform);
    let report_delay = REPORT_DELAY + allowed_delay;
    check_windows(
        &mut findings,
        &platform.log().reports,
        last_window,
        report_delay,
    );
    // In the windows in which the clients started and stopped the counts are small; they are left out.
    let full_windows = first_window + 1..last_window;
    check_counts(&mut findings, &cluster, &platform, full_windows);
    Ok(findings)
}

fn start_cluster(context: &Context<'_>, platform: SocketAddr) -> Result<Cluster, DemoError> {
    let mut cluster = context.new_cluster()?;
    cluster.report_usage_to(PlatformSettings {
        address: platform,
        rules: RULES,
        report_delay: REPORT_DELAY,
    });
    cluster.start(CONTROL_NODES, INGRESS_NODES)?;
    for service in SERVICES {
        cluster.start_replicas(service, REPLICAS)?;
    }
    let tenants = TENANTS.map(|(name, key)| Tenant::new(name, &[key]));
    let first = Order::for_tenants(0, 1, &SERVICES, &tenants);
    configure_with(&mut cluster, &first, REPLICAS * SERVICES.len())?;
    Ok(cluster)
}

fn current_window() -> u64 {
    let now = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
    window_of(now)
}

/// Returns the window that contains a time, which is given as the time since the Unix epoch.
fn window_of(time: Duration) -> u64 {
    time.as_secs() / REPORT_WINDOW.as_secs()
}

/// Sends queries of a tenant until stopped; opens a new connection when one has failed.
fn send_queries(
    peer: SocketAddr,
    tenant: &'static str,
    key: &'static str,
    is_stopped: &AtomicBool,
) {
    let mut sent = 0;
    while !is_stopped.load(Ordering::Relaxed) {
        let Ok(mut client) = TenantClient::connect(peer, key) else {
            std::thread::sleep(QUERY_INTERVAL);
            continue;
        };
        while !is_stopped.load(Ordering::Relaxed) {
            sent += 1;
            let attempt = format!("{tenant}-{peer}-{sent}");
            if client.query(QUERY_PATH, &attempt, QUERY_DEADLINE).is_err() {
                break;
            }
            std::thread::sleep(QUERY_INTERVAL);
        }
    }
}

fn wait_for_first_report(findings: &mut Findings, platform: &FakePlatform) {
    let is_reported = platform.wait_until(REPORT_DELAY + RECOVERY_TIMEOUT, |log| {
        !log.reports.is_empty()
    });
    findings.check(is_reported, "a window is reported after the start", || {
        "no report".to_owned()
    });
}

/// Returns the name of the node whose report was accepted last.
pub(super) fn last_reporter(platform: &FakePlatform) -> Option<String> {
    let log = platform.log();
    log.reports.last().map(|report| report.owner.clone())
}

/// Kills the node that reports, and then pauses its successor; checks each time that another node continues within the
/// bound.
fn fail_reporting_nodes(
    findings: &mut Findings,
    cluster: &mut Cluster,
    platform: &FakePlatform,
    context: &mut Context<'_>,
) -> Result<(), DemoError> {
    std::thread::sleep(draw_duration(REPORT_WINDOW, context.random));
    if let Some(killed) = last_reporter(platform) {
        cluster.kill(&killed);
        check_successor(findings, platform, &killed, "killed");
        cluster.start_process(&killed)?;
        let is_back = cluster.wait_for_members(&killed, RECOVERY_TIMEOUT, |members| members.quorum);
        findings.check(is_back, "a node that was killed comes back", || {
            killed.clone()
        });
    }

    std::thread::sleep(draw_duration(REPORT_WINDOW, context.random));
    if let Some(paused) = last_reporter(platform) {
        cluster.signal(&paused, Signal::Stop);
        let resumes_at = Instant::now() + context.scale.pause;
        check_successor(findings, platform, &paused, "paused");
        std::thread::sleep(resumes_at.saturating_duration_since(Instant::now()));
        cluster.signal(&paused, Signal::Continue);
    }
    // Reports that the resumed node sends from its old state would arrive during this check.
    check_reports_continue(findings, platform);
    Ok(())
}

/// Checks that two more reports are accepted within the bound.
pub(super) fn check_reports_continue(findings: &mut Findings, platform: &FakePlatform) {
    let reports = platform.log().reports.len();
    let continues = platform.wait_until(RECOVERY_TIMEOUT, |log| log.reports.len() >= reports + 2);
    findings.check(continues, "reports continue after the faults", || {
        format!("{reports} reports before")
    });
}

/// Starts a node that was killed, and checks that it has a quorum within the bound.
pub(super) fn restart(
    findings: &mut Findings,
    cluster: &mut Cluster,
    killed: &str,
) -> Result<(), DemoError> {
    cluster.start_process(killed)?;
    let is_back = cluster.wait_for_members(killed, RECOVERY_TIMEOUT, |members| members.quorum);
    findings.check(is_back, "a node that was killed comes back", || {
        killed.to_owned()
    });
    Ok(())
}

/// Checks that another node reports within the bound after this one failed.
fn check_successor(
    findings: &mut Findings,
    platform: &FakePlatform,
    failed: &str,
    fault: &'static str,
) {
    let started_at = Instant::now();
    let has_successor = platform.wait_until(RECOVERY_TIMEOUT, |log| {
        log.reports
            .last()
            .is_some_and(|report| report.owner != failed)
    });
    findings.check(
        has_successor,
        "another node reports within the bound",
        || format!("no report since {failed} was {fault}"),
    );
    findings.add_note(format!(
        "{failed} was {fault}: next report after {} ms",
        started_at.elapsed().as_millis()
    ));
}

/// Checks that all calls followed the platform's rules and stayed within its rate.
fn check_calls(findings: &mut Findings, platform: &FakePlatform) {
    let log = platform.log();
    findings.check(
        log.violations.is_empty(),
        "calls to the platform follow its rules",
        || {
            let kinds: BTreeSet<String> = log.violations.iter().map(ToString::to_string).collect();
            kinds.into_iter().collect::<Vec<_>>().join("; ")
        },
    );
    findings.check(
        log.rate_limited_calls == 0,
        "calls stay within the rate",
        || {
            format!(
                "{} of {} too many",
                log.rate_limited_calls, log.received_requests
            )
        },
    );
    findings.add_note(format!(
        "{} calls: {} reports, {} repeats, {} refused because of their fencing token",
        log.received_requests,
        log.reports.len(),
        log.duplicate_reports,
        log.refused_calls
    ));
}

/// Checks that each window is reported once, without gaps, after its end and in time.
fn check_windows(
    findings: &mut Findings,
    reports: &[AcceptedReport],
    last_window: u64,
    report_delay: Duration,
) {
    let reported: Vec<u64> = reports.iter().map(|report| report.window).collect();
    let first = reported.iter().min().copied().unwrap_or(last_window);
    let newest = reported.iter().max().copied().unwrap_or(last_window);
    let mut in_order = reported.clone();
    in_order.sort_unstable();
    findings.check(
        in_order.into_iter().eq(first..=newest),
        "each window is reported once",
        || format!("{reported:?}"),
    );
    for report in reports {
        let is_in_time = report
            .after_window_end
            .is_some_and(|after| after <= report_delay);
        findings.check(
            is_in_time,
            "a window is reported after its end and in time",
            || format!("{}: {:?}", report.window, report.after_window_end),
        );
    }
    let latest = reports.iter().filter_map(|report| report.after_window_end);
    findings.add_note(format!(
        "longest delay of a report: {} ms after the end of its window",
        latest.max().unwrap_or_default().as_millis()
    ));
}

/// Returns the number of queries that replicas received, by window and tenant. An attempt counts once, in the window in
/// which it was first received.
fn true_counts(cluster: &Cluster) -> BTreeMap<(u64, String), u64> {
    let mut received: Vec<_> = cluster
        .replicas
        .iter()
        .flat_map(Replica::received_requests)
        .collect();
    received.sort_by_key(|request| request.received_at);
    let mut attempts = BTreeSet::new();
    let mut counts = BTreeMap::new();
    for request in received {
        let tenant = request.attempt.split('-').next().unwrap_or_default();
        let key = (window_of(request.received_at), tenant.to_owned());
        if attempts.insert(request.attempt) {
            *counts.entry(key).or_default() += 1;
        }
    }
    counts
}

/// Checks the reported counts of these windows against those of the replicas.
fn check_counts(
    findings: &mut Findings,
    cluster: &Cluster,
    platform: &FakePlatform,
    windows: Range<u64>,
) {
    findings.check(!windows.is_empty(), "some windows are compared", || {
        format!("{windows:?}")
    });
    let expected = true_counts(cluster);
    let log = platform.log();
    let mut max_error = 0.0_f64;
    for window in windows {
        for (tenant, _) in TENANTS {
            let expected = expected.get(&(window, tenant.to_owned())).copied();
            let reported = log
                .report(window)
                .and_then(|report| report.tallies.get(tenant));
            let error = relative_error(reported.copied(), expected);
            max_error = max_error.max(error);
            findings.check(
                error <= MAX_COUNT_ERROR,
                "a tenant's count is correct",
                || format!("{window}, {tenant}: {reported:?} instead of {expected:?}"),
            );
        }
    }
    findings.add_note(format!("largest error of a count: {max_error:.4}"));
}

/// Returns the error of a count as a fraction of the expected one. A missing report counts as 0; without an expected
/// count there is nothing to compare with, and the error is infinite.
fn relative_error(reported: Option<u64>, expected: Option<u64>) -> f64 {
    let reported = reported.unwrap_or(0);
    expected.map_or(f64::INFINITY, |expected| {
        to_f64(reported.abs_diff(expected)) / to_f64(expected)
    })
}

/// Converts a count without loss; counts above `u32::MAX`, which don't occur, become infinite.
fn to_f64(count: u64) -> f64 {
    u32::try_from(count).map_or(f64::INFINITY, f64::from)
}
