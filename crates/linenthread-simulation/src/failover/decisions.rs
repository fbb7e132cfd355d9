//! What the decision module of a coordinator requests in one step.

use linenthread_core::DecisionSink;
use linenthread_core::interface::TenthMillis;

/// What the decision module requests in one step.
#[derive(Default)]
pub(super) struct Decisions {
    pub(super) attempts: Vec<SendAttempt>,
    pub(super) responded: Vec<usize>,
    pub(super) released: Vec<usize>,
    pub(super) cancelled: Vec<CancelAttempt>,
    pub(super) health_checks: Vec<usize>,
    pub(super) wake_at: Option<TenthMillis>,
}

pub(super) struct SendAttempt {
    pub(super) query: usize,
    pub(super) sub_request: usize,
    pub(super) replica: usize,
    pub(super) timeout: TenthMillis,
}

pub(super) struct CancelAttempt {
    pub(super) query: usize,
    pub(super) sub_request: usize,
    pub(super) number: usize,
}

impl DecisionSink for Decisions {
    fn send(&mut self, query: usize, sub_request: usize, replica: usize, timeout: TenthMillis) {
        self.attempts.push(SendAttempt {
            query,
            sub_request,
            replica,
            timeout,
        });
    }

    fn cancel(&mut self, query: usize, sub_request: usize, number: usize) {
        self.cancelled.push(CancelAttempt {
            query,
            sub_request,
            number,
        });
    }

    fn respond(&mut self, query: usize, _: bool) {
        self.responded.push(query);
    }

    fn reject(&mut self, _: usize, _: Option<TenthMillis>) {}

    fn fail(&mut self, _: usize) {}

    fn release(&mut self, query: usize) {
        self.released.push(query);
    }

    fn close_idle(&mut self, _: usize) {}

    fn probe(&mut self, replica: usize) {
        self.health_checks.push(replica);
    }

    fn watch_membership(&mut self) {}

    fn wake_at(&mut self, at: TenthMillis) {
        self.wake_at = Some(at);
    }
}
