//! The output of all processes of a scenario, printed if an invariant did not hold.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};

/// The number of lines that are kept: several times the output of a brief scenario.
const MAX_LINES: usize = 10_000;

/// The newest lines of all processes, in the order in which they were received. Clones share the lines.
#[derive(Clone, Debug, Default)]
pub(crate) struct Transcript {
    lines: Arc<Mutex<VecDeque<String>>>,
}

impl Transcript {
    /// Adds a line that the process of a machine wrote; drops the oldest line if there are too many.
    pub(crate) fn add(&self, machine: &str, text: &str) {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        if lines.len() == MAX_LINES {
            lines.pop_front();
        }
        lines.push_back(format!("{machine}: {text}"));
    }

    /// Prints all lines to standard error.
    pub(crate) fn show(&self) {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        eprintln!("output of the processes:");
        for line in lines.iter() {
            eprintln!("{line}");
        }
    }
}
