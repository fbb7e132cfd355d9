//! Plays the scenarios beside this file. A scenario is a list of statements, one a line or parted by `;`:
//!
//! - `with soft 500 late 0.3 floor 0.8 step 2 runs once ...` sets things up, `index` adds a second index;
//! - `list a:0 b:1/draining`, `change a:0 draining`, `change a:0 ready 500 0.1` (started then, with that share
//!   of its cold budget), `remember a:0`,
//!   `unheard`; `change c=a:0 ready` lists c under the index that a had;
//! - `lookup L key 7 hard 4000 shards 0 1`, `more L 0 1` (a second step), `lapsed L`;
//! - `table 0/1000 1/500 1/0` is a table: by site (a's, b's, c's), how near it is and to how many keys of a
//!   thousand it is open; `table` alone ends it;
//! - `onward L.0` asks an answered part once more;
//! - `L.0 errored` ends the oldest call out of a part, `L.0#1 answered` a certain one;
//! - `serve 100 a b` answers all calls to these after 100 ms, `serve errored a` fails them, `serve never a`
//!   hangs, `probed a answered 3` is a probe's return, with the parts it tells are waiting;
//! - `at 300` runs rounds up to that time, `stream 50 300 shards 0` also starts a lookup every 50 ms;
//! - `expect call L.0 $x` takes a decision off the log; `never`, `most 3`, `least 3` count what matches;
//!   `*` stands for any word, `$x` for the word that it first met; `forget` empties the log.

use std::collections::HashMap;
use std::fs;
use std::path::Path;

use linenthread_core::interface::*;
use linenthread_core::{Coordinator, DecisionSink};

type Res<T> = Result<T, String>;

#[derive(Default)]
struct Log {
    lines: Vec<Vec<String>>,
    calls: Vec<(usize, usize, usize)>,
    names: Vec<String>,
    replicas: Vec<String>,
}

impl Log {
    fn add(&mut self, line: String) {
        self.lines
            .push(line.split(' ').map(str::to_string).collect());
    }
}

impl DecisionSink for Log {
    fn send(&mut self, lookup: usize, part: usize, replica: usize, time_out: TenthMillis) {
        assert!(time_out > 0);
        self.add(format!(
            "call {}.{part} {}",
            self.names[lookup], self.replicas[replica]
        ));
        self.calls.push((lookup, part, replica));
    }
    fn cancel(&mut self, lookup: usize, part: usize, call: usize) {
        self.add(format!("withdraw {}.{part}#{call}", self.names[lookup]));
    }
    fn respond(&mut self, lookup: usize, whole: bool) {
        self.add(format!(
            "{} {}",
            if whole { "whole" } else { "partial" },
            self.names[lookup]
        ));
    }
    fn reject(&mut self, lookup: usize, retry_after: Option<TenthMillis>) {
        let advice = retry_after.map_or("unadvised", |_| "advised");
        self.add(format!("nack {} {advice}", self.names[lookup]));
    }
    fn fail(&mut self, lookup: usize) {
        self.add(format!("abort {}", self.names[lookup]));
    }
    fn release(&mut self, lookup: usize) {
        self.add(format!("release {}", self.names[lookup]));
    }
    fn probe(&mut self, replica: usize) {
        self.add(format!("probe {}", self.replicas[replica]));
    }
    fn close_idle(&mut self, replica: usize) {
        self.add(format!("close {}", self.replicas[replica]));
    }
    fn watch_membership(&mut self) {
        self.add("watch".into());
    }
    fn wake_at(&mut self, _: TenthMillis) {}
}

struct Out {
    lookup: usize,
    part: usize,
    call: usize,
    replica: usize,
    sent: TenthMillis,
}

struct Play {
    deployment: CoordinatorConfig,
    coordinator: Option<Coordinator>,
    arrivals: Inputs,
    now: TenthMillis,
    log: Log,
    calls: HashMap<(usize, usize), usize>,
    out: Vec<Out>,
    serve: HashMap<usize, Option<(AttemptOutcome, TenthMillis)>>,
    bound: HashMap<String, String>,
}

fn number<T: std::str::FromStr>(word: Option<&&str>) -> Res<T> {
    let word = word.ok_or("a number is missing")?;
    word.parse().map_err(|_| format!("{word} is no number"))
}

fn ms(word: Option<&&str>) -> Res<TenthMillis> {
    Ok((number::<f64>(word)? * 10.0) as TenthMillis)
}

fn ending(word: &str) -> Res<AttemptOutcome> {
    Ok(match word {
        "answered" => AttemptOutcome::Success,
        "errored" => AttemptOutcome::Error,
        "full" => AttemptOutcome::Rejected,
        "unconnected" => AttemptOutcome::ConnectFailed,
        "broken" => AttemptOutcome::ConnectionLost,
        "timed-out" => AttemptOutcome::TimedOut,
        "withdrawn" => AttemptOutcome::Cancelled,
        _ => return Err(format!("{word} is no ending")),
    })
}

/// The clock when a scenario begins.
const START: TenthMillis = 10_000_000;

const INDEX: IndexConfig = IndexConfig {
    idempotency: Idempotency::Idempotent,
    soft_deadline: 10_000,
    value: 1.0,
    late_value_share: 0.1,
    complete_share: 1.0,
    min_share: 1.0,
    partial_value: 0.9,
    fetch_sub_requests: 0,
};

impl Play {
    fn new() -> Self {
        let deployment = CoordinatorConfig {
            coordinator_number: 0,
            coordinator_count: 1,
            indexes: vec![INDEX],
            customer_quotas: Vec::new(),
            over_quota_value: 0.1,
            value_by_work: false,
            layout: ShardLayout {
                replica_groups: 4,
                replication_factor: 4,
            },
            permissions: Permissions {
                max_attempts: 3,
                hedging: true,
                cancellation: true,
                health_probes: false,
                max_retry_after: None,
            },
            slow_start: SlowStart {
                initial_share: 0.2,
                duration: 100_000,
                budget_multiple: 2.0,
                window: 10_000,
            },
            reports_queue: true,
            short_queues: false,
            drain_grace: 0,
            retry_budget: None,
            watch_membership: false,
        };
        Play {
            deployment,
            coordinator: None,
            arrivals: Inputs::default(),
            now: START,
            log: Log::default(),
            calls: HashMap::new(),
            out: Vec::new(),
            serve: HashMap::new(),
            bound: HashMap::new(),
        }
    }

    /// One round with all that has come in.
    fn round(&mut self) {
        let now = self.now;
        for at in (0..self.out.len()).rev() {
            match self.serve.get(&self.out[at].replica) {
                Some(&Some((ending, after))) if self.out[at].sent + after <= now => {
                    self.back(at, ending);
                }
                _ => {}
            }
        }
        let arrivals = Inputs {
            now,
            ..std::mem::take(&mut self.arrivals)
        };
        let deployment = &self.deployment;
        let coordinator = self
            .coordinator
            .get_or_insert_with(|| Coordinator::new(deployment.clone(), 7));
        coordinator.step(&arrivals, &mut self.log);
        for (lookup, part, replica) in self.log.calls.drain(..) {
            let call = self.calls.entry((lookup, part)).or_default();
            self.out.push(Out {
                lookup,
                part,
                call: *call,
                replica,
                sent: now,
            });
            *call += 1;
        }
    }

    fn run_to(&mut self, end: TenthMillis) {
        self.round();
        while self.now < end {
            self.now += 50;
            self.round();
        }
    }

    fn listed(
        &mut self,
        word: &str,
        phase: &str,
        started: Option<TenthMillis>,
    ) -> Res<MembershipEntry> {
        let (name, cell) = word
            .split_once(':')
            .ok_or_else(|| format!("{word} is not name:cell"))?;
        let (name, former) = name.split_once('=').unwrap_or((name, ""));
        if let Some(replica) = self.log.replicas.iter().position(|r| r == former) {
            self.log.replicas[replica] = name.to_string();
        }
        let replica = self
            .log
            .replicas
            .iter()
            .position(|r| r == name)
            .unwrap_or_else(|| {
                self.log.replicas.push(name.to_string());
                self.log.replicas.len() - 1
            });
        let phase = match phase {
            "ready" => Phase::Ready,
            "draining" => Phase::Draining,
            "gone" => Phase::Removed,
            _ => return Err(format!("{phase} is no phase")),
        };
        let site = replica % 3;
        let id = replica as u64 + 77 + 1_000 * former.len() as u64;
        Ok(MembershipEntry {
            replica,
            id,
            zone: site,
            replica_group: number(Some(&cell))?,
            phase,
            started_at: started,
            slow_start_share: None,
        })
    }

    fn replica(&self, name: &str) -> Res<usize> {
        let name = self.bound.get(name).map_or(name, String::as_str);
        self.log
            .replicas
            .iter()
            .position(|r| r == name)
            .ok_or_else(|| format!("no replica {name}"))
    }

    fn named(&self, name: &str) -> Res<usize> {
        self.log
            .names
            .iter()
            .position(|n| n == name)
            .ok_or_else(|| format!("no lookup {name}"))
    }

    fn shards(&mut self, lookup: usize, words: &[&str]) -> Res<()> {
        for word in words {
            let weight = 1.0 / words.len() as f64;
            self.arrivals.sub_requests.push(NewSubRequest {
                query: lookup,
                shard: number(Some(word))?,
                weight,
            });
        }
        Ok(())
    }

    /// Settings by name and value; those of an index go to the last one.
    fn set_up(&mut self, words: &[&str]) -> Res<()> {
        let (allowance, index) = (
            &mut self.deployment.permissions,
            self.deployment.indexes.last_mut().unwrap(),
        );
        for pair in words.chunks(2) {
            let value = pair.get(1);
            match (pair[0], value) {
                ("cells", _) => self.deployment.layout.replica_groups = number(value)?,
                ("row", _) => self.deployment.layout.replication_factor = number(value)?,
                ("calls", _) => allowance.max_attempts = number(value)?,
                ("queues", Some(&"untold")) => self.deployment.reports_queue = false,
                ("queues", Some(&"short")) => self.deployment.short_queues = true,
                ("probes", Some(&"on")) => allowance.health_probes = true,
                ("copies", Some(&"none")) => allowance.hedging = false,
                ("grace", _) => self.deployment.drain_grace = ms(value)?,
                ("advice", _) => allowance.max_retry_after = Some(ms(value)?),
                ("of", _) => self.deployment.coordinator_count = number(value)?,
                ("quota", _) => self.deployment.customer_quotas.push(number(value)?),
                ("roster", Some(&"watched")) => self.deployment.watch_membership = true,
                ("further", _) => {
                    let free = number(value)?;
                    self.deployment.retry_budget = Some(RetryBudget {
                        reserve: free,
                        ratio: 0.0,
                        window: 100_000,
                    });
                }
                ("runs", Some(&"once")) => index.idempotency = Idempotency::AtMostOnce,
                ("window", _) => index.idempotency = Idempotency::Deduplicated(ms(value)?),
                ("soft", _) => index.soft_deadline = ms(value)?,
                ("late", _) => index.late_value_share = number(value)?,
                ("floor", _) => index.min_share = number(value)?,
                ("need", _) => index.complete_share = number(value)?,
                ("step", _) => index.fetch_sub_requests = number(value)?,
                (other, _) => return Err(format!("{other} cannot be set")),
            }
        }
        Ok(())
    }

    fn lookup(&mut self, words: &[&str]) -> Res<()> {
        let at = words
            .iter()
            .position(|w| *w == "shards")
            .ok_or("shards are missing")?;
        let lookup = self.log.names.len();
        let (mut index, mut key, mut customer, mut hard_deadline) = (0, None, 0, self.now + 40_000);
        for pair in words[1..at].chunks(2) {
            match pair[0] {
                "key" => key = Some(number(pair.get(1))?),
                "index" => index = number(pair.get(1))?,
                "customer" => customer = number(pair.get(1))?,
                "hard" => hard_deadline = self.now + ms(pair.get(1))?,
                other => return Err(format!("{other} is nothing of a lookup")),
            }
        }
        let new = NewQuery {
            query: lookup,
            index,
            customer,
            key,
            sequence_number: lookup as u64,
            hard_deadline,
        };
        self.log.names.push(words[0].to_string());
        self.arrivals.queries.push(new);
        self.shards(lookup, &words[at + 1..])
    }

    fn part_ends(&mut self, word: &str, how: &str) -> Res<()> {
        let (part, call) = word.split_once('#').unwrap_or((word, ""));
        let (name, part) = part
            .split_once('.')
            .ok_or_else(|| format!("what is {word}?"))?;
        let (lookup, part) = (self.named(name)?, number(Some(&part))?);
        self.round();
        let is = |o: &Out| {
            (o.lookup, o.part) == (lookup, part) && (call.is_empty() || call == o.call.to_string())
        };
        let at = self
            .out
            .iter()
            .position(is)
            .ok_or_else(|| format!("no call of {word} is out"))?;
        self.back(at, ending(how)?);
        Ok(())
    }

    /// The call at this place among those out comes back.
    fn back(&mut self, at: usize, ending: AttemptOutcome) {
        let Out {
            lookup,
            part,
            call,
            sent,
            ..
        } = self.out.remove(at);
        self.arrivals.results.push(AttemptResult {
            query: lookup,
            sub_request: part,
            attempt: call,
            outcome: ending,
            elapsed: self.now - sent,
            queue_depth: None,
        });
    }

    /// Whether a line of the log fits, and what that binds.
    fn fits(&self, pattern: &[&str], line: &[String]) -> Option<HashMap<String, String>> {
        let mut bound = self.bound.clone();
        let mut fits = |p: &str, word: &String| match p.starts_with('$') {
            true => bound.entry(p.to_string()).or_insert_with(|| word.clone()) == word,
            false => p == "*" || p == word,
        };
        let all =
            line.len() >= pattern.len() && pattern.iter().zip(line).all(|(p, word)| fits(p, word));
        all.then_some(bound)
    }

    fn line(&mut self, words: &[&str]) -> Res<()> {
        let (first, rest) = words.split_first().ok_or("an empty line")?;
        match *first {
            "with" => self.set_up(rest)?,
            "index" if rest.is_empty() => self.deployment.indexes.push(INDEX),
            "list" | "remember" => {
                let entry = |word: &&str| {
                    let (word, phase) = word.split_once('/').unwrap_or((word, "ready"));
                    self.listed(word, phase, None)
                };
                let listed = rest.iter().map(entry).collect::<Res<_>>()?;
                let whole = *first == "list";
                let news = if whole {
                    MembershipUpdate::Snapshot(listed)
                } else {
                    MembershipUpdate::Cached(listed)
                };
                self.arrivals.membership.push(news);
            }
            "change" => {
                let started = if rest.len() > 2 {
                    Some(START + ms(rest.get(2))?)
                } else {
                    None
                };
                let [word, phase, ..] = rest else {
                    return Err("change NAME:CELL PHASE".into());
                };
                let mut listed = self.listed(word, phase, started)?;
                listed.slow_start_share =
                    rest.get(3).map(|share| number(Some(share))).transpose()?;
                self.arrivals
                    .membership
                    .push(MembershipUpdate::Delta(vec![listed]));
            }
            "probed" => {
                let replica = self.replica(rest[0])?;
                let queue = rest.get(2).map(|n| number(Some(n))).transpose()?;
                self.arrivals.probes.push(ProbeResult {
                    replica,
                    outcome: ending(rest[1])?,
                    queue_depth: queue,
                });
            }
            "unheard" => self.arrivals.membership.push(MembershipUpdate::Unavailable),
            "lookup" => self.lookup(rest)?,
            "more" => {
                let lookup = self.named(rest[0])?;
                self.shards(lookup, &rest[1..])?;
            }
            "onward" => {
                let (name, part) = rest[0].split_once('.').ok_or("onward LOOKUP.PART")?;
                let asked = (self.named(name)?, number(Some(&part))?);
                self.arrivals.continuations.push(asked);
            }
            "table" => {
                let way = |(site, word): (usize, &&str)| {
                    let (distance, open) = word.split_once('/').ok_or("table NEAR/OPEN ...")?;
                    let (distance, open) = (number(Some(&distance))?, number(Some(&open))?);
                    Ok(ZoneRoute {
                        id: site as u64 + 500,
                        distance,
                        open_per_mille: open,
                    })
                };
                self.arrivals.zone_routes =
                    Some(rest.iter().enumerate().map(way).collect::<Res<_>>()?);
            }
            "lapsed" => self.arrivals.abandoned.push(self.named(rest[0])?),
            "serve" => {
                let (how, names) = rest.split_first().ok_or("serve HOW REPLICA ...")?;
                for name in names {
                    let replica = self.replica(name)?;
                    let service = match (*how, ending(how)) {
                        ("never", _) => None,
                        (_, Ok(ending)) => Some((ending, 500)),
                        (after, Err(_)) => Some((AttemptOutcome::Success, ms(Some(&after))?)),
                    };
                    self.serve.insert(replica, service);
                }
            }
            "stream" => {
                let end = START + ms(rest.get(1))?;
                while self.now < end {
                    let n = self.log.names.len();
                    let (name, key) = (format!("s{n}"), (n + 1000).to_string());
                    self.line(&[&["lookup", &name, "key", &key], &rest[2..]].concat())?;
                    self.run_to(self.now + ms(rest.first())?);
                }
            }
            "at" => self.run_to(START + ms(rest.first())?),
            "forget" => {
                self.round();
                self.log.lines.clear();
            }
            "expect" => {
                self.round();
                let found = self
                    .log
                    .lines
                    .iter()
                    .position(|line| self.fits(rest, line).is_some());
                let at = found.ok_or_else(|| format!("not decided; log: {:?}", self.log.lines))?;
                let line = self.log.lines.remove(at);
                self.bound = self.fits(rest, &line).expect("it fits");
            }
            "never" | "most" | "least" => {
                self.round();
                let never = *first == "never";
                let (limit, pattern) = if never {
                    (0, rest)
                } else {
                    (number(rest.first())?, &rest[1..])
                };
                let n = self
                    .log
                    .lines
                    .iter()
                    .filter(|line| self.fits(pattern, line).is_some())
                    .count();
                if if *first == "least" {
                    n < limit
                } else {
                    n > limit
                } {
                    return Err(format!("decided {n} times; log: {:?}", self.log.lines));
                }
            }
            part => {
                let [how] = rest else {
                    return Err(format!("what is {part}?"));
                };
                self.part_ends(part, how)?;
            }
        }
        Ok(())
    }
}

fn play(name: &str, text: &str) -> Res<()> {
    let mut play = Play::new();
    for (i, line) in text.lines().enumerate() {
        // A comment starts with "# ", so that the # of a call's number does not.
        for said in line.split("# ").next().unwrap_or("").split(';') {
            let words: Vec<&str> = said.split_whitespace().collect();
            if !words.is_empty() {
                play.line(&words)
                    .map_err(|e| format!("{name}:{}: {said}: {e}", i + 1))?;
            }
        }
    }
    Ok(())
}

#[test]
fn all_scenarios_play_out() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
    let mut files: Vec<_> = fs::read_dir(folder)
        .unwrap()
        .map(|f| f.unwrap().path())
        .collect();
    files.sort();
    assert!(!files.is_empty());
    let failures: Vec<String> = files
        .iter()
        .filter_map(|f| {
            play(
                &f.file_name().unwrap().to_string_lossy(),
                &fs::read_to_string(f).unwrap(),
            )
            .err()
        })
        .collect();
    assert!(failures.is_empty(), "\n{}", failures.join("\n"));
}
