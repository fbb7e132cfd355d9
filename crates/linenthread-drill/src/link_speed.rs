//! What a link costs, on loopback sockets with the real program at both ends.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::thread::{scope, sleep, spawn};
use std::time::{Duration, Instant};

use linenthread_stand_ins::Client;
use linenthread_stand_ins::sites::Sites;

/// Lookups asked one after another, each way.
const ALTERNATING: usize = 1_000;
/// How long parts are asked as fast as they come.
const BUSY: Duration = Duration::from_secs(3);
/// A once-only lookup is asked this often around a cut.
const EVERY: Duration = Duration::from_millis(10);

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
    let mut clients = [&sites.far, &sites.near].map(|service| service.connect());
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
    let fields: Vec<&str> = stat.rsplit(") ").next().unwrap_or_default().split(' ').collect();
    let ticks = |at: usize| fields.get(at).and_then(|f| f.parse::<f64>().ok()).unwrap_or_default();
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
    let (took, done) = (begin.elapsed().as_secs_f64(), done.load(Ordering::Relaxed).max(1));
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

/// Once-only lookups asked steadily while the link is cut for so long.
fn cut(sites: &mut Sites, length: Duration, what: &str) -> (usize, usize) {
    let (to, answers) = channel();
    let near = sites.near.address;
    let (before, after) = (Duration::from_millis(500), Duration::from_secs(3));
    let begin = Instant::now();
    let all = ((before + length + after).as_millis() / EVERY.as_millis()) as usize;
    let tag = format!("{what}{}", length.as_millis());
    let asker = spawn(move || {
        for n in 0..all {
            let due = begin + EVERY * n as u32;
            sleep(due.saturating_duration_since(Instant::now()));
            let (to, id) = (to.clone(), format!("{tag}-{n}"));
            spawn(move || to.send((id.clone(), due - begin, ask(&mut Client::connect(near), "order", &id))));
        }
    });
    sleep(before);
    sites.proxy.lead_to(None);
    sites.proxy.cut();
    sleep(length);
    sites.proxy.lead_to(Some(sites.links));
    let whole = before + length;
    asker.join().ok();
    let answers: Vec<_> = answers.iter().collect();
    let ran = sites.ran();
    let count = |status: Option<u16>| answers.iter().filter(|(_, _, s)| *s == status).count();
    let again = answers
        .iter()
        .filter(|(_, due, status)| *due >= whole && *status == Some(200))
        .map(|(_, due, _)| *due - whole)
        .min();
    let (lost, aborted) = (count(None), count(Some(502)));
    let breach = |id: &str, status: Option<u16>| {
        let n = ran.get(&format!("{id}.1")).copied().unwrap_or_default();
        n > 1 || status == Some(503) && n > 0
    };
    let breaches = answers.iter().filter(|(id, _, status)| breach(id, *status)).count() + lost;
    println!(
        "{what}, cut for {} ms: {} asked, {} answered, {} nacked, {aborted} aborted, {lost} lost; whole again after {} ms",
        length.as_millis(),
        answers.len(),
        count(Some(200)),
        count(Some(503)),
        again.map_or(-1, |again| again.as_millis() as i64)
    );
    (answers.len(), breaches)
}

pub fn run(exe: &str) -> (usize, usize) {
    let sites = Sites::start(exe, 3_000, Duration::ZERO);
    latency(&sites);
    let (near, far) = (sites.near.child.id(), sites.far.child.id());
    for at_once in [1, 10, 100] {
        throughput(sites.far.address, at_once, &[far], "direct");
        throughput(sites.near.address, at_once, &[near, far], "across");
    }
    let (mut checked, mut breaches) = (0, 0);
    for (keep, what) in [(15_000, "resumed"), (10, "not resumed")] {
        let mut sites = Sites::start(exe, keep, Duration::from_millis(40));
        for ms in [50, 200, 1_000, 5_000, 10_000] {
            let (n, b) = cut(&mut sites, Duration::from_millis(ms), what);
            (checked, breaches) = (checked + n, breaches + b);
        }
    }
    (checked, breaches)
}
