//! Output of a schedule: violations, a trace, and counts of what it covered.

use std::collections::BTreeMap;

use linenthread_time::{Instant, whole_millis};

use super::event::START;
use super::fault::FaultKind;
use super::invariant::Invariant;
use super::usage_figures::UsageFigures;

/// Maximum number of violations reported for one schedule; further ones add little information.
const MAX_VIOLATIONS: usize = 5;

/// Counts of what happened, which show what the simulation covers.
#[derive(Clone, Debug, Default)]
pub(super) struct Coverage {
    pub(super) acknowledgements: usize,
    pub(super) reads: usize,
    pub(super) drains: usize,
    pub(super) retries_committed: usize,
    pub(super) retries_unclear: usize,
    pub(super) rivals_rejected: usize,
    /// Largest number of changes committed in one schedule.
    pub(super) max_changes: usize,
    pub(super) max_catch_up_messages: usize,
    pub(super) max_catch_up_bytes: usize,
    pub(super) max_state_bytes: u64,
    /// Times from a loss without any other fault until the voters were complete again, in milliseconds.
    pub(super) recovery_ms: Vec<u64>,
    pub(super) usage: UsageFigures,
    /// Number of faults by kind.
    pub(super) faults: BTreeMap<FaultKind, usize>,
}

impl Coverage {
    pub(super) fn add(&mut self, other: &Coverage) {
        self.acknowledgements += other.acknowledgements;
        self.reads += other.reads;
        self.drains += other.drains;
        self.retries_committed += other.retries_committed;
        self.retries_unclear += other.retries_unclear;
        self.rivals_rejected += other.rivals_rejected;
        self.max_changes = self.max_changes.max(other.max_changes);
        self.max_catch_up_messages = self.max_catch_up_messages.max(other.max_catch_up_messages);
        self.max_catch_up_bytes = self.max_catch_up_bytes.max(other.max_catch_up_bytes);
        self.max_state_bytes = self.max_state_bytes.max(other.max_state_bytes);
        self.recovery_ms.extend(&other.recovery_ms);
        self.usage.add(&other.usage);
        for (kind, count) in &other.faults {
            *self.faults.entry(*kind).or_default() += count;
        }
    }

    pub(super) fn print(&self) {
        println!(
            "{} changes acknowledged, {} reads, {} drains",
            self.acknowledgements, self.reads, self.drains
        );
        println!(
            "retries: {} committed, {} unclear; {} rival changes of one revision rejected",
            self.retries_committed, self.retries_unclear, self.rivals_rejected
        );
        println!(
            "{} changes in the longest schedule; to catch up: {} messages, {} bytes; state of {} bytes at most",
            self.max_changes,
            self.max_catch_up_messages,
            self.max_catch_up_bytes,
            self.max_state_bytes
        );
        self.print_recovery();
        self.usage.print();
        for (kind, count) in &self.faults {
            println!("{kind}: {count}");
        }
    }
}

impl Coverage {
    fn print_recovery(&self) {
        let mut times = self.recovery_ms.clone();
        times.sort_unstable();
        let (Some(longest), Some(median)) = (times.last(), times.get(times.len() / 2)) else {
            return;
        };
        let p99 = times[times.len() * 99 / 100];
        println!(
            "whole again after {} losses: {median} ms in the median, {p99} at the 99th percentile, {longest} at most",
            times.len()
        );
    }
}

/// Output of one schedule so far.
pub(super) struct Report {
    pub(super) violations: Vec<String>,
    pub(super) coverage: Coverage,
    /// Whether each step is printed.
    trace: bool,
}

impl Report {
    pub(super) fn new(trace: bool) -> Report {
        Report {
            violations: Vec::new(),
            coverage: Coverage::default(),
            trace,
        }
    }

    /// Prints a step if tracing is enabled.
    pub(super) fn trace(&self, now: Instant, step: &str) {
        if self.trace {
            println!("{:>7} {step}", whole_millis(now.since(START)));
        }
    }

    pub(super) fn count_fault(&mut self, now: Instant, kind: FaultKind) {
        self.trace(now, &kind.to_string());
        *self.coverage.faults.entry(kind).or_default() += 1;
    }

    pub(super) fn violation(&mut self, now: Instant, invariant: Invariant, details: &str) {
        self.trace(now, &format!("{invariant}: {details}"));
        if self.violations.len() < MAX_VIOLATIONS {
            let at = now.since(START).as_millis();
            self.violations
                .push(format!("at {at} ms: {invariant}: {details}"));
        }
    }
}
