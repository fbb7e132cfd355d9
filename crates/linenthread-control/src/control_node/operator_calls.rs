//! Operator calls: replacing and reading the configuration.

use std::time::Duration;

use linenthread_consensus::{Change, Order};
use linenthread_time::Instant;

use crate::pending_jobs::JobOwner;
use crate::timing::CALL_TIMEOUT;
use crate::{CallId, ControlNode, Effect};

/// The deadline of a call that replaces the configuration is extended by 1 ms for each of this many bytes.
const BYTES_PER_MILLISECOND: u64 = 1_000;

impl ControlNode {
    /// Proposes a configuration sent by an operator. The response follows as an effect once the outcome is known, or when
    /// the call times out.
    pub fn replace_configuration(
        &mut self,
        now: Instant,
        call: CallId,
        order: Order,
        effects: &mut Vec<Effect>,
    ) {
        self.detect_pause(now, effects);
        if let Some(response) = self.register_call_rejection(now) {
            effects.push(Effect::Respond { call, response });
            return;
        }
        let job = self.pending_jobs.add(JobOwner::Call(call));
        let transfer = Duration::from_millis(order.document.len() as u64 / BYTES_PER_MILLISECOND);
        let deadline = now + CALL_TIMEOUT + transfer;
        self.drive_register(
            now,
            |register, register_effects| {
                register.propose(now, job, Change::Order(order), deadline, register_effects);
            },
            effects,
        );
    }

    /// Reads the newest configuration for an operator. The response follows as an effect once a majority of the voters
    /// has confirmed that the value is the newest, or when the call times out.
    pub fn read_configuration(&mut self, now: Instant, call: CallId, effects: &mut Vec<Effect>) {
        self.detect_pause(now, effects);
        if let Some(response) = self.register_call_rejection(now) {
            effects.push(Effect::Respond { call, response });
            return;
        }
        let job = self.pending_jobs.add(JobOwner::Call(call));
        let deadline = now + CALL_TIMEOUT;
        self.drive_register(
            now,
            |register, register_effects| {
                register.read(now, job, deadline, register_effects);
            },
            effects,
        );
    }
}
