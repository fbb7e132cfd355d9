//! The decisions of a scenario as lines of words, and the patterns that match them.

use std::collections::HashMap;

use linenthread_core::DecisionSink;
use linenthread_core::interface::{
    Completeness, QueryIndex, ReplicaIndex, SubRequestIndex, TenthMillis,
};

/// The possible first words of a line.
const DECISIONS: [&str; 10] = [
    "send",
    "cancel",
    "complete",
    "partial",
    "reject",
    "fail",
    "release",
    "probe",
    "close-idle",
    "watch",
];

/// The words bound to variables such as `$x`.
pub(crate) type Bindings = HashMap<String, String>;

/// An attempt sent in the current step.
pub(crate) struct SentAttempt {
    pub(crate) query: QueryIndex,
    pub(crate) sub_request: SubRequestIndex,
    pub(crate) replica: ReplicaIndex,
}

/// Decisions that no `expect` statement has matched yet.
#[derive(Default)]
pub(crate) struct DecisionLog {
    pub(crate) lines: Vec<Vec<String>>,
    /// Attempts sent since the list was last drained.
    pub(crate) sent: Vec<SentAttempt>,
    /// Query names, by index.
    pub(crate) queries: Vec<String>,
    /// Replica names, by index.
    pub(crate) replicas: Vec<String>,
}

impl DecisionLog {
    fn add(&mut self, line: &str) {
        let words = line.split(' ').map(str::to_owned);
        self.lines.push(words.collect());
    }

    /// Returns the number of lines that match.
    pub(crate) fn count(&self, pattern: &[&str], bindings: &Bindings) -> Result<usize, String> {
        check_pattern(pattern)?;
        let matches = |line: &&Vec<String>| match_line(pattern, line, bindings).is_some();
        Ok(self.lines.iter().filter(matches).count())
    }

    /// Removes the first matching line and returns the bindings extended by the match.
    pub(crate) fn take(
        &mut self,
        pattern: &[&str],
        bindings: &Bindings,
    ) -> Result<Bindings, String> {
        check_pattern(pattern)?;
        let found = self.lines.iter().enumerate().find_map(|(position, line)| {
            let bindings = match_line(pattern, line, bindings)?;
            Some((position, bindings))
        });
        let (position, bindings) =
            found.ok_or_else(|| format!("no matching decision; log: {:?}", self.lines))?;
        self.lines.remove(position);
        Ok(bindings)
    }
}

/// Rejects patterns that can never match, which are mistakes in the scenario.
fn check_pattern(pattern: &[&str]) -> Result<(), String> {
    let first = pattern.first().ok_or("missing decision")?;
    if DECISIONS.contains(first) || *first == "*" {
        Ok(())
    } else {
        Err(format!("unknown decision: {first}"))
    }
}

/// Matches a pattern against the first words of a line and returns the bindings extended by the match.
fn match_line(pattern: &[&str], line: &[String], bindings: &Bindings) -> Option<Bindings> {
    let mut bindings = bindings.clone();
    let mut matches = |pattern: &str, word: &String| {
        if pattern.starts_with('$') {
            let bound = bindings.entry(pattern.to_owned());
            bound.or_insert_with(|| word.clone()) == word
        } else {
            pattern == "*" || pattern == word
        }
    };
    let all_match = line.len() >= pattern.len()
        && pattern
            .iter()
            .zip(line)
            .all(|(pattern, word)| matches(pattern, word));
    all_match.then_some(bindings)
}

impl DecisionSink for DecisionLog {
    fn send(
        &mut self,
        query: QueryIndex,
        sub_request: SubRequestIndex,
        replica: ReplicaIndex,
        timeout: TenthMillis,
    ) {
        assert!(timeout > 0);
        let (query_name, replica_name) = (&self.queries[query.0], &self.replicas[replica.0]);
        self.add(&format!(
            "send {query_name}.{} {replica_name}",
            sub_request.0
        ));
        self.sent.push(SentAttempt {
            query,
            sub_request,
            replica,
        });
    }

    fn cancel(&mut self, query: QueryIndex, sub_request: SubRequestIndex, attempt: usize) {
        let query = &self.queries[query.0];
        self.add(&format!("cancel {query}.{}#{attempt}", sub_request.0));
    }

    fn respond(&mut self, query: QueryIndex, completeness: Completeness) {
        let response = match completeness {
            Completeness::Complete => "complete",
            Completeness::Partial => "partial",
        };
        self.add(&format!("{response} {}", self.queries[query.0]));
    }

    fn reject(&mut self, query: QueryIndex, retry_after: Option<TenthMillis>) {
        let advice = retry_after.map_or("unadvised", |_| "advised");
        self.add(&format!("reject {} {advice}", self.queries[query.0]));
    }

    fn fail(&mut self, query: QueryIndex) {
        self.add(&format!("fail {}", self.queries[query.0]));
    }

    fn release(&mut self, query: QueryIndex) {
        self.add(&format!("release {}", self.queries[query.0]));
    }

    fn probe(&mut self, replica: ReplicaIndex) {
        self.add(&format!("probe {}", self.replicas[replica.0]));
    }

    fn close_idle(&mut self, replica: ReplicaIndex) {
        self.add(&format!("close-idle {}", self.replicas[replica.0]));
    }

    fn watch_membership(&mut self) {
        self.add("watch");
    }

    fn wake_at(&mut self, _: TenthMillis) {}
}
