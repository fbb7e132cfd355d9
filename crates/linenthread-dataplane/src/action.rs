//! What the decision module decides in one round, as a list that the dispatcher carries out.

use linenthread_core::Writer;
use linenthread_core::interface::{Tenths, Why};

/// One decision.
pub(crate) enum Action {
    Call {
        lookup: usize,
        part: usize,
        replica: usize,
        time_out: Tenths,
    },
    Satisfy {
        lookup: usize,
    },
    Nack {
        lookup: usize,
        after: Option<Tenths>,
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
    pub wake: Option<Tenths>,
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

impl Writer for Actions {
    fn call(&mut self, lookup: usize, part: usize, replica: usize, time_out: Tenths) {
        self.list.push(Action::Call {
            lookup,
            part,
            replica,
            time_out,
        });
    }
    fn withdraw(&mut self, _: usize, _: usize, _: usize) {}
    fn satisfy(&mut self, lookup: usize, _whole: bool) {
        self.list.push(Action::Satisfy { lookup });
    }
    fn given_up(&mut self, _: usize, why: Why) {
        *match why {
            Why::Late => &mut self.given_up.late,
            Why::Fells => &mut self.given_up.fells,
            Why::Hopeless => &mut self.given_up.hopeless,
            Why::Slow => &mut self.given_up.slow,
            Why::Full => &mut self.given_up.full,
        } += 1;
    }
    fn nack(&mut self, lookup: usize, after: Option<Tenths>) {
        self.list.push(Action::Nack { lookup, after });
    }
    fn abort(&mut self, lookup: usize) {
        self.list.push(Action::Abort { lookup });
    }
    fn release(&mut self, lookup: usize) {
        self.list.push(Action::Release { lookup });
    }
    fn probe(&mut self, _: usize) {}
    fn close(&mut self, replica: usize) {
        self.list.push(Action::Close { replica });
    }
    fn watch_roster(&mut self) {}
    fn wake_at(&mut self, at: Tenths) {
        self.wake = Some(self.wake.map_or(at, |w| w.min(at)));
    }
}
