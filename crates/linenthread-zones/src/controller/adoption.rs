//! Which changes of the routes are acted on: routes close at once, and open no more often than a budget allows
//! (*no-flapping*).

use linenthread_core::interface::TenthMillis;

use super::FailoverController;
use crate::ALL_KEYS;
use crate::health::OPENINGS_OF_RETURN;
use crate::table::Row;

/// How often routes may be opened further: this many times in a row, and once more with each minute that passes. Steps
/// of a return that an operator ordered come on top.
const MAX_OPENINGS: f64 = 20.0;
/// A new leader may open routes so often at first.
const INITIAL_OPENINGS: f64 = 5.0;
const MINUTE: TenthMillis = 600_000;
/// Shares that differ by less than this part are not worth a new table.
const MIN_RELATIVE_CHANGE: f64 = 0.05;

/// Limits how often routes are opened further.
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
        let refilled = self.openings + (now - self.refilled_at) as f64 / MINUTE as f64;
        // What an order allowed may exceed the maximum, but does not grow.
        self.openings = refilled.min(MAX_OPENINGS.max(self.openings));
        self.refilled_at = now;
    }

    /// An operator lets a zone return. Its steps are not taken from what failures may use: an order is no flapping.
    pub(super) fn allow_ordered_return(&mut self) {
        self.openings += OPENINGS_OF_RETURN;
    }

    fn spend(&mut self, now: TenthMillis) {
        self.openings -= 1.0;
        self.opened_at = now;
    }
}

/// What differs between two tables' routes.
#[derive(Clone, Copy, Default)]
struct Changes {
    /// Some route closes further, by more than a little.
    closes: bool,
    /// Some route opens further, to all keys or by more than a little.
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

/// Which part of new routes is acted on.
enum Adoption {
    Everything,
    /// What closes is closed; what would open stays as it is.
    OnlyClosing,
    Nothing,
}

impl FailoverController {
    /// Adopts these routes as far as they may be acted on now, and returns whether any has changed.
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

    /// Capacity that comes and goes, with no other reason, is followed upwards no faster than a zone returns.
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
