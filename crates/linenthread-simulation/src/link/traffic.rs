//! The calls that the user of the client makes, and their execution by the server.

use linenthread_core::interface::AttemptOutcome;
use linenthread_link::frame::CallOutcome;
use linenthread_link::{Call, CallId, CallNumber, ClientAction, SessionId};

use super::MILLISECOND;
use super::call_record::CallRecord;
use super::event::Event;
use super::invariant::Invariant;
use super::world::World;
use crate::number;

impl World {
    /// Makes a call as the user of the client, and schedules the next one.
    pub(super) fn make_call(&mut self, actions: &mut Vec<ClientAction>) {
        let number = number::to_u64(self.records.len());
        let deadline = self.now + 100 * MILLISECOND + self.draw_below(900 * MILLISECOND);
        self.records.insert(
            number,
            CallRecord {
                made_at: self.now,
                deadline,
                ..CallRecord::default()
            },
        );
        let call = Call {
            replica: "r".into(),
            query: format!("l{number}"),
            shard: 0,
            continuation: 0,
            text: number.to_string(),
        };
        let priority = u32::try_from(number % 3).unwrap_or_default();
        let id = self
            .client
            .call(self.now, call, deadline, priority, actions);
        self.calls.insert(id, number);
        self.schedule(deadline - self.now, Event::Deadline(id));
        let after = 1 + self.draw_below(60 * MILLISECOND);
        self.schedule(after, Event::MakeCall);
    }

    /// Withdraws a call whose deadline has expired, unless it has ended.
    pub(super) fn withdraw_call(&mut self, id: CallId, actions: &mut Vec<ClientAction>) {
        let number = self.calls.get(&id).copied().unwrap_or_default();
        let record = self.records.get_mut(&number);
        if let Some(record) = record.filter(|record| record.outcome.is_none()) {
            record.outcome = Some(AttemptOutcome::TimedOut);
            self.client.withdraw(id, actions);
        }
    }

    /// Runs a call at the server, with a random outcome and duration. Checks *at-most-once*.
    pub(super) fn run_call(&mut self, session: SessionId, number: CallNumber, call: &Call) {
        let id: u64 = call.text.parse().unwrap_or_default();
        let outcome = match self.draw_below(12) {
            0 => AttemptOutcome::Rejected,
            1 => AttemptOutcome::Error,
            _ => AttemptOutcome::Success,
        };
        if !outcome.never_ran()
            && let Some(record) = self.records.get_mut(&id)
        {
            record.runs += 1;
            if record.runs > 1 {
                self.record_violation(Invariant::AtMostOnce, &format!("call {id} ran twice"));
            }
        }
        let after = 1 + self.draw_below(60 * MILLISECOND);
        let event = Event::CallRan {
            incarnation: self.server_incarnation,
            session,
            outcome: CallOutcome {
                number,
                outcome,
                queue_depth: None,
                value: id.to_string(),
            },
        };
        self.schedule(after, event);
    }

    /// Records the outcome of a call that the client reports. Checks *one-outcome* and *success-ran-once*.
    pub(super) fn on_completed(&mut self, id: CallId, outcome: AttemptOutcome, value: &str) {
        let Some(number) = self.calls.get(&id).copied() else {
            return;
        };
        let Some(record) = self.records.get_mut(&number) else {
            return;
        };
        let earlier = record.outcome.replace(outcome);
        let runs = record.runs;
        if let Some(earlier) = earlier {
            self.record_violation(
                Invariant::OneOutcome,
                &format!("call {number} ended as {earlier:?} and then as {outcome:?}"),
            );
        }
        if outcome == AttemptOutcome::Success && (runs != 1 || value != number.to_string()) {
            self.record_violation(
                Invariant::SuccessRanOnce,
                &format!("call {number} succeeded with {value}, and ran {runs} times"),
            );
        }
    }
}
