//! A simulated replica with a queue, several cores and a slow start.

use std::collections::VecDeque;

use linenthread_core::interface::TenthMillis;

use super::event::AttemptIndex;
use super::{CORES, SECOND, SERVICE_TIME};
use crate::number;

/// How long a replica warms up after its start.
pub(super) const WARM_UP: TenthMillis = 10 * SECOND;
/// The speed of a replica that has just started, as a fraction of full speed.
pub(super) const INITIAL_SPEED: f64 = 0.2;
/// The ratio of arriving attempts to capacity above which, for a second, a replica that warms up fails.
const MAX_OVERLOAD: f64 = 2.0;

#[derive(Clone, Default)]
pub(super) struct Replica {
    pub(super) is_up: bool,
    /// Incremented by each stop.
    pub(super) incarnation: u32,
    /// When it started; `None` if it has been running, and warm, since before the run.
    pub(super) started_at: Option<TenthMillis>,
    pub(super) processing: Vec<AttemptIndex>,
    pub(super) queue: VecDeque<AttemptIndex>,
    /// The arrival times of the attempts of the last second.
    arrivals: VecDeque<TenthMillis>,
    overloaded_since: Option<TenthMillis>,
    has_failed: bool,
}

impl Replica {
    pub(super) fn running() -> Replica {
        Replica {
            is_up: true,
            ..Replica::default()
        }
    }

    /// Restarts the replica, which then has to warm up.
    pub(super) fn restart(&mut self, now: TenthMillis) {
        *self = Replica {
            started_at: Some(now),
            incarnation: self.incarnation,
            ..Replica::running()
        };
    }

    /// Stops the replica and returns the attempts that are lost.
    pub(super) fn stop(&mut self) -> Vec<AttemptIndex> {
        self.is_up = false;
        self.incarnation += 1;
        let processing = self.processing.drain(..);
        processing.chain(self.queue.drain(..)).collect()
    }

    /// Returns its speed as a fraction of a warm replica's.
    pub(super) fn warm_up_speed(&self, now: TenthMillis) -> f64 {
        self.started_at.map_or(1.0, |started_at| {
            let age = number::time_to_f64((now - started_at).max(0)) / number::time_to_f64(WARM_UP);
            (INITIAL_SPEED + (1.0 - INITIAL_SPEED) * age).min(1.0)
        })
    }

    /// Records the arrival of an attempt and reports whether the replica fails from overload. A replica fails, once at
    /// most, if for a second while it warms up the attempts exceed [`MAX_OVERLOAD`] times its capacity at `speed`.
    pub(super) fn fails_on_arrival(&mut self, now: TenthMillis, speed: f64) -> bool {
        self.arrivals.push_back(now);
        while self.arrivals.front().is_some_and(|at| *at < now - SECOND) {
            self.arrivals.pop_front();
        }
        let max_arrivals = MAX_OVERLOAD * speed * number::to_f64(CORES) / SERVICE_TIME
            * number::time_to_f64(SECOND);
        let is_warming_up = self.started_at.is_some_and(|at| now - at < WARM_UP);
        if !is_warming_up || number::to_f64(self.arrivals.len()) <= max_arrivals {
            self.overloaded_since = None;
            return false;
        }
        let overloaded_since = *self.overloaded_since.get_or_insert(now);
        let fails = now - overloaded_since >= SECOND && !self.has_failed;
        self.has_failed |= fails;
        fails
    }
}
