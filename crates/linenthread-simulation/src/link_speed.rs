//! Benchmark of a link between sites, on loopback sockets with the real program at both ends. Queries during outages
//! are verified by the checker of `linenthread-fakes`, which reports the violations.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

use linenthread_fakes::proxy::Direction;
use linenthread_fakes::sites::{
    LoadReport, QueryResult, QuerySummary, Sites, SitesConfig, SteadyLoad, query_during_fault,
};
use linenthread_fakes::{Client, request_with};
use serde_json::Value;

use crate::number;
use crate::run_summary::RunSummary;

/// The number of queries made directly, and of those made across the link, in alternation.
const ALTERNATING_QUERIES: usize = 1_000;
/// How long a throughput measurement lasts.
const THROUGHPUT_RUN: Duration = Duration::from_secs(3);
/// The interval between the non-idempotent queries made before, during and after a fault.
const QUERY_INTERVAL: Duration = Duration::from_millis(10);

/// The default settings, except for slow replicas and a session timeout longer than any outage.
const SLOW_REPLICAS: SitesConfig = SitesConfig {
    session_timeout: Duration::from_secs(15),
    down_delay: Duration::from_millis(250),
    service_time: Duration::from_millis(40),
    second_gateway: false,
};

/// Sorts the times and returns a quantile.
fn quantile(times: &mut [f64], share: f64) -> f64 {
    times.sort_by(f64::total_cmp);
    times[number::quantile_index(times.len() - 1, share)]
}

/// Makes a query and returns the status of the response, if one arrives.
fn query(client: &mut Client, index: &str, id: &str) -> Option<u16> {
    client.query(index, id, &[1]);
    client.read_response().map(|response| response.status)
}

/// Measures the latency of queries made alternately at the gateway's own ingress and across the link.
fn measure_latency(sites: &Sites) {
    let mut times = [Vec::new(), Vec::new()];
    let mut clients = [&sites.gateway, &sites.local].map(linenthread_fakes::Service::connect);
    for n in 0..ALTERNATING_QUERIES {
        for (target, client) in clients.iter_mut().enumerate() {
            let begin = Instant::now();
            if query(client, "find", &format!("lat{target}-{n}")) == Some(200) {
                times[target].push(begin.elapsed().as_secs_f64() * 1e6);
            }
        }
    }
    let [direct, across] = &mut times;
    println!(
        "latency of {ALTERNATING_QUERIES} queries each, in turn: direct {:.0} us median, {:.0} us at 99%; across {:.0} and {:.0} us",
        quantile(direct, 0.5),
        quantile(direct, 0.99),
        quantile(across, 0.5),
        quantile(across, 0.99)
    );
}

/// Returns the CPU time of a process in seconds.
fn cpu_seconds(id: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let fields: Vec<&str> = stat
        .rsplit(") ")
        .next()
        .unwrap_or_default()
        .split(' ')
        .collect();
    let ticks = |at: usize| {
        fields
            .get(at)
            .and_then(|f| f.parse::<f64>().ok())
            .unwrap_or_default()
    };
    (ticks(11) + ticks(12)) / 100.0
}

/// Measures queries per second with `in_flight` concurrent clients, and the CPU time per query of each process.
fn measure_throughput(address: SocketAddr, in_flight: usize, processes: &[u32], label: &str) {
    let (completed, stop) = (AtomicUsize::new(0), AtomicBool::new(false));
    let before: Vec<f64> = processes.iter().map(|id| cpu_seconds(*id)).collect();
    let begin = Instant::now();
    scope(|threads| {
        for worker in 0..in_flight {
            let (completed, stop) = (&completed, &stop);
            threads.spawn(move || {
                let mut client = Client::connect(address);
                let mut n = 0;
                while !stop.load(Ordering::Relaxed) {
                    n += 1;
                    match query(
                        &mut client,
                        "find",
                        &format!("{label}{in_flight}-{worker}-{n}"),
                    ) {
                        Some(200) => drop(completed.fetch_add(1, Ordering::Relaxed)),
                        Some(503) => sleep(Duration::from_millis(20)),
                        _ => client = Client::connect(address),
                    }
                }
            });
        }
        sleep(THROUGHPUT_RUN);
        stop.store(true, Ordering::Relaxed);
    });
    let (elapsed, completed) = (
        begin.elapsed().as_secs_f64(),
        completed.load(Ordering::Relaxed).max(1),
    );
    let cpu_times: Vec<String> = processes
        .iter()
        .zip(before)
        .map(|(id, before)| {
            format!(
                "{:.0}",
                (cpu_seconds(*id) - before) * 1e6 / number::to_f64(completed)
            )
        })
        .collect();
    println!(
        "{label}, {in_flight} at once: {:.0} sub-requests a second, CPU of each {} us",
        number::to_f64(completed) / elapsed,
        cpu_times.join(" and ")
    );
}

/// Returns how long after the link was restored the first successful query was scheduled, in milliseconds; -1 if none
/// succeeded.
fn recovery_ms(results: &[QueryResult], restored: Duration) -> i64 {
    let answered = results
        .iter()
        .filter(|result| result.status == Some(200) && result.scheduled_at >= restored);
    answered
        .map(|result| {
            i64::try_from((result.scheduled_at - restored).as_millis()).unwrap_or(i64::MAX)
        })
        .min()
        .unwrap_or(-1)
}

/// Prints the verdict on a run and at most five of its violations.
fn report(label: &str, verdict: &QuerySummary, recovery_ms: i64) -> RunSummary {
    let QuerySummary {
        checked,
        succeeded,
        rejected,
        failed,
        violations,
    } = verdict;
    println!(
        "{label}: {checked} queries, {succeeded} succeeded, {rejected} rejected, {failed} failed, {} lost; recovered after {recovery_ms} ms",
        checked - succeeded - rejected - failed
    );
    violations
        .iter()
        .take(5)
        .for_each(|why| println!("violation: {why}"));
    RunSummary {
        checked: *checked,
        violations: violations.len(),
    }
}

/// Makes non-idempotent queries at a steady rate while the link is down for `length`.
fn measure_outage(sites: &mut Sites, length: Duration, label: &str) -> RunSummary {
    let before = Duration::from_millis(500);
    let load = SteadyLoad {
        tag: format!("{label}{}", length.as_millis()).replace(' ', "-"),
        indexes: vec!["order"],
        interval: QUERY_INTERVAL,
        duration: before + length + Duration::from_secs(3),
    };
    let LoadReport {
        summary: verdict,
        results,
    } = query_during_fault(sites, load, |sites| {
        sleep(before);
        sites.proxy.set_upstream(None);
        sites.proxy.disconnect();
        sleep(length);
        sites.proxy.set_upstream(Some(sites.link_address));
    });
    report(
        &format!("{label}, link down for {} ms", length.as_millis()),
        &verdict,
        recovery_ms(&results, before + length),
    )
}

/// Kills one of two gateways to the same replicas under load.
fn measure_gateway_failure(program: &str) -> RunSummary {
    let mut sites = Sites::start(
        program,
        SitesConfig {
            second_gateway: true,
            ..SLOW_REPLICAS
        },
    );
    let before = Duration::from_millis(1_000);
    let load = SteadyLoad {
        tag: "two".to_owned(),
        indexes: vec!["order"],
        interval: QUERY_INTERVAL,
        duration: 4 * before,
    };
    let LoadReport {
        summary: verdict,
        results,
    } = query_during_fault(&mut sites, load, |sites| {
        sleep(before);
        sites.gateway.signal("-KILL");
    });
    let (early, late): (Vec<_>, Vec<_>) = results
        .iter()
        .partition(|result| result.scheduled_at < before);
    let percent = |results: &[&QueryResult]| {
        let succeeded = results
            .iter()
            .filter(|result| result.status == Some(200))
            .count();
        number::percent(succeeded, results.len())
    };
    println!(
        "one of two gateways killed: {:.1}% succeeded before, {:.1}% after",
        percent(&early),
        percent(&late)
    );
    report(
        "one of two gateways killed",
        &verdict,
        recovery_ms(&results, before),
    )
}

/// Delays first one and then the other of two links, and prints the share of queries that take no longer than on a link
/// without delay. The optimum is 100%.
fn measure_link_choice(program: &str) -> RunSummary {
    let mut sites = Sites::start(
        program,
        SitesConfig {
            service_time: Duration::ZERO,
            second_gateway: true,
            ..SLOW_REPLICAS
        },
    );
    let (delay, phase_duration) = (Duration::from_millis(20), Duration::from_secs(2));
    let load = SteadyLoad {
        tag: "best".to_owned(),
        indexes: vec!["find"],
        interval: Duration::from_millis(5),
        duration: 3 * phase_duration,
    };
    let LoadReport {
        summary: verdict,
        results,
    } = query_during_fault(&mut sites, load, |sites| {
        sleep(phase_duration);
        sites.proxy.set_delay(delay);
        sleep(phase_duration);
        sites.proxy.set_delay(Duration::ZERO);
        if let Some(second) = &sites.second_gateway {
            second.proxy.set_delay(delay);
        }
        sleep(phase_duration);
    });
    let phases = [
        "neither slow",
        "the first slow by 20 ms each way",
        "the second slow",
    ];
    for (phase, label) in (0..).zip(phases) {
        let in_phase = |result: &&QueryResult| {
            result.scheduled_at >= phase_duration * phase
                && result.scheduled_at < phase_duration * (phase + 1)
        };
        let all = results.iter().filter(in_phase).count();
        let fast = results
            .iter()
            .filter(in_phase)
            .filter(|result| result.status == Some(200) && result.latency < delay / 2)
            .count();
        println!(
            "two links, {label}: {:.1}% of {all} queries within 10 ms",
            number::percent(fast, all)
        );
    }
    RunSummary {
        checked: verdict.checked,
        violations: verdict.violations.len(),
    }
}

/// Returns the resident memory of a process in megabytes.
fn resident_megabytes(id: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|l| l.trim().trim_end_matches(" kB").parse::<f64>().ok())
        .unwrap_or_default()
        / 1024.0
}

/// Measures the client's memory while long queries are made across a link that accepts no more bytes.
fn measure_stalled_link(program: &str) {
    let sites = Sites::start(
        program,
        SitesConfig {
            service_time: Duration::ZERO,
            ..SLOW_REPLICAS
        },
    );
    let client = sites.local.child.id();
    let before = resident_megabytes(client);
    sites.proxy.set_silent(Direction::ToUpstream, true);
    let (max, stop) = (std::sync::Mutex::new(0.0_f64), AtomicBool::new(false));
    scope(|threads| {
        for worker in 0..100 {
            let (stop, address) = (&stop, sites.local.address);
            threads.spawn(move || {
                let text = "x".repeat(50_000);
                let mut n = 0;
                while !stop.load(Ordering::Relaxed) {
                    n += 1;
                    let mut client = Client::connect(address);
                    client.send(&request_with(
                        "find",
                        &format!("st{worker}-{n}"),
                        &[1],
                        &text,
                        &Value::Null,
                    ));
                    client.read_response();
                }
            });
        }
        for _ in 0..30 {
            sleep(Duration::from_millis(100));
            let mut max = max.lock().expect("the lock is not poisoned");
            *max = max.max(resident_megabytes(client));
        }
        stop.store(true, Ordering::Relaxed);
    });
    let max = max.into_inner().unwrap_or_default();
    println!(
        "stalled link, 100 clients with 50 kB each: {before:.0} MB before, {max:.0} MB at the most"
    );
}

/// Runs all benchmarks with the given program.
pub(crate) fn run(program: &str) -> RunSummary {
    let sites = Sites::start(
        program,
        SitesConfig {
            service_time: Duration::ZERO,
            ..SLOW_REPLICAS
        },
    );
    measure_latency(&sites);
    let (client, gateway) = (sites.local.child.id(), sites.gateway.child.id());
    for in_flight in [1, 10, 100, 1_000] {
        measure_throughput(sites.gateway.address, in_flight, &[gateway], "direct");
        measure_throughput(sites.local.address, in_flight, &[client, gateway], "across");
    }
    measure_stalled_link(program);
    let mut summary = RunSummary::default();
    let session_timeouts = [
        (Duration::from_secs(15), "resumed"),
        (Duration::from_millis(10), "not resumed"),
    ];
    for (session_timeout, label) in session_timeouts {
        let mut sites = Sites::start(
            program,
            SitesConfig {
                session_timeout,
                ..SLOW_REPLICAS
            },
        );
        for ms in [50, 200, 1_000, 5_000, 10_000] {
            summary += measure_outage(&mut sites, Duration::from_millis(ms), label);
        }
    }
    summary += measure_gateway_failure(program);
    summary += measure_link_choice(program);
    summary
}
