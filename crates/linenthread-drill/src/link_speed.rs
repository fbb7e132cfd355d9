//! What a link costs, on loopback sockets with the real program at both ends.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

use linenthread_stand_ins::proxy::Way;
use linenthread_stand_ins::sites::{Sites, Terms, Told, Verdict, asked_through};
use linenthread_stand_ins::{Client, request_with};
use serde_json::Value;

/// Lookups asked one after another, each way.
const ALTERNATING: usize = 1_000;
/// How long parts are asked as fast as they come.
const BUSY: Duration = Duration::from_secs(3);
/// A once-only lookup is asked this often around a cut.
const EVERY: Duration = Duration::from_millis(10);

/// The operators' defaults, but for outcomes that are waited for longer than any cut, and slow replicas.
const SLOW: Terms = Terms {
    keep: 15_000,
    hold: 250,
    after: Duration::from_millis(40),
    second: false,
};

fn at(times: &mut [f64], share: f64) -> f64 {
    times.sort_by(f64::total_cmp);
    times[((times.len() - 1) as f64 * share) as usize]
}

fn ask(client: &mut Client, index: &str, id: &str) -> Option<u16> {
    client.ask(index, id, &[1]);
    client.answer().map(|(status, ..)| status)
}

/// Microseconds, asked in turn: straight at the gateway's own front, and across the link.
fn latency(sites: &Sites) {
    let mut times = [Vec::new(), Vec::new()];
    let mut clients = [&sites.far, &sites.near].map(linenthread_stand_ins::Service::connect);
    for n in 0..ALTERNATING {
        for (which, client) in clients.iter_mut().enumerate() {
            let begin = Instant::now();
            if ask(client, "find", &format!("lat{which}-{n}")) == Some(200) {
                times[which].push(begin.elapsed().as_secs_f64() * 1e6);
            }
        }
    }
    let [direct, across] = &mut times;
    println!(
        "latency of {ALTERNATING} lookups each, in turn: direct {:.0} us median, {:.0} us at 99%; across {:.0} and {:.0} us",
        at(direct, 0.5),
        at(direct, 0.99),
        at(across, 0.5),
        at(across, 0.99)
    );
}

/// Seconds of CPU that a process has taken.
fn cpu(id: u32) -> f64 {
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

/// Parts a second with so many out, and CPU a part.
fn throughput(address: SocketAddr, at_once: usize, processes: &[u32], what: &str) {
    let (done, over) = (AtomicUsize::new(0), AtomicBool::new(false));
    let before: Vec<f64> = processes.iter().map(|id| cpu(*id)).collect();
    let begin = Instant::now();
    scope(|threads| {
        for one in 0..at_once {
            let (done, over) = (&done, &over);
            threads.spawn(move || {
                let mut client = Client::connect(address);
                let mut n = 0;
                while !over.load(Ordering::Relaxed) {
                    n += 1;
                    match ask(&mut client, "find", &format!("{what}{at_once}-{one}-{n}")) {
                        Some(200) => drop(done.fetch_add(1, Ordering::Relaxed)),
                        Some(503) => sleep(Duration::from_millis(20)),
                        _ => client = Client::connect(address),
                    }
                }
            });
        }
        sleep(BUSY);
        over.store(true, Ordering::Relaxed);
    });
    let (took, done) = (
        begin.elapsed().as_secs_f64(),
        done.load(Ordering::Relaxed).max(1),
    );
    let spent: Vec<String> = processes
        .iter()
        .zip(before)
        .map(|(id, before)| format!("{:.0}", (cpu(*id) - before) * 1e6 / done as f64))
        .collect();
    println!(
        "{what}, {at_once} at once: {:.0} parts a second, CPU a part {} us",
        done as f64 / took,
        spent.join(" and ")
    );
}

/// When the first lookup was asked that was answered with the link whole again, in milliseconds after that.
fn again(told: &[Told], whole: Duration) -> i64 {
    let answered = told
        .iter()
        .filter(|t| t.status == Some(200) && t.due >= whole);
    answered
        .map(|t| (t.due - whole).as_millis() as i64)
        .min()
        .unwrap_or(-1)
}

fn tell(what: &str, verdict: &Verdict, again: i64) -> (usize, usize) {
    let Verdict {
        checked,
        answered,
        nacked,
        aborted,
        breaches,
    } = verdict;
    println!(
        "{what}: {checked} asked, {answered} answered, {nacked} nacked, {aborted} aborted, {} lost; whole again after {again} ms",
        checked - answered - nacked - aborted
    );
    breaches
        .iter()
        .take(5)
        .for_each(|why| println!("breach: {why}"));
    (*checked, breaches.len())
}

/// Once-only lookups asked steadily while the link is cut for so long.
fn cut(sites: &mut Sites, length: Duration, what: &str) -> (usize, usize) {
    let before = Duration::from_millis(500);
    let lasting = before + length + Duration::from_secs(3);
    let tag = format!("{what}{}", length.as_millis()).replace(' ', "-");
    let (verdict, told) = asked_through(sites, &tag, &["order"], EVERY, lasting, |sites| {
        sleep(before);
        sites.proxy.lead_to(None);
        sites.proxy.cut();
        sleep(length);
        sites.proxy.lead_to(Some(sites.links));
    });
    tell(
        &format!("{what}, cut for {} ms", length.as_millis()),
        &verdict,
        again(&told, before + length),
    )
}

/// Two gateways to the same replicas, and one is killed under load.
fn one_of_two(exe: &str) -> (usize, usize) {
    let mut sites = Sites::start(
        exe,
        Terms {
            second: true,
            ..SLOW
        },
    );
    let before = Duration::from_millis(1_000);
    let (verdict, told) =
        asked_through(&mut sites, "two", &["order"], EVERY, 4 * before, |sites| {
            sleep(before);
            sites.far.signal("-KILL");
        });
    let (early, late): (Vec<_>, Vec<_>) = told.iter().partition(|t| t.due < before);
    let share = |of: &[&Told]| {
        of.iter().filter(|t| t.status == Some(200)).count() as f64 / of.len().max(1) as f64
    };
    println!(
        "one of two gateways killed: {:.1}% answered before, {:.1}% after",
        100.0 * share(&early),
        100.0 * share(&late)
    );
    tell("one of two gateways killed", &verdict, again(&told, before))
}

/// Two links of which first the one and then the other is slow: the share of lookups that take no longer than on
/// the sound one, where the best is all of them.
fn of_the_best(exe: &str) -> (usize, usize) {
    let mut sites = Sites::start(
        exe,
        Terms {
            after: Duration::ZERO,
            second: true,
            ..SLOW
        },
    );
    let (slow, each) = (Duration::from_millis(20), Duration::from_secs(2));
    let (verdict, told) = asked_through(
        &mut sites,
        "best",
        &["find"],
        Duration::from_millis(5),
        3 * each,
        |sites| {
            sleep(each);
            sites.proxy.slow_by(slow);
            sleep(each);
            sites.proxy.slow_by(Duration::ZERO);
            sites
                .second
                .iter()
                .for_each(|second| second.proxy.slow_by(slow));
            sleep(each);
        },
    );
    for (n, what) in [
        "both sound",
        "the first slow by 20 ms each way",
        "the second slow",
    ]
    .into_iter()
    .enumerate()
    {
        let in_it = |t: &&Told| t.due >= each * n as u32 && t.due < each * (n as u32 + 1);
        let all = told.iter().filter(in_it).count();
        let quick = told
            .iter()
            .filter(in_it)
            .filter(|t| t.status == Some(200) && t.took < slow / 2)
            .count();
        println!(
            "two links, {what}: {:.1}% of {all} lookups within 10 ms",
            100.0 * quick as f64 / all.max(1) as f64
        );
    }
    (verdict.checked, verdict.breaches.len())
}

/// Megabytes that a process holds.
fn held(id: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|l| l.trim().trim_end_matches(" kB").parse::<f64>().ok())
        .unwrap_or_default()
        / 1024.0
}

/// Long lookups asked of a link that takes nothing any more.
fn stalled(exe: &str) {
    let sites = Sites::start(
        exe,
        Terms {
            after: Duration::ZERO,
            ..SLOW
        },
    );
    let near = sites.near.child.id();
    let before = held(near);
    sites.proxy.silence(Way::There, true);
    let (most, over) = (std::sync::Mutex::new(0.0_f64), AtomicBool::new(false));
    scope(|threads| {
        for one in 0..100 {
            let (over, address) = (&over, sites.near.address);
            threads.spawn(move || {
                let text = "x".repeat(50_000);
                let mut n = 0;
                while !over.load(Ordering::Relaxed) {
                    n += 1;
                    let mut client = Client::connect(address);
                    client.send(&request_with(
                        "find",
                        &format!("st{one}-{n}"),
                        &[1],
                        &text,
                        &Value::Null,
                    ));
                    client.answer();
                }
            });
        }
        for _ in 0..30 {
            sleep(Duration::from_millis(100));
            let mut most = most.lock().expect("not poisoned");
            *most = most.max(held(near));
        }
        over.store(true, Ordering::Relaxed);
    });
    let most = most.into_inner().unwrap_or_default();
    println!(
        "stalled link, 100 clients with 50 kB each: {before:.0} MB before, {most:.0} MB at the most"
    );
}

pub(crate) fn run(exe: &str) -> (usize, usize) {
    let sites = Sites::start(
        exe,
        Terms {
            after: Duration::ZERO,
            ..SLOW
        },
    );
    latency(&sites);
    let (near, far) = (sites.near.child.id(), sites.far.child.id());
    for at_once in [1, 10, 100, 1_000] {
        throughput(sites.far.address, at_once, &[far], "direct");
        throughput(sites.near.address, at_once, &[near, far], "across");
    }
    stalled(exe);
    let (mut checked, mut breaches) = (0, 0);
    for (keep, what) in [(15_000, "resumed"), (10, "not resumed")] {
        let mut sites = Sites::start(exe, Terms { keep, ..SLOW });
        for ms in [50, 200, 1_000, 5_000, 10_000] {
            let (n, b) = cut(&mut sites, Duration::from_millis(ms), what);
            (checked, breaches) = (checked + n, breaches + b);
        }
    }
    for (n, b) in [one_of_two(exe), of_the_best(exe)] {
        (checked, breaches) = (checked + n, breaches + b);
    }
    (checked, breaches)
}
