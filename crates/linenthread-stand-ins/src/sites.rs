//! Two sites on loopback with the real program at both: a co-ordinator without replicas of its own, and a
//! gateway that has all of them, with a link between that can be cut. What truly ran is on record.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::proxy::{Proxy, Way};
use crate::{Class, Client, Fleet, Roster, Service, config_of, entry, list};

const SECRET: &str = "a secret between two sites\n";
const REPLICAS: usize = 2;
/// Room for a thousand clients at once.
const SOCKETS: usize = 4_096;
const SOFT: Duration = Duration::from_millis(1_500);
/// A machine that is busy may answer so much later.
const SLACK: Duration = Duration::from_millis(1_500);

/// One more gateway to the same replicas.
pub struct Second {
    pub far: Service,
    pub proxy: Proxy,
    _roster: Roster,
}

/// How two sites are set up.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// Milliseconds for which the near side waits for outcomes after the link is lost.
    pub keep: u64,
    /// Milliseconds for which a lost link is not yet said to be down.
    pub hold: u64,
    /// Replicas answer after so long.
    pub after: Duration,
    /// There is a second gateway to the same replicas, over a link of its own.
    pub second: bool,
}

impl Default for Terms {
    fn default() -> Self {
        Terms {
            keep: 3_000,
            hold: 50,
            after: Duration::from_millis(3),
            second: false,
        }
    }
}

pub struct Sites {
    pub near: Service,
    pub far: Service,
    pub proxy: Proxy,
    /// Where the gateway takes links.
    pub links: SocketAddr,
    pub second: Option<Second>,
    /// Where the replicas are.
    pub replicas: Vec<SocketAddr>,
    /// The gateway's roster.
    pub far_roster: Roster,
    /// Parts that a replica has taken, by id, and which.
    ran: Arc<Mutex<Vec<(String, usize)>>>,
    /// Replicas behind the link, as the near side last said.
    behind: usize,
    asked: usize,
    _near_roster: Roster,
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

/// A loopback address by process and call: hardly any other process, and no recent call here, has it.
pub(crate) fn own_loopback() -> Ipv4Addr {
    static GIVEN: AtomicU8 = AtomicU8::new(2);
    let [.., middle, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(
        127,
        middle,
        low,
        GIVEN.fetch_add(1, Ordering::Relaxed).max(2),
    )
}

impl Sites {
    pub fn start(exe: &str, terms: Terms) -> Sites {
        let Terms {
            keep,
            hold,
            after,
            second,
        } = terms;
        let fleet = Fleet::start(REPLICAS);
        let addresses = fleet.addresses.clone();
        let ran: Arc<Mutex<Vec<(String, usize)>>> = Arc::default();
        let record = ran.clone();
        spawn(move || {
            while let Some(part) = fleet.next() {
                record.lock().unwrap().push((part.id.clone(), part.replica));
                spawn(move || {
                    sleep(after);
                    let rest = format!("{} hit 17 queue=0\nv", part.id);
                    part.bytes(
                        &[
                            &(rest.len() as u32 + 1).to_be_bytes()[..],
                            b"E",
                            rest.as_bytes(),
                        ]
                        .concat(),
                    );
                });
            }
        });
        let class = |name, once_only| Class {
            name,
            once_only,
            soft_ms: SOFT.as_millis() as u64,
            floor: 1.0,
        };
        let classes = [class("find", false), class("order", true)];
        let entries = addresses
            .iter()
            .enumerate()
            .map(|(i, a)| entry(i, *a, "active"));
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
        let gateway = |roster: &Roster| {
            // A port that was free a moment ago, on an address that nothing else here binds: on 127.0.0.1 any
            // connection of another test may have taken it meanwhile, and the gateway fails to start.
            let links = TcpListener::bind((own_loopback(), 0))
                .unwrap()
                .local_addr()
                .unwrap();
            let own = format!("<gateway listen=\"{links}\" secret=\"link.key\"/>");
            let mut config = config_of(roster.address, &all, &classes, REPLICAS, 4);
            config["limits"]["sockets"] = SOCKETS.into();
            let far = Service::start_in(folder(&own), exe, &config, &words);
            (far, Proxy::start(links), links)
        };
        let (far, proxy, links) = gateway(&far_roster);
        let second = second.then(|| {
            let roster = Roster::start(all.clone());
            let (far, proxy, _) = gateway(&roster);
            Second {
                far,
                proxy,
                _roster: roster,
            }
        });
        let proxies = [Some(&proxy), second.as_ref().map(|s| &s.proxy)];
        let peer = |(n, proxy): (usize, &Proxy)| {
            format!(
                "<peer name=\"far{n}\" address=\"{}\" secret=\"link.key\" keep=\"{keep}\" beat=\"100\" hold=\"{hold}\"/>",
                proxy.address
            )
        };
        let peers: String = proxies
            .into_iter()
            .flatten()
            .enumerate()
            .map(peer)
            .collect();
        let mut config = config_of(near_roster.address, &none, &classes, REPLICAS, 4);
        config["limits"]["sockets"] = SOCKETS.into();
        let near = Service::start_in(
            folder(&format!("<peers>{peers}</peers>")),
            exe,
            &config,
            &words,
        );
        let mut sites = Sites {
            near,
            far,
            proxy,
            links,
            second,
            replicas: addresses,
            far_roster,
            ran,
            behind: 0,
            asked: 0,
            _near_roster: near_roster,
        };
        sites.until(REPLICAS);
        sites
    }

    /// Waits until the near side knows so many replicas behind the link.
    pub fn until(&mut self, behind: usize) {
        while self.behind != behind {
            let line = self.near.line().expect("the link comes up again");
            if let Some(said) = line.split("replicas behind links far=").nth(1) {
                self.behind = said.trim().parse().unwrap();
            }
        }
    }

    /// Has the link begin anew, and waits until it is up: long enough down for that to be seen.
    pub fn begin_anew(&mut self) {
        self.until(REPLICAS);
        self.proxy.lead_to(None);
        self.proxy.cut();
        self.until(0);
        self.proxy.lead_to(Some(self.links));
        self.until(REPLICAS);
    }

    /// How many times each part was taken by a replica, by its id.
    pub fn ran(&self) -> BTreeMap<String, usize> {
        let mut ran = BTreeMap::new();
        self.ran
            .lock()
            .unwrap()
            .iter()
            .for_each(|(id, _)| *ran.entry(id.clone()).or_default() += 1);
        ran
    }

    /// Parts that a replica has taken.
    pub fn taken_by(&self, replica: usize) -> usize {
        self.ran
            .lock()
            .unwrap()
            .iter()
            .filter(|(_, r)| *r == replica)
            .count()
    }

    /// Asks a lookup of one part, and holds its answer to what ran.
    pub fn ask(&mut self, index: &str, verdict: &mut Verdict, what: &str) {
        self.asked += 1;
        let id = format!("{index}{}", self.asked);
        let answer = self
            .near
            .ask(index, &id, &[1])
            .answer()
            .map(|(status, ..)| status);
        let part = format!("{id}.1");
        let ran = || {
            self.ran
                .lock()
                .unwrap()
                .iter()
                .filter(|(id, _)| *id == part)
                .count()
        };
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
            verdict.breaches.push(format!(
                "{what}: {id} {why} (answer {answer:?}, ran {})",
                ran()
            ));
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
            self.ask(
                "order",
                verdict,
                &format!("cut {way:?} after {after} bytes"),
            );
        }
        // Whatever came late is there by now.
        sleep(Duration::from_millis(100));
        let ran = self.ran();
        let twice = ran
            .iter()
            .filter(|(id, n)| id.starts_with("order") && **n > 1);
        verdict
            .breaches
            .extend(twice.map(|(id, n)| format!("{id} ran {n} times")));
    }
}

/// Lookups asked steadily while `trouble` does what it likes to the link, each held to what ran and to its
/// time. The indexes take turns.
pub fn asked_through(
    sites: &mut Sites,
    tag: &str,
    indexes: &[&'static str],
    every: Duration,
    lasting: Duration,
    trouble: impl FnOnce(&mut Sites),
) -> (Verdict, Vec<Told>) {
    let (to, answers) = channel();
    let (near, begin) = (sites.near.address, Instant::now());
    let all = (lasting.as_millis() / every.as_millis().max(1)) as usize;
    let (tag, indexes) = (tag.to_owned(), indexes.to_vec());
    let asker = spawn(move || {
        for n in 0..all {
            let due = every * n as u32;
            sleep((begin + due).saturating_duration_since(Instant::now()));
            let (to, id, index) = (to.clone(), format!("{tag}-{n}"), indexes[n % indexes.len()]);
            spawn(move || {
                let mut client = Client::connect(near);
                client.ask(index, &id, &[1]);
                let status = client.answer().map(|(status, ..)| status);
                to.send(Told {
                    id,
                    index,
                    due,
                    status,
                    took: begin.elapsed().saturating_sub(due),
                })
            });
        }
    });
    trouble(sites);
    asker.join().expect("it asks on");
    let told: Vec<Told> = answers.iter().collect();
    // What came late to a replica is there by now.
    sleep(Duration::from_millis(200));
    let ran = sites.ran();
    let mut verdict = Verdict {
        checked: told.len(),
        ..Verdict::default()
    };
    for Told {
        id,
        index,
        status,
        took,
        ..
    } in &told
    {
        let n = ran.get(&format!("{id}.1")).copied().unwrap_or_default();
        match status {
            Some(200) => verdict.answered += 1,
            Some(503) => verdict.nacked += 1,
            Some(502) => verdict.aborted += 1,
            _ => {}
        }
        let once_only = *index == "order";
        let wrong = match status {
            Some(200) if n == 0 => Some("answered, and did not run"),
            Some(503) if once_only && n > 0 => Some("nacked, and ran"),
            Some(200 | 502 | 503) if once_only && n > 1 => Some("ran twice"),
            Some(200 | 502 | 503) if *took > SOFT + SLACK => Some("answered late"),
            Some(200 | 502 | 503) => None,
            _ => Some("no final answer"),
        };
        verdict.breaches.extend(
            wrong.map(|why| format!("{id} ({index}) {why}: {status:?}, ran {n}, {took:?}")),
        );
    }
    (verdict, told)
}

/// One lookup's answer.
#[derive(Clone, Debug)]
pub struct Told {
    pub id: String,
    pub index: &'static str,
    /// When it was to be asked, from the beginning.
    pub due: Duration,
    pub status: Option<u16>,
    /// Counted from then.
    pub took: Duration,
}

/// Cuts a once-only exchange after every so manieth byte both ways, with several pairs of sites at once.
pub fn cut_everywhere(exe: &str, keep: u64, step: usize, at_once: usize) -> Verdict {
    // Without resume a short flap is to be seen as well.
    let terms = Terms {
        keep,
        hold: if keep < 100 { 10 } else { 50 },
        ..Terms::default()
    };
    let [there, back] = Sites::start(exe, terms).exchange();
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
                let mut sites = Sites::start(&exe, terms);
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
