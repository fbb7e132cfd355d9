//! The rules, and all that they are judged by: each run at each replica and each answer at each client.
//!
//! | rule | what it says |
//! | --- | --- |
//! | *mine-only* | an answer with a seal is of a run of this very request, with that run's body |
//! | *once-if-not-repeatable* | what may not be repeated ran once at most |
//! | *rejected-never-ran* | where a client was told 503 with no seal, nothing of its request ran |
//! | *no-doubt* | nothing is written on a connection that owes an answer, or on which something waits |
//! | *complete-or-told* | an answer is whole, or says how many parts are missing; one in time, and no more |

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use linenthread_dataplane::clock;
use linenthread_http::{Head, merge_top_records};

use crate::replica::{answer_body, digest};
use crate::world::{GATHERED_SERVICES, LIMIT_OF_RECORDS};

/// One run of a sub-request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    pub attempt: String,
    pub path: String,
    pub service: String,
    pub ident: String,
}

#[derive(Default)]
struct Notes {
    runs: Vec<Run>,
    by_attempt: BTreeMap<String, usize>,
    doubts: Vec<String>,
    digest: u64,
}

/// All runs of a world, and the digest of all that happened.
#[derive(Clone, Default)]
pub struct Runs(Rc<RefCell<Notes>>);

impl Runs {
    /// Notes a run; its number.
    pub fn note(&self, run: Run) -> usize {
        self.log(&["ran", &run.attempt, &run.path, &run.ident]);
        let mut notes = self.0.borrow_mut();
        *notes.by_attempt.entry(run.attempt.clone()).or_default() += 1;
        notes.runs.push(run);
        notes.runs.len() - 1
    }

    /// Notes that a connection was used which should not have been.
    pub fn doubt(&self, cause: &str) {
        self.0.borrow_mut().doubts.push(cause.to_owned());
    }

    /// Adds what happened to the digest, with its time.
    pub fn log(&self, words: &[&str]) {
        let mut notes = self.0.borrow_mut();
        notes.digest = digest(
            words,
            notes.digest.rotate_left(7) ^ clock::now_tenth_millis() as u64,
        );
    }

    /// The digest of all that happened.
    pub fn digest(&self) -> u64 {
        self.0.borrow().digest
    }

    /// How often anything of a request ran.
    pub fn of(&self, attempt: &str) -> usize {
        self.0
            .borrow()
            .by_attempt
            .get(attempt)
            .copied()
            .unwrap_or(0)
    }

    /// How many runs there were.
    pub fn count(&self) -> usize {
        self.0.borrow().runs.len()
    }

    fn sealed(&self, seal: &str) -> Option<Run> {
        let number: usize = seal.rsplit('.').next()?.parse().ok()?;
        self.0.borrow().runs.get(number).cloned()
    }
}

/// The rules by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    MineOnly,
    OnceIfNotRepeatable,
    RejectedNeverRan,
    NoDoubt,
    CompleteOrTold,
}

/// A rule that was broken, and how.
#[derive(Clone, Debug)]
pub struct Breach {
    pub rule: Rule,
    pub cause: String,
}

impl std::fmt::Display for Breach {
    fn fmt(&self, to: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let name = match self.rule {
            Rule::MineOnly => "mine-only",
            Rule::OnceIfNotRepeatable => "once-if-not-repeatable",
            Rule::RejectedNeverRan => "rejected-never-ran",
            Rule::NoDoubt => "no-doubt",
            Rule::CompleteOrTold => "complete-or-told",
        };
        write!(to, "{name}: {}", self.cause)
    }
}

/// What a client asked for.
#[derive(Clone, Debug)]
pub struct Asked {
    pub attempt: String,
    pub path: String,
    pub repeatable: bool,
    pub gathers: bool,
}

/// How often each sort of answer came.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub asked: usize,
    pub whole: usize,
    pub partial: usize,
    pub failed: usize,
    pub rejected: usize,
    pub left: usize,
}

/// The judge of one world.
#[derive(Default)]
pub struct Judge {
    pub breaches: Vec<Breach>,
    pub counts: Counts,
    asked: Vec<Asked>,
    promised: Vec<String>,
}

impl Judge {
    /// Notes a breach.
    pub fn breach(&mut self, rule: Rule, cause: String) {
        self.breaches.push(Breach { rule, cause });
    }

    /// A client has sent a request.
    pub fn ask(&mut self, asked: &Asked) {
        self.counts.asked += 1;
        self.asked.push(asked.clone());
    }

    /// A client got an answer, so much later than it may come at most.
    pub fn answered(
        &mut self,
        asked: &Asked,
        head: &Head,
        body: &[u8],
        late: Duration,
        runs: &Runs,
    ) {
        if !late.is_zero() {
            self.breach(
                Rule::CompleteOrTold,
                format!("{} was answered {late:?} too late", asked.attempt),
            );
        }
        let seal = head.header("x-replica-seal");
        match (head.status(), asked.gathers, seal) {
            (200, true, _) => self.gathered(asked, head, body, runs),
            (200..=299, false, Some(seal)) => {
                self.counts.whole += 1;
                self.sealed(asked, seal, Some((head, body)), runs);
            }
            (500, false, Some(seal)) => {
                self.counts.failed += 1;
                self.sealed(asked, seal, None, runs);
            }
            (502, _, None) => self.counts.failed += 1,
            (503, _, None) => {
                self.counts.rejected += 1;
                self.promised.push(asked.attempt.clone());
            }
            (status, _, seal) => {
                self.breach(
                    Rule::CompleteOrTold,
                    format!("{} got {status}, seal {seal:?}", asked.attempt),
                );
            }
        }
    }

    /// The connection ended, or stayed silent, where an answer was due.
    pub fn unanswered(&mut self, asked: &Asked, why: &str) {
        self.breach(
            Rule::CompleteOrTold,
            format!("{} got no answer: {why}", asked.attempt),
        );
    }

    /// One replica's answer as it came.
    fn sealed(&mut self, asked: &Asked, seal: &str, whole: Option<(&Head, &[u8])>, runs: &Runs) {
        let own = |run: &Run| run.attempt == asked.attempt && run.path == asked.path;
        let Some(run) = runs.sealed(seal).filter(own) else {
            return self.breach(
                Rule::MineOnly,
                format!("{} got the seal {seal}", asked.attempt),
            );
        };
        let Some((head, body)) = whole else { return };
        if head.header("x-attempt-id") != Some(&asked.attempt) {
            self.breach(
                Rule::MineOnly,
                format!("{} got an answer of another id", asked.attempt),
            );
        }
        if body != answer_body(&run.service, &run.path, &run.attempt) {
            self.breach(
                Rule::CompleteOrTold,
                format!("{} got another body", asked.attempt),
            );
        }
    }

    /// An answer made of parts.
    fn gathered(&mut self, asked: &Asked, head: &Head, body: &[u8], runs: &Runs) {
        let seals: Vec<&str> = head
            .header("x-part-seals")
            .unwrap_or_default()
            .split(", ")
            .collect();
        let missing = head
            .header("x-missing-parts")
            .and_then(|m| m.parse::<usize>().ok());
        match missing {
            Some(0) => self.counts.whole += 1,
            _ => self.counts.partial += 1,
        }
        if missing != Some(GATHERED_SERVICES.len().saturating_sub(seals.len())) {
            self.breach(
                Rule::CompleteOrTold,
                format!("{} is told {missing:?} missing", asked.attempt),
            );
        }
        let mut services = BTreeSet::new();
        for seal in seals {
            match runs
                .sealed(seal)
                .filter(|r| r.attempt == asked.attempt && r.path == asked.path)
            {
                Some(run) => drop(services.insert(run.service)),
                None => self.breach(
                    Rule::MineOnly,
                    format!("{} got the part {seal}", asked.attempt),
                ),
            }
        }
        let parts: Vec<Vec<u8>> = services
            .iter()
            .map(|s| answer_body(s, &asked.path, &asked.attempt))
            .collect();
        if body != merge_top_records(parts.iter().map(Vec::as_slice), LIMIT_OF_RECORDS) {
            self.breach(
                Rule::MineOnly,
                format!("{} got other records", asked.attempt),
            );
        }
    }

    /// What can only be judged when all has ended.
    pub fn close(&mut self, runs: &Runs) {
        for attempt in std::mem::take(&mut self.promised) {
            let ran = runs.of(&attempt);
            if ran > 0 {
                self.breach(
                    Rule::RejectedNeverRan,
                    format!("{attempt} was refused and ran {ran} times"),
                );
            }
        }
        for cause in std::mem::take(&mut runs.0.borrow_mut().doubts) {
            self.breach(Rule::NoDoubt, format!("unanswered, quiet: {cause}"));
        }
        for asked in std::mem::take(&mut self.asked) {
            let ran = runs.of(&asked.attempt);
            if !asked.repeatable && ran > 1 {
                self.breach(
                    Rule::OnceIfNotRepeatable,
                    format!("{} ran {ran} times", asked.attempt),
                );
            }
        }
    }
}
