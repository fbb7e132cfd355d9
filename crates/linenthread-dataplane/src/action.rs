//! What the decision module decides in one round, as a list that the dispatcher carries out.

use linenthread_core::DecisionSink;
use linenthread_core::interface::{FailureCause, TenthMillis};

/// One decision.
pub(crate) enum Action {
    Call {
        lookup: usize,
        part: usize,
        replica: usize,
        time_out: TenthMillis,
    },
    Satisfy {
        lookup: usize,
    },
    Nack {
        lookup: usize,
        after: Option<TenthMillis>,
    },
    Abort {
        lookup: usize,
    },
    Release {
        lookup: usize,
    },
    Close {
        replica: usize,
    },
}

/// Decisions in the order they were taken.
#[derive(Default)]
pub(crate) struct Actions {
    pub list: Vec<Action>,
    pub wake: Option<TenthMillis>,
    pub given_up: GivenUp,
}

/// Lookups that were turned away or given up, by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct GivenUp {
    pub late: u64,
    pub fells: u64,
    pub hopeless: u64,
    pub slow: u64,
    pub full: u64,
}

impl DecisionSink for Actions {
    fn send(&mut self, lookup: usize, part: usize, replica: usize, time_out: TenthMillis) {
        self.list.push(Action::Call {
            lookup,
            part,
            replica,
            time_out,
        });
    }
    fn cancel(&mut self, _: usize, _: usize, _: usize) {}
    fn respond(&mut self, lookup: usize, _whole: bool) {
        self.list.push(Action::Satisfy { lookup });
    }
    fn failure_cause(&mut self, _: usize, why: FailureCause) {
        *match why {
            FailureCause::DeadlineExceeded => &mut self.given_up.late,
            FailureCause::QueryOfDeath => &mut self.given_up.fells,
            FailureCause::Unanswerable => &mut self.given_up.hopeless,
            FailureCause::ExpectedLate => &mut self.given_up.slow,
            FailureCause::Saturated => &mut self.given_up.full,
        } += 1;
    }
    fn reject(&mut self, lookup: usize, after: Option<TenthMillis>) {
        self.list.push(Action::Nack { lookup, after });
    }
    fn fail(&mut self, lookup: usize) {
        self.list.push(Action::Abort { lookup });
    }
    fn release(&mut self, lookup: usize) {
        self.list.push(Action::Release { lookup });
    }
    fn probe(&mut self, _: usize) {}
    fn close_idle(&mut self, replica: usize) {
        self.list.push(Action::Close { replica });
    }
    fn watch_membership(&mut self) {}
    fn wake_at(&mut self, at: TenthMillis) {
        self.wake = Some(self.wake.map_or(at, |w| w.min(at)));
    }
}
