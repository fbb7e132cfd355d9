//! Rate-limited log lines about rejected input. Peers cause these lines, so their number must be bounded.

use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt::Display;

use crate::clock;

/// Maximum number of lines per step and second.
const MAX_LINES_PER_SECOND: u32 = 5;

/// The number of lines for one step in the second of the latest line.
#[derive(Clone, Copy, Default)]
struct LineCount {
    second: u64,
    lines: u32,
}

thread_local! {
    static LINE_COUNTS: RefCell<HashMap<&'static str, LineCount>> = RefCell::default();
}

/// Logs that input of a peer was rejected, at which step and why; limited to a few lines a second per step.
pub fn log_rejected_input(step: &'static str, peer: impl Display, cause: impl Display) {
    let second = clock::now().as_millis() / 1_000;
    let lines = LINE_COUNTS.with_borrow_mut(|steps| {
        let count = steps.entry(step).or_default();
        if count.second != second {
            *count = LineCount { second, lines: 0 };
        }
        count.lines += 1;
        count.lines
    });
    if lines <= MAX_LINES_PER_SECOND {
        let (peer, cause) = (peer.to_string(), cause.to_string());
        log::warn!(step = step, peer = peer, cause = cause; "event=input_rejected");
    }
}
