//! The decisions of one co-ordinator, one decision a module.
//!
//! "Co-ordinator" is whoever runs the [`Coordinator`]: the process of that name, or the dispatcher of an ingress node.
//!
//! The ordinary path is dynamic snitching: each sub-request has a natural replica, the first in a hash of its
//! shard and the query's key (`natural_replica`), and leaves it only while that replica's score (`score`)
//! is worse than the best by more than a threshold. The other modules decide what that design leaves open:
//!
//! | module | decides |
//! | --- | --- |
//! | `coordinator` | the order of the decisions within a step |
//! | `membership_update` | what an update from service discovery changes |
//! | `arrival` | how queries and sub-requests are recorded |
//! | `attempt_result` | what the end of an attempt says of its replica |
//! | `health_probe` | when replicas are probed, and what a probe's end says |
//! | `score` | the score of each replica |
//! | `capacity` | how much may be in flight, and what a warm replica can serve |
//! | `latency` | which response times are slow, and which attempts have stalled |
//! | `natural_replica` | which replica an attempt goes to |
//! | `send_guard` | whether an attempt may be sent at all |
//! | `slow_start` | how many attempts a replica gets that has just started |
//! | `retry_budget` | how many retries and hedged requests there may be |
//! | `sending` | how an attempt is sent |
//! | `dispatch` | which sub-requests are sent now: first attempts, retries, hedged requests |
//! | `query_of_death` | which queries may make replicas crash |
//! | `admission` | which queries are rejected when they arrive |
//! | `resolution` | when a query is responded to, rejected or failed |
//!
//! To explain what became of one query, start at `Coordinator::resolve` (in `resolution`), which each step runs
//! once for each open query:
//!
//! | observed | decided by |
//! | --- | --- |
//! | rejected or failed, [`DeadlineExceeded`](AbandonCause::DeadlineExceeded) | `resolution`: `abandon_at` |
//! | rejected or failed, [`QueryOfDeath`](AbandonCause::QueryOfDeath) | `query_of_death`: `may_be_query_of_death` |
//! | rejected or failed, [`Unanswerable`](AbandonCause::Unanswerable) | `resolution`: `is_unanswerable` |
//! | rejected, [`ExpectedLate`](AbandonCause::ExpectedLate) | `admission`: `draws_late_rejection` |
//! | rejected, [`Saturated`](AbandonCause::Saturated) | `admission`: `is_saturated` |
//! | failed rather than rejected | `resolution`: `abandon` |
//! | retried, or not | `dispatch`: `send_missing`; `send_guard`: `may_send`; `retry_budget` |
//! | hedged, or not | `dispatch`: `is_hedge_due` |
//! | an attempt cancelled and its sub-request sent to another replica | `dispatch`: `should_reissue` |
//! | sent to this replica and to no other | `natural_replica`: `choose_replica`; `score` |
//!
//! Constants that several modules use are in `windows`; the others are in the module that they belong to.
//! The reasons at length, with figures, are in `docs/design.md`.

mod admission;
mod arrival;
mod attempt_result;
mod capacity;
mod coordinator;
mod dispatch;
mod health_probe;
mod latency;
mod membership_update;
mod natural_replica;
mod query_of_death;
mod resolution;
mod retry_budget;
mod score;
mod send_guard;
mod sending;
mod slow_start;
mod windows;

#[cfg(doc)]
use crate::interface::AbandonCause;
use crate::interface::TenthMillis;

pub use coordinator::Coordinator;

/// Share of its value that a late response earns, where no settings say.
///
/// Unit: share of a query's value. Reason: above the limit under which `resolution` no longer waits for them.
pub const DEFAULT_LATE_VALUE_SHARE: f64 = 0.3;

/// What a partial response earns, times the share of the weight that succeeded.
///
/// Unit: share of a query's value. Reason: with the share, it approximates users who value a partial response by about
/// the square of that share.
pub const DEFAULT_PARTIAL_VALUE: f64 = 0.6;

/// How much is used of a budget that others count by clocks of their own.
///
/// Unit: share of the budget. Reason: the rest covers what falls into another window by their clocks.
pub const BUDGET_UTILIZATION: f64 = 0.85;

/// A connection that is not established within this time counts as a replica that is away.
///
/// Unit: 0.1 ms (300 ms). Reason: an attempt that waits for a process that is gone is wasted.
pub const CONNECT_TIMEOUT: TenthMillis = 3_000;
