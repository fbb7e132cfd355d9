//! Two sites on loopback with the real program at both: a co-ordinator without replicas of its own, and a
//! gateway that has all of them, with a link between that can be cut. What truly ran is on record.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::Duration;

use crate::proxy::{Proxy, Way};
use crate::{Class, Fleet, Roster, Service, config_of, entry, list};

const SECRET: &str = "a secret between two sites\n";
const REPLICAS: usize = 2;

pub struct Sites {
    pub near: Service,
    pub far: Service,
    pub proxy: Proxy,
    /// Where the gateway takes links.
    pub links: SocketAddr,
    /// How many times each part was taken by a replica, by its id.
    ran: Arc<Mutex<BTreeMap<String, usize>>>,
    /// Replicas behind the link, as the near side last said.
    behind: usize,
    asked: usize,
    _rosters: (Roster, Roster),
}

/// What became of the lookups of a run.
#[derive(Debug, Default, PartialEq)]
pub struct Verdict {
    pub checked: usize,
    pub answered: usize,
    pub nacked: usize,
    pub aborted: usize,
    pub breaches: Vec<String>,
}

impl Sites {
    /// `keep` is how long the near side waits for outcomes after the link is lost, in milliseconds; replicas
    /// answer after a while.
    pub fn start(exe: &str, keep: u64, after: Duration) -> Sites {
        let fleet = Fleet::start(REPLICAS);
        let addresses = fleet.addresses.clone();
        let ran: Arc<Mutex<BTreeMap<String, usize>>> = Arc::default();
        let record = ran.clone();
        spawn(move || {
            while let Some(part) = fleet.next() {
                *record.lock().unwrap().entry(part.id.clone()).or_default() += 1;
                spawn(move || {
                    sleep(after);
                    let rest = format!("{} hit 17 queue=0\nv", part.id);
                    part.bytes(&[&(rest.len() as u32 + 1).to_be_bytes()[..], b"E", rest.as_bytes()].concat());
                });
            }
        });
        let class = |name, once_only| Class { name, once_only, soft_ms: 1_500, floor: 1.0 };
        let classes = [class("find", false), class("order", true)];
        let entries = addresses.iter().enumerate().map(|(i, a)| entry(i, *a, "active"));
        let (all, none) = (list(1, true, entries.collect()), list(1, true, Vec::new()));
        let (far_roster, near_roster) = (Roster::start(all.clone()), Roster::start(none.clone()));
        let folder = |own: &str| {
            let folder = tempfile::tempdir().unwrap();
            std::fs::write(folder.path().join("link.key"), SECRET).unwrap();
            let text = format!("<installation version=\"1\">{own}</installation>");
            std::fs::write(folder.path().join("installation.xml"), text).unwrap();
            folder
        };
        let words = ["--installation", "installation.xml"];
        // A port that was free a moment ago.
        let links = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        let gateway = format!("<gateway listen=\"{links}\" secret=\"link.key\"/>");
        let config = config_of(far_roster.address, &all, &classes, REPLICAS, 4);
        let far = Service::start_in(folder(&gateway), exe, &config, &words);
        let proxy = Proxy::start(links);
        let peer = format!(
            "<peers><peer name=\"far\" address=\"{}\" secret=\"link.key\" keep=\"{keep}\" beat=\"100\"/></peers>",
            proxy.address
        );
        let config = config_of(near_roster.address, &none, &classes, REPLICAS, 4);
        let near = Service::start_in(folder(&peer), exe, &config, &words);
        let rosters = (far_roster, near_roster);
        let mut sites = Sites { near, far, proxy, links, ran, behind: 0, asked: 0, _rosters: rosters };
        sites.until(REPLICAS);
        sites
    }

    /// Waits until the near side knows so many replicas behind the link.
    fn until(&mut self, behind: usize) {
        while self.behind != behind {
            let line = self.near.line().expect("the link comes up again");
            if let Some(said) = line.split("replicas behind links far=").nth(1) {
                self.behind = said.trim().parse().unwrap();
            }
        }
    }

    /// Has the link begin anew, and waits until it is up.
    pub fn begin_anew(&mut self) {
        self.until(REPLICAS);
        self.proxy.cut();
        self.until(0);
        self.until(REPLICAS);
    }

    /// How many times each part was taken by a replica, by its id.
    pub fn ran(&self) -> BTreeMap<String, usize> {
        self.ran.lock().unwrap().clone()
    }

    /// Asks a lookup of one part, and holds its answer to what ran.
    pub fn ask(&mut self, index: &str, verdict: &mut Verdict, what: &str) {
        self.asked += 1;
        let id = format!("{index}{}", self.asked);
        let answer = self.near.ask(index, &id, &[1]).answer().map(|(status, ..)| status);
        let part = format!("{id}.1");
        let ran = || self.ran.lock().unwrap().get(&part).copied().unwrap_or_default();
        verdict.checked += 1;
        let wrong = match answer {
            Some(200) => {
                verdict.answered += 1;
                (ran() == 0).then_some("answered, and did not run")
            }
            Some(503) => {
                verdict.nacked += 1;
                // What is on its way comes at last.
                sleep(Duration::from_millis(30));
                (index == "order" && ran() > 0).then_some("nacked, and ran")
            }
            Some(502) => {
                verdict.aborted += 1;
                None
            }
            _ => Some("no final answer"),
        };
        let twice = (index == "order" && ran() > 1).then_some("ran twice");
        for why in wrong.into_iter().chain(twice) {
            verdict.breaches.push(format!("{what}: {id} {why} (answer {answer:?}, ran {})", ran()));
        }
    }

    /// How many bytes one whole exchange takes, from the connection on, there and back.
    pub fn exchange(&mut self) -> [usize; 2] {
        self.begin_anew();
        self.ask("order", &mut Verdict::default(), "whole");
        self.proxy.crossed()
    }

    /// A once-only lookup with the link cut after each of these bytes, that way.
    pub fn cut_at(&mut self, way: Way, bytes: impl Iterator<Item = usize>, verdict: &mut Verdict) {
        for after in bytes {
            self.proxy.cut_next(way, after);
            self.begin_anew();
            self.ask("order", verdict, &format!("cut {way:?} after {after} bytes"));
        }
        // Whatever came late is there by now.
        sleep(Duration::from_millis(100));
        let ran = self.ran.lock().unwrap();
        let twice = ran.iter().filter(|(id, n)| id.starts_with("order") && **n > 1);
        verdict.breaches.extend(twice.map(|(id, n)| format!("{id} ran {n} times")));
    }
}

/// Cuts a once-only exchange after every so manieth byte both ways, with several pairs of sites at once.
pub fn cut_everywhere(exe: &str, keep: u64, step: usize, at_once: usize) -> Verdict {
    let [there, back] = Sites::start(exe, keep, Duration::from_millis(3)).exchange();
    // A cut beyond the exchange meets the beats after it, which is no cut of the exchange.
    let all: Vec<(Way, usize)> = (0..=there)
        .map(|n| (Way::There, n))
        .chain((0..=back).map(|n| (Way::Back, n)))
        .step_by(step.max(1))
        .collect();
    let threads: Vec<_> = all
        .chunks(all.len().div_ceil(at_once.max(1)))
        .map(|cuts| {
            let (cuts, exe) = (cuts.to_vec(), exe.to_owned());
            spawn(move || {
                let mut sites = Sites::start(&exe, keep, Duration::from_millis(3));
                let mut verdict = Verdict::default();
                for (way, after) in cuts {
                    sites.cut_at(way, std::iter::once(after), &mut verdict);
                }
                verdict
            })
        })
        .collect();
    let mut sum = Verdict::default();
    for thread in threads {
        let one = thread.join().expect("its sites stood");
        sum.checked += one.checked;
        sum.answered += one.answered;
        sum.nacked += one.nacked;
        sum.aborted += one.aborted;
        sum.breaches.extend(one.breaches);
    }
    sum
}
