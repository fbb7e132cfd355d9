//! Routes and settings in the terms of the decision module.

use linenthread_config::{Mode, Planned, Settings, Target};
use linenthread_core::interface::{
    Allowance, ColdStart, Deployment, Effect, FurtherCalls, Index, Layout, Tenths,
};
use linenthread_core::policy::{BUDGET_USE, LATE_SHARE, PARTIAL_GAIN};

use crate::clock;

/// The shortest and the longest time that is handed to the decision module, in milliseconds.
const TIME_RANGE_MS: (f64, f64) = (1.0, 1e9);
/// Less urgent routes are all of the same value.
const MAX_RANK: i64 = 1_000;
/// The window of the decision module's budget for replicas that are warming up, in tenths of a millisecond.
const WARM_UP_WINDOW: Tenths = 10_000;

fn tenths(ms: f64) -> Tenths {
    let (min, max) = TIME_RANGE_MS;
    clock::ms_to_tenths(ms.clamp(min, max))
}

/// A route as a kind of query.
pub(super) fn index(planned: &Planned) -> Index {
    let route = &planned.route;
    let floor = match planned.target {
        Target::All(_) if route.min_coverage > 0.0 => route.min_coverage.min(1.0),
        _ => 1.0,
    };
    Index {
        effect: if route.mode == Mode::Mutating {
            Effect::OnceOnly
        } else {
            Effect::Idempotent
        },
        soft_deadline: tenths(route.target_ms.unwrap_or(route.limit_ms)),
        gain: 1.0 / (1.0 + route.rank.clamp(0, MAX_RANK) as f64),
        late_share: LATE_SHARE,
        need: 1.0,
        floor,
        partial_gain: PARTIAL_GAIN,
        second_step: 0,
    }
}

/// The deployment of so many services that are queried together, each part of which may be sent so many times.
///
/// The retry budget holds at each service; that all retries went to one of them is allowed for.
pub(super) fn deployment(services: usize, max_attempts: usize, settings: &Settings) -> Deployment {
    Deployment {
        own_number: 0,
        co_ordinators: 1,
        indexes: Vec::new(),
        customer_quotas: Vec::new(),
        over_share_gain: 1.0,
        gain_by_work: false,
        layout: Layout {
            cells: services,
            in_a_row: 1,
        },
        allowance: Allowance {
            calls_a_part: max_attempts,
            second_copies: max_attempts > 1,
            withdraw: false,
            probes: false,
            retry_advice: Some(Tenths::MAX),
        },
        // Replicas announce that they are slow after their start; nothing says that load makes them crash.
        cold: ColdStart {
            share: 1.0,
            warm_up: 0,
            multiple: 1.0,
            window: WARM_UP_WINDOW,
        },
        queue_told: false,
        short_queues: true,
        drain_grace: 0,
        further_calls: Some(FurtherCalls {
            free: 0.0,
            share: BUDGET_USE * settings.retry_ratio / (1 + services) as f64,
            window: tenths(settings.retry_window_ms as f64),
        }),
        watch_roster: false,
    }
}
