//! Runs the statements of a scenario against a co-ordinator.

use std::collections::HashMap;

use linenthread_core::Coordinator;
use linenthread_core::interface::{
    AttemptOutcome, AttemptResult, Continuation, CoordinatorConfig, Inputs, MembershipEntry,
    MembershipUpdate, NewQuery, NewSubRequest, ProbeResult, QueryIndex, ReplicaIndex, SearchIndex,
    SubRequestIndex, TenthMillis, ZoneRoute,
};

use crate::decision_log::{Bindings, DecisionLog, SentAttempt};
use crate::setup::{DEFAULT_INDEX, configure, default_config};
use crate::values::{number, outcome, phase, time};

/// The time at which a scenario starts.
const START_TIME: TenthMillis = 10_000_000;

/// The interval between steps, in tenths of a millisecond.
const STEP_INTERVAL: TenthMillis = 50;

/// The time after which a replica fails an attempt, in tenths of a millisecond.
const FAILURE_TIME: TenthMillis = 500;

/// The default hard deadline of a query, in tenths of a millisecond from its arrival.
const HARD_DEADLINE: TenthMillis = 40_000;

const SEED: u64 = 7;

/// Replicas are assigned to zones in rotation: a's, b's, c's.
const ZONE_COUNT: usize = 3;

/// An attempt in flight.
struct InFlight {
    query: QueryIndex,
    sub_request: SubRequestIndex,
    attempt: usize,
    replica: ReplicaIndex,
    sent_at: TenthMillis,
}

/// How a replica ends its attempts automatically; `None` if it hangs.
type Service = Option<(AttemptOutcome, TenthMillis)>;

pub(crate) struct Runner {
    config: CoordinatorConfig,
    /// Created at the first step, so that it can be configured before.
    coordinator: Option<Coordinator>,
    /// Inputs since the last step.
    inputs: Inputs,
    now: TenthMillis,
    log: DecisionLog,
    /// Number of attempts so far, by query and sub-request.
    attempt_counts: HashMap<(QueryIndex, SubRequestIndex), usize>,
    /// In the order in which they were sent.
    in_flight: Vec<InFlight>,
    services: HashMap<ReplicaIndex, Service>,
    bindings: Bindings,
}

impl Runner {
    pub(crate) fn new() -> Self {
        Runner {
            config: default_config(),
            coordinator: None,
            inputs: Inputs::default(),
            now: START_TIME,
            log: DecisionLog::default(),
            attempt_counts: HashMap::new(),
            in_flight: Vec::new(),
            services: HashMap::new(),
            bindings: Bindings::new(),
        }
    }

    pub(crate) fn run_statement(&mut self, words: &[&str]) -> Result<(), String> {
        let (first, rest) = words.split_first().ok_or("empty statement")?;
        match *first {
            "with" => configure(&mut self.config, rest)?,
            "index" if rest.is_empty() => self.config.indexes.push(DEFAULT_INDEX),
            "snapshot" => self.membership_list(rest, MembershipUpdate::Snapshot)?,
            "cached" => self.membership_list(rest, MembershipUpdate::Cached)?,
            "delta" => self.delta(rest)?,
            "unavailable" => self.inputs.membership.push(MembershipUpdate::Unavailable),
            "routes" => self.routes(rest)?,
            "query" => self.query(rest)?,
            "sub-requests" => {
                let query = self.query_index(rest[0])?;
                self.sub_requests(query, &rest[1..])?;
            }
            "continue" => {
                let target = self.parse_sub_request(rest[0])?;
                self.inputs.continuations.push(target);
            }
            "abandoned" => {
                let query = self.query_index(rest[0])?;
                self.inputs.cancelled.push(query);
            }
            "shutdown" => self.inputs.shutdown_at = Some(START_TIME + time(rest.first())?),
            "probed" => self.probed(rest)?,
            "serve" => self.serve(rest)?,
            "stream" => self.stream(rest)?,
            "at" => self.run_to(START_TIME + time(rest.first())?),
            "forget" => {
                self.step();
                self.log.lines.clear();
            }
            "expect" => {
                self.step();
                self.bindings = self.log.take(rest, &self.bindings)?;
            }
            "never" => self.check_count(rest, |count| count == 0)?,
            "at-most" => {
                let limit: usize = number(rest.first())?;
                self.check_count(&rest[1..], |count| count <= limit)?;
            }
            "at-least" => {
                let limit: usize = number(rest.first())?;
                self.check_count(&rest[1..], |count| count >= limit)?;
            }
            target => {
                let [outcome_word] = rest else {
                    return Err(format!("unknown statement: {target}"));
                };
                self.end_attempt(target, outcome_word)?;
            }
        }
        Ok(())
    }

    /// Runs one step with all pending inputs.
    fn step(&mut self) {
        let now = self.now;
        for position in (0..self.in_flight.len()).rev() {
            let attempt = &self.in_flight[position];
            match self.services.get(&attempt.replica) {
                Some(&Some((outcome, after))) if attempt.sent_at + after <= now => {
                    self.end(position, outcome);
                }
                _ => {}
            }
        }
        let inputs = Inputs {
            now,
            ..std::mem::take(&mut self.inputs)
        };
        let config = &self.config;
        let coordinator = self
            .coordinator
            .get_or_insert_with(|| Coordinator::new(config.clone(), SEED));
        coordinator.step(&inputs, &mut self.log);
        for sent in self.log.sent.drain(..) {
            let SentAttempt {
                query,
                sub_request,
                replica,
            } = sent;
            let count = self.attempt_counts.entry((query, sub_request)).or_default();
            self.in_flight.push(InFlight {
                query,
                sub_request,
                attempt: *count,
                replica,
                sent_at: now,
            });
            *count += 1;
        }
    }

    fn run_to(&mut self, end: TenthMillis) {
        self.step();
        while self.now < end {
            self.now += STEP_INTERVAL;
            self.step();
        }
    }

    /// Parses `NAME:GROUP`, or `NAME=FORMER:GROUP` for a replica that takes over the index of a former one.
    fn entry(
        &mut self,
        word: &str,
        phase_word: &str,
        started_at: Option<TenthMillis>,
    ) -> Result<MembershipEntry, String> {
        let (name, replica_group) = word
            .split_once(':')
            .ok_or_else(|| format!("{word} is not NAME:GROUP"))?;
        let (name, former) = name.split_once('=').unwrap_or((name, ""));
        let replicas = &mut self.log.replicas;
        if let Some(replica) = replicas.iter().position(|r| r == former) {
            replicas[replica] = name.to_owned();
        }
        let replica = replicas.iter().position(|r| r == name).unwrap_or_else(|| {
            replicas.push(name.to_owned());
            replicas.len() - 1
        });
        Ok(MembershipEntry {
            replica: ReplicaIndex(replica),
            id: replica as u64 + 77 + 1_000 * former.len() as u64,
            zone: replica % ZONE_COUNT,
            replica_group: number(Some(&replica_group))?,
            phase: phase(phase_word)?,
            started_at,
            slow_start_share: None,
        })
    }

    fn membership_list(
        &mut self,
        words: &[&str],
        update: impl Fn(Vec<MembershipEntry>) -> MembershipUpdate,
    ) -> Result<(), String> {
        let entries = words
            .iter()
            .map(|word| {
                let (word, phase) = word.split_once('/').unwrap_or((word, "ready"));
                self.entry(word, phase, None)
            })
            .collect::<Result<_, _>>()?;
        self.inputs.membership.push(update(entries));
        Ok(())
    }

    fn delta(&mut self, words: &[&str]) -> Result<(), String> {
        let [word, phase, options @ ..] = words else {
            return Err("usage: delta NAME:GROUP PHASE".into());
        };
        let started_at = match options.first() {
            Some(_) => Some(START_TIME + time(options.first())?),
            None => None,
        };
        let mut entry = self.entry(word, phase, started_at)?;
        entry.slow_start_share = options
            .get(1)
            .map(|share| number(Some(share)))
            .transpose()?;
        let update = MembershipUpdate::Delta(vec![entry]);
        self.inputs.membership.push(update);
        Ok(())
    }

    fn routes(&mut self, words: &[&str]) -> Result<(), String> {
        let route = |(zone, word): (usize, &&str)| {
            let (distance, open) = word
                .split_once('/')
                .ok_or("usage: routes DISTANCE/OPEN ...")?;
            Ok::<_, String>(ZoneRoute {
                id: zone as u64 + 500,
                distance: number(Some(&distance))?,
                open_per_mille: number(Some(&open))?,
            })
        };
        let routes = words.iter().enumerate().map(route);
        self.inputs.zone_routes = Some(routes.collect::<Result<_, _>>()?);
        Ok(())
    }

    fn query(&mut self, words: &[&str]) -> Result<(), String> {
        let shards_at = words
            .iter()
            .position(|word| *word == "shards")
            .ok_or("missing shards")?;
        let query_count = self.log.queries.len();
        let query = QueryIndex(query_count);
        let mut new = NewQuery {
            query,
            search_index: SearchIndex(0),
            customer: 0,
            key: None,
            sequence_number: query_count as u64,
            hard_deadline: self.now + HARD_DEADLINE,
        };
        for pair in words[1..shards_at].chunks(2) {
            let value = pair.get(1);
            match pair[0] {
                "key" => new.key = Some(number(value)?),
                "index" => new.search_index = SearchIndex(number(value)?),
                "customer" => new.customer = number(value)?,
                "hard" => new.hard_deadline = self.now + time(value)?,
                other => return Err(format!("unknown query option: {other}")),
            }
        }
        self.log.queries.push(words[0].to_owned());
        self.inputs.queries.push(new);
        self.sub_requests(query, &words[shards_at + 1..])
    }

    /// Adds sub-requests of equal weight for these shards.
    fn sub_requests(&mut self, query: QueryIndex, shards: &[&str]) -> Result<(), String> {
        for shard in shards {
            self.inputs.sub_requests.push(NewSubRequest {
                query,
                shard: number(Some(shard))?,
                weight: 1.0 / shards.len() as f64,
            });
        }
        Ok(())
    }

    fn probed(&mut self, words: &[&str]) -> Result<(), String> {
        let [name, outcome_word, options @ ..] = words else {
            return Err("usage: probed REPLICA OUTCOME".into());
        };
        let queue_depth = options.first().map(|depth| number(Some(depth)));
        let result = ProbeResult {
            replica: self.replica_index(name)?,
            outcome: outcome(outcome_word)?,
            queue_depth: queue_depth.transpose()?,
        };
        self.inputs.probes.push(result);
        Ok(())
    }

    fn serve(&mut self, words: &[&str]) -> Result<(), String> {
        let (behaviour, names) = words
            .split_first()
            .ok_or("usage: serve BEHAVIOUR REPLICA ...")?;
        for name in names {
            let replica = self.replica_index(name)?;
            let service = match (*behaviour, outcome(behaviour)) {
                ("never", _) => None,
                (_, Ok(outcome)) => Some((outcome, FAILURE_TIME)),
                (after, Err(_)) => Some((AttemptOutcome::Success, time(Some(&after))?)),
            };
            self.services.insert(replica, service);
        }
        Ok(())
    }

    /// Runs `stream INTERVAL END ...`, which starts queries with unique names and keys.
    fn stream(&mut self, words: &[&str]) -> Result<(), String> {
        let end = START_TIME + time(words.get(1))?;
        while self.now < end {
            let number = self.log.queries.len();
            let (name, key) = (format!("s{number}"), (number + 1000).to_string());
            self.query(&[&[&name, "key", &key], &words[2..]].concat())?;
            self.run_to(self.now + time(words.first())?);
        }
        Ok(())
    }

    fn check_count(
        &mut self,
        pattern: &[&str],
        is_expected: impl Fn(usize) -> bool,
    ) -> Result<(), String> {
        self.step();
        let count = self.log.count(pattern, &self.bindings)?;
        if is_expected(count) {
            Ok(())
        } else {
            Err(format!(
                "{count} matching decisions; log: {:?}",
                self.log.lines
            ))
        }
    }

    /// Ends the oldest attempt in flight of `QUERY.SUB_REQUEST`, or `QUERY.SUB_REQUEST#ATTEMPT`.
    fn end_attempt(&mut self, target: &str, outcome_word: &str) -> Result<(), String> {
        let (sub_request, attempt) = match target.split_once('#') {
            Some((sub_request, attempt)) => (sub_request, Some(number(Some(&attempt))?)),
            None => (target, None),
        };
        let Continuation { query, sub_request } = self.parse_sub_request(sub_request)?;
        self.step();
        let position = self
            .in_flight
            .iter()
            .position(|a| {
                (a.query, a.sub_request) == (query, sub_request)
                    && attempt.is_none_or(|number: usize| number == a.attempt)
            })
            .ok_or_else(|| format!("no attempt of {target} is in flight"))?;
        self.end(position, outcome(outcome_word)?);
        Ok(())
    }

    /// Ends the attempt at this position among those in flight.
    fn end(&mut self, position: usize, outcome: AttemptOutcome) {
        let ended = self.in_flight.remove(position);
        self.inputs.results.push(AttemptResult {
            query: ended.query,
            sub_request: ended.sub_request,
            attempt: ended.attempt,
            outcome,
            elapsed: self.now - ended.sent_at,
            queue_depth: None,
        });
    }

    fn replica_index(&self, name: &str) -> Result<ReplicaIndex, String> {
        let name = self.bindings.get(name).map_or(name, String::as_str);
        let replicas = &self.log.replicas;
        let index = replicas.iter().position(|replica| replica == name);
        index
            .map(ReplicaIndex)
            .ok_or_else(|| format!("unknown replica: {name}"))
    }

    fn query_index(&self, name: &str) -> Result<QueryIndex, String> {
        let queries = &self.log.queries;
        let index = queries.iter().position(|query| query == name);
        index
            .map(QueryIndex)
            .ok_or_else(|| format!("unknown query: {name}"))
    }

    /// Parses `QUERY.SUB_REQUEST`.
    fn parse_sub_request(&self, word: &str) -> Result<Continuation, String> {
        let (name, sub_request) = word
            .split_once('.')
            .ok_or_else(|| format!("not a sub-request, QUERY.NUMBER: {word}"))?;
        Ok(Continuation {
            query: self.query_index(name)?,
            sub_request: SubRequestIndex(number(Some(&sub_request))?),
        })
    }
}
