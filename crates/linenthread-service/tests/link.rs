//! The link between two sites on loopback: the real program at both ends and a proxy that injects faults.

use std::thread::sleep;
use std::time::{Duration, Instant};

use linenthread_stand_ins::proxy::Way;
use linenthread_stand_ins::sites::{Sites, Terms, Verdict, asked_through, cut_everywhere};
use linenthread_stand_ins::{entry, list};
use oorandom::Rand64;

const EXE: &str = env!("CARGO_BIN_EXE_linenthread");

#[test]
fn queries_cross_the_link_and_resume_after_a_disconnection() {
    let mut sites = Sites::start(EXE, Terms::default());
    let mut verdict = Verdict::default();
    for _ in 0..3 {
        sites.ask("find", &mut verdict, "whole");
        sites.ask("order", &mut verdict, "whole");
        sites.begin_anew();
    }
    assert_eq!((verdict.answered, &verdict.breaches[..]), (6, &[][..]));
    // Without a link there is no replica to query: the response says so at once.
    sites.proxy.lead_to(None);
    sites.proxy.cut();
    sites.near.logged("replicas behind links far=0");
    sites.ask("order", &mut verdict, "no link");
    assert_eq!((verdict.nacked, &verdict.breaches[..]), (1, &[][..]));
}

#[test]
fn a_once_only_sub_request_cut_at_any_byte_runs_at_most_once_and_is_reported_correctly() {
    for keep in [3_000, 10] {
        let verdict = cut_everywhere(EXE, keep, 9, 4);
        assert_eq!(verdict.breaches, [""; 0], "keep {keep}: {verdict:?}");
        // The number of bytes depends on whether a heartbeat falls into the exchange.
        assert!(verdict.checked > 40 && verdict.answered > 0, "{verdict:?}");
    }
}

/// Disconnections, lost bytes, delays and a gateway that is killed for good, by seed.
fn through_troubles(seed: u64) {
    let mut sites = Sites::start(
        EXE,
        Terms {
            after: Duration::from_millis(10),
            second: seed.is_multiple_of(2),
            ..Terms::default()
        },
    );
    let mut chance = Rand64::new(u128::from(seed));
    let every = Duration::from_millis(15);
    let lasting = Duration::from_secs(4);
    let indexes = ["order", "find", "order"];
    let (verdict, _) = asked_through(
        &mut sites,
        &format!("t{seed}"),
        &indexes,
        every,
        lasting,
        |sites| {
            for turn in 0..8 {
                let while_it_lasts = Duration::from_millis(chance.rand_range(5..350));
                match chance.rand_range(0..5) {
                    0 => sites.proxy.cut(),
                    1 => {
                        let way = [Way::There, Way::Back][chance.rand_range(0..2) as usize];
                        sites.proxy.silence(way, true);
                        sleep(while_it_lasts);
                        sites.proxy.silence(way, false);
                        // The stream lacks the bytes that were dropped: nothing valid can follow on it.
                        sites.proxy.cut();
                    }
                    2 => {
                        sites.proxy.lead_to(None);
                        sites.proxy.cut();
                        sleep(while_it_lasts);
                        sites.proxy.lead_to(Some(sites.links));
                    }
                    3 => sites
                        .proxy
                        .slow_by(Duration::from_millis(chance.rand_range(0..20))),
                    _ if turn == 6 && seed.is_multiple_of(4) => sites.far.signal("-KILL"),
                    _ => sites
                        .proxy
                        .cut_next(Way::There, chance.rand_range(200..2_000) as usize),
                }
                sleep(Duration::from_millis(chance.rand_range(50..250)));
            }
        },
    );
    assert_eq!(verdict.breaches, [""; 0], "seed {seed}: {verdict:?}");
    assert!(
        verdict.checked > 200 && verdict.answered * 10 > verdict.checked,
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
        Terms {
            after: Duration::ZERO,
            ..Terms::default()
        },
    );
    let mut verdict = Verdict::default();
    for _ in 0..20 {
        sites.ask("find", &mut verdict, "before");
    }
    let home = if sites.taken_by(0) > 0 { 0 } else { 1 };
    assert!(sites.taken_by(home) > 0);
    // The gateway's service discovery reports a drain; the local side is notified over the link.
    sites.far_roster.tell(&list(
        2,
        false,
        vec![entry(home, sites.replicas[home], "leaving")],
    ));
    sites.near.logged("replicas behind links");
    let before = sites.taken_by(home);
    for _ in 0..20 {
        sites.ask("find", &mut verdict, "after");
    }
    assert_eq!(
        (
            sites.taken_by(home),
            verdict.answered,
            verdict.breaches.len()
        ),
        (before, 40, 0)
    );
    // The same for its removal and its return.
    sites.far_roster.tell(&list(
        3,
        false,
        vec![entry(home, sites.replicas[home], "left")],
    ));
    sites.until(1);
    sites.far_roster.tell(&list(
        4,
        false,
        vec![entry(home, sites.replicas[home], "active")],
    ));
    sites.until(2);
    // Its responses may have been the slower ones: then sub-requests return to it with the next reset, after 10 s at most.
    let (begin, mut asked) = (Instant::now(), 40);
    while asked < 60 || sites.taken_by(home) == before && begin.elapsed() < Duration::from_secs(15)
    {
        sites.ask("find", &mut verdict, "back");
        asked += 1;
    }
    assert!(sites.taken_by(home) > before);
    assert_eq!((verdict.answered, verdict.breaches.len()), (asked, 0));
}

#[test]
fn one_of_two_gateways_to_the_same_replicas_may_fail() {
    let mut sites = Sites::start(
        EXE,
        Terms {
            second: true,
            ..Terms::default()
        },
    );
    let every = Duration::from_millis(10);
    let (verdict, told) = asked_through(
        &mut sites,
        "two",
        &["order"],
        every,
        Duration::from_secs(2),
        |sites| {
            sleep(Duration::from_millis(500));
            sites.far.signal("-KILL");
        },
    );
    assert_eq!(verdict.breaches, [""; 0], "{verdict:?}");
    let late = told.iter().filter(|t| t.due > Duration::from_millis(1_000));
    let answered = late.clone().filter(|t| t.status == Some(200)).count();
    assert!(
        late.clone().count() > 50 && answered * 10 >= late.count() * 9,
        "{verdict:?}"
    );
}
