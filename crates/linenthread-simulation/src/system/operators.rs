//! Concurrent operators: each sends a change until it gets a clear response, and reads the configuration. Changes that
//! were committed earlier, and rival changes of the same revision, are sent again to any node.

use std::time::Duration;

use linenthread_control::{CallId, Order, Revision};

use super::event::Event;
use super::requests::Request;
use super::world::World;

/// Numbers of later committed changes after which a change is sent again; one is drawn for each retry.
const RETRY_AFTER_CHANGES: [usize; 4] = [1, 10, 70, 300];
/// Time for which an operator waits for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Distance from the newest revision to one that no operator uses yet.
const UNUSED_REVISION_DISTANCE: u64 = 1_000;

// --- operators ---

impl World {
    pub(super) fn step_operator(&mut self, operator: usize) {
        let now = self.now();
        let wait = if self.is_fast() {
            Duration::from_millis(1) + self.random.millis_below(25)
        } else {
            Duration::from_millis(150) + self.random.millis_below(700)
        };
        self.push_in(wait, Event::OperatorStep { operator });
        let node = self.random_machine();
        let in_flight = self.operators[operator].in_flight;
        if in_flight.is_some_and(|call| now < call.sent_at + RESPONSE_TIMEOUT) {
            return;
        }
        if let Some(timed_out) = self.operators[operator].in_flight.take() {
            // The operator gives up the call, so a later response is ignored.
            self.calls.remove(timed_out.call);
        }
        if !self.is_running(node) {
            return;
        }
        let one_read_in = if self.is_fast() { 20 } else { 3 };
        if self.operators[operator].change.is_none() && self.random.one_in(one_read_in) {
            self.send_operator_read(node, operator);
        } else {
            self.send_operator_change(node, operator);
        }
    }

    fn send_operator_read(&mut self, node: usize, operator: usize) {
        let now = self.now();
        if let Some(call) = self.send_read(node, operator) {
            self.operators[operator].on_sent(call, now);
            self.run_read(node, call);
        }
    }

    fn send_operator_change(&mut self, node: usize, operator: usize) {
        let now = self.now();
        let change = match self.operators[operator].change.clone() {
            Some(change) => change,
            None => self.draw_change(operator),
        };
        let request = Request::Replace {
            operator,
            change: change.clone(),
        };
        if let Some(call) = self.add_call(node, request) {
            self.operators[operator].on_sent(call, now);
            self.run_replace(node, call, change);
        }
    }

    fn draw_change(&mut self, operator: usize) -> Order {
        let base = self.operators[operator].revision;
        let own_number = u64::try_from(operator).unwrap_or(u64::MAX);
        let revision = if self.plan.revisions_collide {
            base.get() + 1 + self.random.below(2)
        } else {
            let operators = u64::try_from(self.operators.len()).unwrap_or(u64::MAX);
            base.get() + 1 + operators * self.random.below(3) + own_number
        };
        let revision = Revision::new(revision);
        let document = format!(
            "{{\"by\":{operator},\"revision\":{revision},\"at\":{}}}",
            self.now().as_millis()
        )
        .into_bytes();
        let change = Order {
            base,
            revision,
            document,
        };
        self.history.sent.push(change.clone());
        self.operators[operator].change = Some(change.clone());
        change
    }
}

// --- retries of committed changes ---

impl World {
    /// Sends a committed change again, or a rival of it, and schedules the next retry.
    pub(super) fn step_retry(&mut self) {
        let wait = if self.is_fast() {
            Duration::from_millis(100) + self.random.millis_below(400)
        } else {
            Duration::from_millis(400) + self.random.millis_below(1_200)
        };
        self.push_in(wait, Event::RetryCommittedChange);
        let node = self.random_machine();
        let later = RETRY_AFTER_CHANGES[self.random.index(RETRY_AFTER_CHANGES.len())];
        if self.is_running(node) {
            self.retry_change(node, later);
        }
    }

    fn retry_change(&mut self, node: usize, later: usize) {
        let Some(index) = self.history.changes.len().checked_sub(later + 1) else {
            return;
        };
        let mut change = self.history.changes[index].clone();
        let request = if self.random.one_in(3) {
            change.document.push(b' ');
            Request::Rival {
                change: change.clone(),
            }
        } else {
            Request::Retry {
                change: change.clone(),
                later,
            }
        };
        if let Some(call) = self.add_call(node, request) {
            self.run_replace(node, call, change);
        }
    }

    /// Sends the changes at each of the distances, the newest one and the first one again to every node, after the
    /// faults.
    pub(super) fn retry_all_changes(&mut self) {
        let first = self.history.changes.len().saturating_sub(1);
        for node in 0..self.machines.len() {
            for later in RETRY_AFTER_CHANGES.into_iter().chain([0, first]) {
                if self.is_running(node) {
                    self.retry_change(node, later);
                }
            }
        }
    }

    /// Sends requests to a process as soon as it resumes from a pause, before it receives a message of another node.
    pub(super) fn send_requests_on_resume(&mut self, node: usize) {
        if !self.is_running(node) {
            return;
        }
        self.retry_change(node, 1);
        if let Some(newest) = self.history.changes.last().cloned() {
            // The base precedes the newest committed revision, but the resumed node may still take it for the newest
            // one. It must not give a definite response without a quorum.
            let stale = Order {
                base: newest.base,
                revision: Revision::new(newest.revision.get() + UNUSED_REVISION_DISTANCE),
                document: b"{}".to_vec(),
            };
            let request = Request::Rival {
                change: stale.clone(),
            };
            if let Some(call) = self.add_call(node, request) {
                self.run_replace(node, call, stale);
            }
        }
        if let Some(call) = self.send_read(node, 0) {
            self.run_read(node, call);
        }
        self.send_replica_call(node);
    }
}

// --- calls ---

impl World {
    /// Records a call; returns `None` if the node has no process.
    pub(super) fn add_call(&mut self, node: usize, request: Request) -> Option<CallId> {
        self.is_up(node).then(|| self.calls.add(node, request))
    }

    fn send_read(&mut self, node: usize, operator: usize) -> Option<CallId> {
        let request = Request::Read {
            operator,
            acknowledged: self.history.newest_acknowledged(),
        };
        self.add_call(node, request)
    }

    fn run_read(&mut self, node: usize, call: CallId) {
        self.run(node, |control, now, effects| {
            control.read_configuration(now, call, effects);
        });
    }

    fn run_replace(&mut self, node: usize, call: CallId, change: Order) {
        self.run(node, |control, now, effects| {
            control.replace_configuration(now, call, change, effects);
        });
    }
}
