//! The log of a process: collected as it is written, and awaited by tests.

use std::io::{BufRead, BufReader};
use std::process::ChildStderr;
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread::spawn;
use std::time::Instant;

use crate::PATIENCE;
use crate::sync::lock;

/// Lines that are shown when an awaited line does not arrive.
const SHOWN_LINES: usize = 30;

/// All lines that a process has logged, over all its incarnations.
#[derive(Default)]
pub(super) struct ProcessLog {
    lines: Mutex<Vec<String>>,
    grown: Condvar,
}

impl ProcessLog {
    /// Collects from a process until that ends.
    pub(super) fn collect(self: &Arc<Self>, stderr: ChildStderr) {
        let log = self.clone();
        spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                lock(&log.lines).push(line);
                log.grown.notify_all();
            }
        });
    }

    /// How many lines there are.
    pub(super) fn len(&self) -> usize {
        lock(&self.lines).len()
    }

    /// The last line from a position on that matches.
    pub(super) fn last(&self, from: usize, matches: impl Fn(&str) -> bool) -> Option<String> {
        let lines = lock(&self.lines);
        let found = lines.iter().skip(from).rev().find(|line| matches(line));
        found.cloned()
    }

    /// The last lines, also after a panic of a thread that held the log.
    pub(super) fn tail(&self, count: usize) -> Vec<String> {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        tail(&lines, count)
    }

    /// Waits for a line from a position on that matches.
    ///
    /// # Panics
    ///
    /// If none arrives within three times [`PATIENCE`].
    pub(super) fn wait_for(
        &self,
        process: &str,
        from: usize,
        what: &str,
        matches: &dyn Fn(&str) -> bool,
    ) -> String {
        let end = Instant::now() + 3 * PATIENCE;
        let mut lines = lock(&self.lines);
        loop {
            if let Some(line) = lines.iter().skip(from).find(|line| matches(line)) {
                return line.clone();
            }
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                let tail = tail(&lines, SHOWN_LINES).join("\n");
                drop(lines);
                panic!("'{what}' did not come from {process}; its last lines:\n{tail}");
            }
            let woken = self.grown.wait_timeout(lines, left);
            (lines, _) = woken.expect("the thread that collects the log has not panicked");
        }
    }
}

fn tail(lines: &[String], count: usize) -> Vec<String> {
    lines[lines.len().saturating_sub(count)..].to_vec()
}
