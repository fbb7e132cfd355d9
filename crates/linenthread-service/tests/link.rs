//! The link between two sites on loopback: the real program at both ends and a proxy that injects faults.

use std::thread::sleep;
use std::time::{Duration, Instant};

use linenthread_fakes::proxy::Direction;
use linenthread_fakes::sites::{
    Sites, SitesConfig, Verdict, disconnect_everywhere, query_during_fault,
};
use linenthread_fakes::{member, membership};
use oorandom::Rand64;

const EXE: &str = env!("CARGO_BIN_EXE_linenthread");

#[test]
fn queries_cross_the_link_and_resume_after_a_disconnection() {
    let mut sites = Sites::start(EXE, SitesConfig::default());
    let mut verdict = Verdict::default();
    for _ in 0..3 {
        sites.query("find", &mut verdict, "whole");
        sites.query("order", &mut verdict, "whole");
        sites.reconnect();
    }
    assert_eq!((verdict.succeeded, &verdict.violations[..]), (6, &[][..]));
    // Without a link there is no replica to query: the response says so at once.
    sites.proxy.set_upstream(None);
    sites.proxy.disconnect();
    sites.local.wait_for_log("replicas behind links far=0");
    sites.query("order", &mut verdict, "no link");
    assert_eq!((verdict.rejected, &verdict.violations[..]), (1, &[][..]));
}

#[test]
fn a_once_only_sub_request_cut_at_any_byte_runs_at_most_once_and_is_reported_correctly() {
    for keep in [3_000, 10] {
        let verdict = disconnect_everywhere(EXE, Duration::from_millis(keep), 9, 4);
        assert_eq!(verdict.violations, [""; 0], "keep {keep}: {verdict:?}");
        // The number of bytes depends on whether a heartbeat falls into the exchange.
        assert!(verdict.checked > 40 && verdict.succeeded > 0, "{verdict:?}");
    }
}

/// Disconnections, lost bytes, delays and a gateway that is killed for good, by seed.
fn through_troubles(seed: u64) {
    let mut sites = Sites::start(
        EXE,
        SitesConfig {
            service_time: Duration::from_millis(10),
            second_gateway: seed.is_multiple_of(2),
            ..SitesConfig::default()
        },
    );
    let mut chance = Rand64::new(u128::from(seed));
    let every = Duration::from_millis(15);
    let lasting = Duration::from_secs(4);
    let indexes = ["order", "find", "order"];
    let (verdict, _) = query_during_fault(
        &mut sites,
        &format!("t{seed}"),
        &indexes,
        every,
        lasting,
        |sites| {
            for turn in 0..8 {
                let while_it_lasts = Duration::from_millis(chance.rand_range(5..350));
                match chance.rand_range(0..5) {
                    0 => sites.proxy.disconnect(),
                    1 => {
                        let way = [Direction::ToUpstream, Direction::FromUpstream]
                            [chance.rand_range(0..2) as usize];
                        sites.proxy.silence(way, true);
                        sleep(while_it_lasts);
                        sites.proxy.silence(way, false);
                        // The stream lacks the bytes that were dropped: nothing valid can follow on it.
                        sites.proxy.disconnect();
                    }
                    2 => {
                        sites.proxy.set_upstream(None);
                        sites.proxy.disconnect();
                        sleep(while_it_lasts);
                        sites.proxy.set_upstream(Some(sites.link_address));
                    }
                    3 => sites
                        .proxy
                        .set_delay(Duration::from_millis(chance.rand_range(0..20))),
                    _ if turn == 6 && seed.is_multiple_of(4) => sites.gateway.signal("-KILL"),
                    _ => sites.proxy.disconnect_next_after(
                        Direction::ToUpstream,
                        chance.rand_range(200..2_000) as usize,
                    ),
                }
                sleep(Duration::from_millis(chance.rand_range(50..250)));
            }
        },
    );
    assert_eq!(verdict.violations, [""; 0], "seed {seed}: {verdict:?}");
    assert!(
        verdict.checked > 200 && verdict.succeeded * 10 > verdict.checked,
        "seed {seed}: {verdict:?}"
    );
}

#[test]
fn every_query_ends_once_in_time_and_correctly_under_link_faults() {
    let threads: Vec<_> = (1..=4)
        .map(|seed| std::thread::spawn(move || through_troubles(seed)))
        .collect();
    threads
        .into_iter()
        .for_each(|thread| thread.join().unwrap());
}

#[test]
fn a_replica_that_drains_behind_the_link_gets_no_new_requests() {
    let mut sites = Sites::start(
        EXE,
        SitesConfig {
            service_time: Duration::ZERO,
            ..SitesConfig::default()
        },
    );
    let mut verdict = Verdict::default();
    for _ in 0..20 {
        sites.query("find", &mut verdict, "before");
    }
    let home = if sites.received_by(0) > 0 { 0 } else { 1 };
    assert!(sites.received_by(home) > 0);
    // The gateway's service discovery reports a drain; the local side is notified over the link.
    sites.gateway_discovery.answer_watch(&membership(
        2,
        false,
        vec![member(home, sites.replicas[home], "leaving")],
    ));
    sites.local.wait_for_log("replicas behind links");
    let before = sites.received_by(home);
    for _ in 0..20 {
        sites.query("find", &mut verdict, "after");
    }
    assert_eq!(
        (
            sites.received_by(home),
            verdict.succeeded,
            verdict.violations.len()
        ),
        (before, 40, 0)
    );
    // The same for its removal and its return.
    sites.gateway_discovery.answer_watch(&membership(
        3,
        false,
        vec![member(home, sites.replicas[home], "left")],
    ));
    sites.wait_for_remote_replicas(1);
    sites.gateway_discovery.answer_watch(&membership(
        4,
        false,
        vec![member(home, sites.replicas[home], "active")],
    ));
    sites.wait_for_remote_replicas(2);
    // Its responses may have been the slower ones: then sub-requests return to it with the next reset, after 10 s at most.
    let (begin, mut asked) = (Instant::now(), 40);
    while asked < 60
        || sites.received_by(home) == before && begin.elapsed() < Duration::from_secs(15)
    {
        sites.query("find", &mut verdict, "back");
        asked += 1;
    }
    assert!(sites.received_by(home) > before);
    assert_eq!((verdict.succeeded, verdict.violations.len()), (asked, 0));
}

#[test]
fn one_of_two_gateways_to_the_same_replicas_may_fail() {
    let mut sites = Sites::start(
        EXE,
        SitesConfig {
            second_gateway: true,
            ..SitesConfig::default()
        },
    );
    let every = Duration::from_millis(10);
    let (verdict, told) = query_during_fault(
        &mut sites,
        "two",
        &["order"],
        every,
        Duration::from_secs(2),
        |sites| {
            sleep(Duration::from_millis(500));
            sites.gateway.signal("-KILL");
        },
    );
    assert_eq!(verdict.violations, [""; 0], "{verdict:?}");
    let late = told
        .iter()
        .filter(|t| t.scheduled_at > Duration::from_millis(1_000));
    let answered = late.clone().filter(|t| t.status == Some(200)).count();
    assert!(
        late.clone().count() > 50 && answered * 10 >= late.count() * 9,
        "{verdict:?}"
    );
}
