//! Collects the log of a process, so that tests can wait for its lines.

use std::io::{BufRead, BufReader};
use std::process::ChildStderr;
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread::spawn;
use std::time::Instant;

use crate::EVENT_TIMEOUT;
use crate::sync::lock;

/// How many lines are shown when a wait for a line fails.
const SHOWN_LINES: usize = 30;

/// All lines that a process has logged, including those from before its restarts.
#[derive(Default)]
pub(super) struct ProcessLog {
    lines: Mutex<Vec<String>>,
    grown: Condvar,
}

impl ProcessLog {
    /// Starts a thread that collects the log of a process until the process ends.
    pub(super) fn collect(self: &Arc<Self>, stderr: ChildStderr) {
        let log = self.clone();
        spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                lock(&log.lines).push(line);
                log.grown.notify_all();
            }
        });
    }

    /// Returns the number of lines.
    pub(super) fn len(&self) -> usize {
        lock(&self.lines).len()
    }

    /// Returns the last matching line at or after a position.
    pub(super) fn last(&self, from: usize, matches: impl Fn(&str) -> bool) -> Option<String> {
        let lines = lock(&self.lines);
        let found = lines.iter().skip(from).rev().find(|line| matches(line));
        found.cloned()
    }

    /// Returns the last lines, even if a thread has panicked while it held the lock.
    pub(super) fn tail(&self, count: usize) -> Vec<String> {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        tail(&lines, count)
    }

    /// Waits for a matching line at or after a position.
    ///
    /// # Panics
    ///
    /// If none arrives within three times [`EVENT_TIMEOUT`].
    pub(super) fn wait_for(
        &self,
        process: &str,
        from: usize,
        description: &str,
        matches: &dyn Fn(&str) -> bool,
    ) -> String {
        let end = Instant::now() + 3 * EVENT_TIMEOUT;
        let mut lines = lock(&self.lines);
        loop {
            if let Some(line) = lines.iter().skip(from).find(|line| matches(line)) {
                return line.clone();
            }
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                let tail = tail(&lines, SHOWN_LINES).join("\n");
                drop(lines);
                panic!(
                    "'{description}' did not appear in the log of {process}; its last lines:\n{tail}"
                );
            }
            let result = self.grown.wait_timeout(lines, left);
            (lines, _) = result.expect("the thread that collects the log has not panicked");
        }
    }
}

fn tail(lines: &[String], count: usize) -> Vec<String> {
    lines[lines.len().saturating_sub(count)..].to_vec()
}
