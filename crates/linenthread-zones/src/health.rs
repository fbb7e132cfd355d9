//! The health states of a zone, or of the route between a pair of zones.

use linenthread_core::interface::TenthMillis;

use crate::ALL_KEYS;
use crate::config::FailoverConfig;

/// Consecutive evaluations with the same finding that are needed for a change of state.
pub(crate) const CONFIRMATIONS: u32 = 2;
/// The share of keys, in thousandths, that a returning zone gets in each step.
pub(crate) const RETURN_SHARES: [u16; 3] = [50, 150, 400];
/// The number of times that the routes to a returning zone open further: once per step, then once to all keys.
pub(crate) const OPENINGS_OF_RETURN: f64 = RETURN_SHARES.len() as f64 + 1.0;
/// The maximum number of times that the duration of an ejection is doubled.
const MAX_DOUBLINGS: u32 = 16;

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum State {
    /// Open to all keys.
    Healthy,
    /// Open as far as its capacity at its current latency allows.
    Slow { until: TenthMillis },
    /// Closed for some time, whatever is observed meanwhile, since too little traffic is left for evidence.
    Ejected { until: TenthMillis },
    /// Open to few keys, then step by step to more.
    Returning {
        /// An index into [`RETURN_SHARES`].
        step: usize,
        until: TenthMillis,
    },
    /// Closed by an operator, until the operator ends the drain.
    Drained,
}

impl State {
    /// Returns the state at the first step of a return.
    pub(crate) fn returning(now: TenthMillis, config: &FailoverConfig) -> State {
        State::returning_at(0, now, config)
    }

    pub(crate) fn returning_at(step: usize, now: TenthMillis, config: &FailoverConfig) -> State {
        State::Returning {
            step,
            until: now + config.return_step,
        }
    }

    pub(crate) fn is_slow(self) -> bool {
        matches!(self, State::Slow { .. })
    }

    /// Reports whether it is healthy or slow: open to all keys as far as its capacity allows.
    pub(crate) fn is_serving(self) -> bool {
        matches!(self, State::Healthy | State::Slow { .. })
    }
}

/// What an evaluation found about a zone, or about the route between a pair of zones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Finding {
    NotDown,
    /// Observers still find it down because of earlier failures, but nothing failed there in the interval.
    DownBefore,
    /// Observers find it down, and sub-requests failed there in the interval.
    Down,
}

impl Finding {
    pub(crate) fn new(is_down: bool, has_failures: bool) -> Finding {
        match (is_down, has_failures) {
            (false, _) => Finding::NotDown,
            (true, false) => Finding::DownBefore,
            (true, true) => Finding::Down,
        }
    }

    pub(crate) fn is_down(self) -> bool {
        self != Finding::NotDown
    }
}

/// The state of a zone, or of the route between a pair of zones, and the evidence for its next one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Health {
    pub(crate) state: State,
    /// Consecutive evaluations that found it down.
    down_count: u32,
    /// Consecutive evaluations that found it slow.
    slow_count: u32,
    /// Recent ejections; each further one lasts twice as long.
    ejections: u32,
    /// When it became healthy, or when `ejections` was last reduced by one.
    healthy_since: TenthMillis,
}

impl Health {
    pub(crate) fn new(state: State, now: TenthMillis) -> Health {
        Health {
            state,
            down_count: 0,
            slow_count: 0,
            ejections: 0,
            healthy_since: now,
        }
    }

    /// Restores the health from a former leader's table; an ejected or returning one counts as ejected once.
    pub(crate) fn restored(state: State, was_ejected: bool, now: TenthMillis) -> Health {
        Health {
            ejections: u32::from(was_ejected),
            ..Health::new(state, now)
        }
    }

    pub(crate) fn drain(&mut self) {
        self.state = State::Drained;
    }

    /// Begins the return if an operator had drained it, and reports whether that is so.
    pub(crate) fn end_drain(&mut self, now: TenthMillis, config: &FailoverConfig) -> bool {
        let was_drained = self.state == State::Drained;
        if was_drained {
            self.state = State::returning(now, config);
        }
        was_drained
    }

    fn eject(&mut self, now: TenthMillis, config: &FailoverConfig) {
        let ejection_time = config.ejection_time << self.ejections.min(MAX_DOUBLINGS);
        self.ejections += 1;
        self.down_count = 0;
        self.state = State::Ejected {
            until: now + ejection_time.min(config.max_ejection_time),
        };
    }

    /// Applies the finding of one evaluation, and the transitions that are due by now.
    pub(crate) fn evaluate(&mut self, now: TenthMillis, finding: Finding, config: &FailoverConfig) {
        self.down_count = if finding.is_down() {
            self.down_count + 1
        } else {
            0
        };
        match self.state {
            State::Healthy | State::Slow { .. } if self.down_count >= CONFIRMATIONS => {
                self.eject(now, config);
            }
            State::Healthy
                if self.ejections > 0 && now - self.healthy_since >= config.max_ejection_time =>
            {
                self.ejections -= 1;
                self.healthy_since = now;
            }
            State::Ejected { until } if now >= until => {
                self.down_count = 0;
                self.state = State::returning(now, config);
            }
            // Few keys are routed here, so one evaluation is enough.
            State::Returning { .. } if finding == Finding::Down => self.eject(now, config),
            // The failures may be older than the return: it neither ends nor advances until observers forget them.
            State::Returning { .. } if finding == Finding::DownBefore => {}
            State::Returning { step, until } if now >= until => {
                if step + 1 < RETURN_SHARES.len() {
                    self.state = State::returning_at(step + 1, now, config);
                } else {
                    self.healthy_since = now;
                    self.state = State::Healthy;
                }
            }
            State::Healthy
            | State::Slow { .. }
            | State::Ejected { .. }
            | State::Returning { .. }
            | State::Drained => {}
        }
    }

    /// Applies the finding of one evaluation about the zone's latency.
    pub(crate) fn evaluate_latency(
        &mut self,
        now: TenthMillis,
        is_slow: bool,
        config: &FailoverConfig,
    ) {
        self.slow_count = if is_slow { self.slow_count + 1 } else { 0 };
        if self.slow_count >= CONFIRMATIONS && self.state.is_serving() {
            self.state = State::Slow {
                until: now + config.ejection_time,
            };
        } else if matches!(self.state, State::Slow { until } if now >= until) {
            self.state = State::Healthy;
        }
    }

    /// Reports whether it is healthy, has no counted ejection and was not found down last, so that it need not be kept.
    pub(crate) fn is_fully_recovered(&self) -> bool {
        self.state == State::Healthy && self.ejections == 0 && self.down_count == 0
    }

    /// Returns the share of keys, in thousandths, to which it is open.
    pub(crate) fn share(&self) -> u16 {
        match self.state {
            State::Healthy | State::Slow { .. } => ALL_KEYS,
            State::Ejected { .. } | State::Drained => 0,
            State::Returning { step, .. } => RETURN_SHARES[step],
        }
    }
}
