//! Log lines about input that was rejected. Peers cause them, so their number is limited.

use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt::Display;

use crate::clock;

/// The most lines for one step in a second.
const MAX_LINES_PER_SECOND: u32 = 5;

/// The lines for one step in the second of the last one.
#[derive(Clone, Copy, Default)]
struct Logged {
    second: u64,
    lines: u32,
}

thread_local! {
    static LOGGED: RefCell<HashMap<&'static str, Logged>> = RefCell::default();
}

/// Logs that what a peer sent was rejected, at which step and why; a few lines a second for each step.
pub fn log_rejected_input(step: &'static str, peer: impl Display, cause: impl Display) {
    let second = clock::now().as_millis() / 1_000;
    let lines = LOGGED.with_borrow_mut(|steps| {
        let logged = steps.entry(step).or_default();
        if logged.second != second {
            *logged = Logged { second, lines: 0 };
        }
        logged.lines += 1;
        logged.lines
    });
    if lines <= MAX_LINES_PER_SECOND {
        let (peer, cause) = (peer.to_string(), cause.to_string());
        log::warn!(step = step, peer = peer, cause = cause; "event=input_rejected");
    }
}
