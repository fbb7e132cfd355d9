//! Checks responses of control nodes to operators and replicas, and delivers them to the callers.

use std::time::Duration;

use linenthread_control::{CallId, Order, Response, Revision};

use super::checker::QUORUM_TIMEOUT;
use super::event::Event;
use super::requests::Request;
use super::world::World;

/// A disk is lost after one acknowledgement in this many.
const LOSS_AFTER_ACKNOWLEDGEMENT_ONE_IN: u64 = 12;
/// The same while operators send changes in quick succession.
const LOSS_AFTER_FAST_ACKNOWLEDGEMENT_ONE_IN: u64 = 120;

/// A loss follows the first acknowledgement of one drain in this many.
const LOSS_AFTER_DRAIN_ONE_IN: u64 = 30;
/// Exclusive upper bound of the time from a drain's acknowledgement to that loss, in milliseconds. It exceeds the interval
/// at which control nodes write their replicas to disk.
const LOSS_AFTER_DRAIN_RANGE_MS: u64 = 1_300;

impl World {
    /// Handles the response to a call; ignored if nobody waits for it any more.
    pub(super) fn on_response(&mut self, node: usize, call: CallId, response: Response) {
        let Some(request) = self.calls.remove(call) else {
            return;
        };
        self.check_response_has_quorum(node, &response);
        match (request, response) {
            (Request::Replace { operator, change }, response) => {
                self.on_change_response(node, operator, change, &response);
            }
            (Request::Retry { change, .. }, Response::Committed(_)) => {
                self.report.coverage.retries_committed += 1;
                self.check_is_committed(node, &change);
            }
            (Request::Retry { change, later }, Response::Conflict(_)) => {
                self.check_rejection(node, &change, later);
            }
            (Request::Retry { .. }, _) => self.report.coverage.retries_unclear += 1,
            (Request::Rival { change }, Response::Committed(_)) => {
                self.on_rival_acknowledged(node, &change);
            }
            (Request::Rival { .. }, Response::Conflict(_)) => {
                self.report.coverage.rivals_rejected += 1;
            }
            (
                Request::Read {
                    operator,
                    acknowledged,
                },
                Response::Document(value),
            ) => {
                self.check_read(acknowledged, &value);
                self.operators[operator].revision = Revision::of(&value);
            }
            (Request::Drain { replica_id }, Response::Acknowledged { .. }) => {
                self.on_drain_acknowledged(node, &replica_id);
            }
            _ => {}
        }
    }

    fn on_drain_acknowledged(&mut self, node: usize, replica_id: &str) {
        self.check_drain(node, replica_id);
        let now = self.now();
        let is_first = self.replicas.on_drain_acknowledged(replica_id, now);
        if !is_first || self.is_healed() || !self.random.one_in(LOSS_AFTER_DRAIN_ONE_IN) {
            return;
        }
        let delay = Duration::from_millis(1) + self.random.millis_below(LOSS_AFTER_DRAIN_RANGE_MS);
        self.push_in(delay, Event::LossAfterDrain { node });
    }

    fn check_response_has_quorum(&mut self, node: usize, response: &Response) {
        match response {
            // Only decided changes are acknowledged, see `check_acknowledgement`. A node that has just started may have
            // learned of the decision from a single node, without contact to a quorum so far.
            Response::Committed(_)
                if self.now() < self.machines[node].started_at + QUORUM_TIMEOUT => {}
            Response::Committed(revision) => {
                self.check_quorum(node, &format!("Committed {revision}"));
            }
            Response::Conflict(revision) => {
                self.check_quorum(node, &format!("Conflict {revision}"));
            }
            Response::Document(value) => {
                self.check_quorum(node, &format!("Document {}", value.revision));
            }
            Response::Acknowledged { .. } => self.check_quorum(node, "Acknowledged"),
            _ => {}
        }
    }

    /// Handles the response to an operator's change.
    fn on_change_response(
        &mut self,
        node: usize,
        operator: usize,
        change: Order,
        response: &Response,
    ) {
        match response {
            Response::Committed(_) => {
                self.check_acknowledgement(node, &change);
                self.operators[operator].on_clear_response(change.revision);
                self.history.acknowledged.insert(change.revision, change);
                self.draw_loss_after_acknowledgement(node);
            }
            Response::Conflict(revision) => {
                self.check_rejection(node, &change, 0);
                self.history.add_rejected(change);
                self.operators[operator].on_clear_response(*revision);
            }
            _ => self.operators[operator].in_flight = None,
        }
    }

    fn draw_loss_after_acknowledgement(&mut self, node: usize) {
        if self.is_healed() {
            return;
        }
        let one_in = if self.is_fast() {
            LOSS_AFTER_FAST_ACKNOWLEDGEMENT_ONE_IN
        } else {
            LOSS_AFTER_ACKNOWLEDGEMENT_ONE_IN
        };
        if self.random.one_in(one_in) {
            let delay = Duration::from_millis(1) + self.random.millis_below(3);
            self.push_in(delay, Event::LossAfterAcknowledgement { node });
        }
    }
}
