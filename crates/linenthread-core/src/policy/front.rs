//! What a route of the system's configuration means for the module, and what its pages say for all routes.

use crate::interface::*;

/// What an answer after its target still earns; the configuration does not tell.
const LATE_SHARE: f64 = 0.3;
/// A part of the shards earns by its square: at the least share that may be answered this lies above what is
/// late, about where the square does.
const PARTIAL_GAIN: f64 = 0.6;
/// How much of the budget's part that grows with requests is used: they are counted by others' clocks.
const BUDGET_USE: f64 = 0.85;
/// A connection that does not come up within this, or within the time left, counts as a replica that is away.
pub const CONNECT: Tenths = 3_000;

/// The index of a route: milliseconds, the rank (0 is highest), the least share of shards.
pub fn index(mutating: bool, target_ms: f64, rank: i64, least: f64) -> Index {
    Index {
        effect: if mutating { Effect::OnceOnly } else { Effect::Idempotent },
        soft_deadline: (target_ms.clamp(1.0, 1e9) * 10.0) as Tenths,
        gain: 1.0 / (1.0 + rank.clamp(0, 1_000) as f64),
        late_share: LATE_SHARE,
        need: 1.0,
        floor: if least > 0.0 { least.min(1.0) } else { 1.0 },
        partial_gain: PARTIAL_GAIN,
        second_step: 0,
    }
}

/// For so many services that are asked together, each part of which may go to so many replicas. A budget is
/// kept at each service: that all further calls went to one is allowed for.
pub fn deployment(services: usize, tries: usize, ratio: f64, window_ms: f64) -> Deployment {
    Deployment {
        own_number: 0,
        co_ordinators: 1,
        indexes: Vec::new(),
        customer_quotas: Vec::new(),
        over_share_gain: 1.0,
        gain_by_work: false,
        layout: Layout { cells: services, in_a_row: 1 },
        allowance: Allowance {
            calls_a_part: tries,
            second_copies: tries > 1,
            withdraw: false,
            probes: false,
            retry_advice: Some(100_000),
        },
        cold: ColdStart { share: 1.0, warm_up: 0, multiple: 1.0, window: 10_000 },
        queue_told: false,
        drain_grace: 0,
        further_calls: Some(FurtherCalls {
            free: 0.0,
            share: BUDGET_USE * ratio / (1 + services) as f64,
            window: (window_ms * 10.0) as Tenths,
        }),
        watch_roster: false,
    }
}
