//! What it takes a machine that was started to have the newest value.

use linenthread_messages::{Envelope, PeerMessage};
use prost::Message;

use super::world::World;

/// Messages that a machine may need, and bytes beside those that go with the number of changes.
const MESSAGES: usize = 400;
const BYTES: usize = 192 << 10;
/// Bytes that may be remembered of each order that was taken.
pub(super) const BYTES_A_CHANGE: usize = 48;
/// How long it may take once all is calm.
const TIME: u64 = 6_000;

pub(super) struct CatchUp {
    /// The newest value when it was started.
    goal: u64,
    since: u64,
    messages: usize,
    bytes: usize,
}

impl CatchUp {
    pub(super) fn new(goal: u64, since: u64) -> CatchUp {
        CatchUp {
            goal,
            since,
            messages: 0,
            bytes: 0,
        }
    }

    pub(super) fn count(&mut self, word: &PeerMessage) {
        self.messages += 1;
        self.bytes += Envelope {
            message: Some(word.clone()),
        }
        .encoded_len();
    }
}

impl World {
    /// *catches-up*: with a bounded number of messages and bytes, and in calm in time.
    pub(super) fn judge_catch_up(&mut self, n: usize, number: u64) {
        let Some(catch_up) = self.nodes[n].catch_up.as_ref().filter(|c| number >= c.goal) else {
            return;
        };
        let (messages, bytes, ms) = (catch_up.messages, catch_up.bytes, self.now - catch_up.since);
        let in_calm = self.calm_from.is_some_and(|calm| catch_up.since >= calm);
        self.nodes[n].catch_up = None;
        self.told.most_catch_up_messages = self.told.most_catch_up_messages.max(messages);
        self.told.most_catch_up_bytes = self.told.most_catch_up_bytes.max(bytes);
        let most = BYTES + BYTES_A_CHANGE * self.history.len();
        // In troubles a machine may be cut off, and hears other things meanwhile.
        if in_calm && (messages > MESSAGES || bytes > most || ms > TIME) {
            self.breach(format!(
                "catches-up: {n} needed {messages} messages, {bytes} bytes, {ms} ms"
            ));
        }
    }

    /// Those that were started in the calm and are not there yet.
    pub(super) fn judge_still_behind(&mut self) {
        for n in 0..self.nodes.len() {
            let late = |w: &World| {
                let catch_up = w.nodes[n].catch_up.as_ref()?;
                (w.now > catch_up.since.max(w.calm_from?) + TIME).then_some(catch_up.goal)
            };
            if let Some(goal) = late(self) {
                self.breach(format!("catches-up: {n} is still without value {goal}"));
            }
        }
    }
}
