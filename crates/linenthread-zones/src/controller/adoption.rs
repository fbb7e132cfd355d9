//! Decides which changes of the routes take effect: routes close at once, but open no more often than a budget allows
//! (*no-flapping*).

use linenthread_core::interface::TenthMillis;

use super::FailoverController;
use crate::ALL_KEYS;
use crate::health::OPENINGS_OF_RETURN;
use crate::table::Row;

/// The maximum of the budget: routes may open further this many times in a row, and once more per minute. The steps of
/// a return that an operator ordered are added to it.
const MAX_OPENINGS: f64 = 20.0;
/// The budget that a new leader begins with.
const INITIAL_OPENINGS: f64 = 5.0;
const TENTHS_PER_MINUTE: TenthMillis = 600_000;
/// A change of a share by no more than this part of the larger one does not by itself cause a new table, unless the
/// route opens to all keys.
const MIN_RELATIVE_CHANGE: f64 = 0.05;

/// The budget that limits how often routes open further.
#[derive(Clone, Debug)]
pub(super) struct OpeningBudget {
    openings: f64,
    refilled_at: TenthMillis,
    opened_at: TenthMillis,
}

impl OpeningBudget {
    pub(super) fn new(now: TenthMillis) -> OpeningBudget {
        OpeningBudget {
            openings: INITIAL_OPENINGS,
            refilled_at: now,
            opened_at: now,
        }
    }

    fn refill(&mut self, now: TenthMillis) {
        let refilled = self.openings + (now - self.refilled_at) as f64 / TENTHS_PER_MINUTE as f64;
        // Above the maximum, through openings for an ordered return, the budget is kept but not refilled.
        self.openings = refilled.min(MAX_OPENINGS.max(self.openings));
        self.refilled_at = now;
    }

    /// Adds the openings of a return that an operator ordered, so that it does not use up the budget for failures: an
    /// ordered return is not flapping.
    pub(super) fn allow_ordered_return(&mut self) {
        self.openings += OPENINGS_OF_RETURN;
    }

    fn spend(&mut self, now: TenthMillis) {
        self.openings -= 1.0;
        self.opened_at = now;
    }
}

/// The differences between the routes of two tables.
#[derive(Clone, Copy, Default)]
struct Changes {
    /// Some route closes further, by a relevant difference.
    closes: bool,
    /// Some route opens further, to all keys or by a relevant difference.
    opens: bool,
    /// Some route has another reason.
    reasons: bool,
}

impl Changes {
    fn between(new: &[Row], current: &[Row]) -> Changes {
        let mut changes = Changes::default();
        let new = new.iter().flat_map(|row| &row.routes);
        let current = current.iter().flat_map(|row| &row.routes);
        for (new, current) in new.zip(current) {
            let (a, b) = (f64::from(new.share), f64::from(current.share));
            let is_relevant = (a - b).abs() > MIN_RELATIVE_CHANGE * a.max(b);
            changes.closes |= new.share < current.share && is_relevant;
            changes.opens |= new.share > current.share && (new.share == ALL_KEYS || is_relevant);
            changes.reasons |= new.reason != current.reason;
        }
        changes
    }
}

/// The part of new routes that takes effect.
enum Adoption {
    Everything,
    /// Routes that close further do so; those that would open further stay as they are.
    OnlyClosing,
    Nothing,
}

impl FailoverController {
    /// Applies these routes as far as they may take effect now, and reports whether anything was applied.
    pub(super) fn adopt(&mut self, rows: Vec<Row>, now: TenthMillis) -> bool {
        self.budget.refill(now);
        let changes = Changes::between(&rows, &self.rows);
        match self.adoption(changes, now) {
            Adoption::Nothing => return false,
            Adoption::OnlyClosing => self.close_only(&rows),
            Adoption::Everything => {
                self.budget.spend(now);
                self.rows = rows;
            }
        }
        true
    }

    fn adoption(&self, changes: Changes, now: TenthMillis) -> Adoption {
        if changes.opens && self.may_open(changes, now) {
            Adoption::Everything
        } else if changes.closes || changes.reasons && !changes.opens {
            Adoption::OnlyClosing
        } else {
            Adoption::Nothing
        }
    }

    /// Reports whether the budget allows an opening. An opening for capacity alone must also wait for the duration of a
    /// return's step since the last one.
    fn may_open(&self, changes: Changes, now: TenthMillis) -> bool {
        let is_step_over = now >= self.budget.opened_at + self.config.return_step;
        self.budget.openings >= 1.0 && (changes.reasons || is_step_over)
    }

    fn close_only(&mut self, rows: &[Row]) {
        let new = rows.iter().flat_map(|row| &row.routes);
        let current = self.rows.iter_mut().flat_map(|row| &mut row.routes);
        for (new, current) in new.zip(current) {
            if new.share <= current.share {
                *current = *new;
            }
        }
    }
}
