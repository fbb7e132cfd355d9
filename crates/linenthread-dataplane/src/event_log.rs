//! Log lines about what peers send, bounded in number.

use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt::Display;

use crate::clock;

/// Lines of one kind in a second.
const MOST: u32 = 5;

thread_local! {
    static SAID: RefCell<HashMap<&'static str, (u64, u32)>> = RefCell::default();
}

/// What a peer sent could not be taken: a line with the step and the peer, a few a second for each step.
pub fn refused(step: &'static str, peer: impl Display, cause: impl Display) {
    let second = clock::ms() / 1_000;
    let said = SAID.with_borrow_mut(|all| {
        let (at, lines) = all.entry(step).or_default();
        (*at, *lines) = if *at == second {
            (second, *lines + 1)
        } else {
            (second, 1)
        };
        *lines
    });
    if said <= MOST {
        let (peer, cause) = (peer.to_string(), cause.to_string());
        log::warn!(step = step, peer = peer, cause = cause; "event=input_rejected");
    }
}
