//! The link between two sites on loopback, with the real program at both ends and a proxy between them that injects
//! faults.

use std::ops::Range;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use linenthread_fakes::proxy::Direction;
use linenthread_fakes::sites::{
    LoadReport, QuerySummary, Sites, SitesConfig, SteadyLoad, disconnect_everywhere,
    query_during_fault,
};
use linenthread_fakes::{member, membership};
use oorandom::Rand64;

const EXE: &str = env!("CARGO_BIN_EXE_linenthread");

#[test]
fn queries_cross_the_link_and_resume_after_a_disconnection() {
    let mut sites = Sites::start(EXE, SitesConfig::default());
    let mut verdict = QuerySummary::default();
    for _ in 0..3 {
        sites.query("find", &mut verdict, "whole");
        sites.query("order", &mut verdict, "whole");
        sites.reconnect();
    }
    assert_eq!((verdict.succeeded, &verdict.violations[..]), (6, &[][..]));
    // Without a link no replica can be reached, so the query is rejected at once.
    sites.proxy.set_upstream(None);
    sites.proxy.disconnect();
    sites.local.wait_for_log("replicas behind links remote=0");
    sites.query("order", &mut verdict, "no link");
    assert_eq!((verdict.rejected, &verdict.violations[..]), (1, &[][..]));
}

#[test]
fn a_disconnection_at_any_byte_does_not_repeat_or_misreport_a_non_idempotent_sub_request() {
    for keep in [3_000, 10] {
        let verdict = disconnect_everywhere(EXE, Duration::from_millis(keep), 9, 4);
        assert_eq!(verdict.violations, [""; 0], "keep {keep}: {verdict:?}");
        // The number of bytes depends on whether a heartbeat is sent during the exchange.
        assert!(verdict.checked > 40 && verdict.succeeded > 0, "{verdict:?}");
    }
}

/// The number of faults that are injected in one run.
const FAULT_COUNT: usize = 8;
/// Index of the only fault that may kill the gateway, without a restart; only in every fourth run.
const KILL_INDEX: usize = 6;

/// Runs queries under disconnections, lost bytes, delays and the death of a gateway, all chosen by the seed.
fn query_through_faults(seed: u64) {
    let config = SitesConfig {
        service_time: Duration::from_millis(10),
        second_gateway: seed.is_multiple_of(2),
        ..SitesConfig::default()
    };
    let mut sites = Sites::start(EXE, config);
    let mut rng = Rand64::new(u128::from(seed));
    let load = SteadyLoad {
        tag: format!("t{seed}"),
        indexes: vec!["order", "find", "order"],
        interval: Duration::from_millis(15),
        duration: Duration::from_secs(4),
    };
    let LoadReport {
        summary: verdict, ..
    } = query_during_fault(&mut sites, load, |sites| {
        for fault_index in 0..FAULT_COUNT {
            let may_kill = fault_index == KILL_INDEX && seed.is_multiple_of(4);
            inject_fault(sites, &mut rng, may_kill);
            sleep(random_millis(&mut rng, 50..250));
        }
    });
    assert_eq!(verdict.violations, [""; 0], "seed {seed}: {verdict:?}");
    assert!(
        verdict.checked > 200 && verdict.succeeded * 10 > verdict.checked,
        "seed {seed}: {verdict:?}"
    );
}

/// Injects a random fault. Ends it again unless it is a delay or a kill.
fn inject_fault(sites: &mut Sites, rng: &mut Rand64, may_kill: bool) {
    let duration = random_millis(rng, 5..350);
    match rng.rand_range(0..5) {
        0 => sites.proxy.disconnect(),
        1 => lose_bytes(sites, random_direction(rng), duration),
        2 => {
            sites.proxy.set_upstream(None);
            sites.proxy.disconnect();
            sleep(duration);
            sites.proxy.set_upstream(Some(sites.link_address));
        }
        3 => sites.proxy.set_delay(random_millis(rng, 0..20)),
        _ if may_kill => sites.gateway.signal("-KILL"),
        _ => {
            let bytes = usize::try_from(rng.rand_range(200..2_000)).unwrap();
            sites
                .proxy
                .disconnect_next_after(Direction::ToUpstream, bytes);
        }
    }
}

/// Drops the bytes of one direction for some time, then disconnects, as nothing valid can follow the gap in the stream.
fn lose_bytes(sites: &Sites, direction: Direction, duration: Duration) {
    sites.proxy.set_silent(direction, true);
    sleep(duration);
    sites.proxy.set_silent(direction, false);
    sites.proxy.disconnect();
}

fn random_direction(rng: &mut Rand64) -> Direction {
    match rng.rand_range(0..2) {
        0 => Direction::ToUpstream,
        _ => Direction::FromUpstream,
    }
}

fn random_millis(rng: &mut Rand64, range: Range<u64>) -> Duration {
    Duration::from_millis(rng.rand_range(range))
}

#[test]
fn every_query_completes_once_in_time_and_correctly_under_link_faults() {
    let threads: Vec<_> = (1..=4)
        .map(|seed| spawn(move || query_through_faults(seed)))
        .collect();
    threads
        .into_iter()
        .for_each(|thread| thread.join().unwrap());
}

/// Makes the gateway's service discovery report a new phase of a replica.
fn report_phase(sites: &Sites, revision: u64, replica: usize, phase: &str) {
    let changed = member(replica, sites.replicas[replica], phase);
    let update = membership(revision, false, vec![changed]);
    sites.gateway_discovery.answer_watch(&update);
}

#[test]
fn a_draining_remote_replica_receives_no_new_sub_requests() {
    let config = SitesConfig {
        service_time: Duration::ZERO,
        ..SitesConfig::default()
    };
    let mut sites = Sites::start(EXE, config);
    let mut verdict = QuerySummary::default();
    for _ in 0..20 {
        sites.query("find", &mut verdict, "before");
    }
    let preferred = if sites.received_by(0) > 0 { 0 } else { 1 };
    assert!(sites.received_by(preferred) > 0);
    // The gateway notifies the local program of the drain over the link.
    report_phase(&sites, 2, preferred, "leaving");
    sites.local.wait_for_log("replicas behind links");
    let before = sites.received_by(preferred);
    for _ in 0..20 {
        sites.query("find", &mut verdict, "after");
    }
    let received = sites.received_by(preferred);
    assert_eq!(
        (received, verdict.succeeded, verdict.violations.len()),
        (before, 40, 0)
    );
    // The local program is also notified of the replica's removal and of its return.
    report_phase(&sites, 3, preferred, "left");
    sites.wait_for_remote_replicas(1);
    report_phase(&sites, 4, preferred, "active");
    sites.wait_for_remote_replicas(2);
    let queries = query_until_received(&mut sites, &mut verdict, preferred, before);
    assert!(sites.received_by(preferred) > before);
    assert_eq!(
        (verdict.succeeded, verdict.violations.len()),
        (40 + queries, 0)
    );
}

/// Sends at least 20 queries, and further ones until a replica has received more than `before` sub-requests, for 15 s
/// at most; returns the number of queries. If the replica's responses were the slower ones, it gets sub-requests again
/// only after the co-ordinator's next reset of its observations, within 10 s.
fn query_until_received(
    sites: &mut Sites,
    verdict: &mut QuerySummary,
    replica: usize,
    before: usize,
) -> usize {
    let (begin, mut queries) = (Instant::now(), 0);
    while queries < 20
        || sites.received_by(replica) == before && begin.elapsed() < Duration::from_secs(15)
    {
        sites.query("find", verdict, "back");
        queries += 1;
    }
    queries
}

#[test]
fn queries_still_succeed_when_one_of_two_gateways_to_the_same_replicas_is_killed() {
    let mut sites = Sites::start(
        EXE,
        SitesConfig {
            second_gateway: true,
            ..SitesConfig::default()
        },
    );
    let request_interval = Duration::from_millis(10);
    let load = SteadyLoad {
        tag: "two".to_owned(),
        indexes: vec!["order"],
        interval: request_interval,
        duration: Duration::from_secs(2),
    };
    let LoadReport {
        summary: verdict,
        results,
    } = query_during_fault(&mut sites, load, |sites| {
        sleep(Duration::from_millis(500));
        sites.gateway.signal("-KILL");
    });
    assert_eq!(verdict.violations, [""; 0], "{verdict:?}");
    let late: Vec<_> = results
        .iter()
        .filter(|result| result.scheduled_at > Duration::from_millis(1_000))
        .collect();
    let answered = late.iter().filter(|result| result.status == Some(200));
    assert!(
        late.len() > 50 && answered.count() * 10 >= late.len() * 9,
        "{verdict:?}"
    );
}
