//! What a route and the limits of the settings say, in the terms of the decision module.

use linenthread_config::{Mode, Planned, Settings, Target};
use linenthread_core::interface::{
    Allowance, ColdStart, Deployment, Effect, FurtherCalls, Index, Layout, Tenths,
};
use linenthread_core::policy::{BUDGET_USE, LATE_SHARE, PARTIAL_GAIN};

fn tenths(ms: f64) -> Tenths {
    (ms.clamp(1.0, 1e9) * 10.0) as Tenths
}

pub(crate) fn index(planned: &Planned) -> Index {
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
        gain: 1.0 / (1.0 + route.rank.clamp(0, 1_000) as f64),
        late_share: LATE_SHARE,
        need: 1.0,
        floor,
        partial_gain: PARTIAL_GAIN,
        second_step: 0,
    }
}

/// For so many services that are asked together, each part of which may go to so many replicas. The budget is
/// kept at each service: that all further calls went to one of them is allowed for.
pub(crate) fn deployment(services: usize, tries: usize, settings: &Settings) -> Deployment {
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
            calls_a_part: tries,
            second_copies: tries > 1,
            withdraw: false,
            probes: false,
            retry_advice: Some(Tenths::MAX),
        },
        // Replicas say when they are slow after their start; nothing says that they fall over.
        cold: ColdStart {
            share: 1.0,
            warm_up: 0,
            multiple: 1.0,
            window: 10_000,
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
