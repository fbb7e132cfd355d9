//! The decisions of one co-ordinator, with one module for each decision.
//!
//! "Co-ordinator" means the component that runs a [`Coordinator`]: the process `linenthread`, or the dispatcher of an
//! ingress node.
//!
//! The base algorithm is dynamic snitching: each sub-request has a natural replica, the first in a hash order of its
//! shard and the query's key (`natural_replica`), and goes elsewhere only while that replica's score (`score`) is worse
//! than the best score by more than a threshold. The other modules decide what the base algorithm leaves open:
//!
//! | module | decides |
//! | --- | --- |
//! | `coordinator` | the order of the decisions within a step |
//! | `membership_update` | what an update from service discovery changes |
//! | `arrival` | how queries and sub-requests are recorded |
//! | `attempt_result` | what an attempt's outcome means for its replica |
//! | `health_probe` | when replicas are probed, and what a probe's outcome means |
//! | `score` | the score of each replica |
//! | `capacity` | how many attempts may be in flight, and what a warm replica can serve |
//! | `latency` | which response times are slow, and which attempts have stalled |
//! | `natural_replica` | which replica an attempt is sent to |
//! | `send_guard` | whether an attempt may be sent at all |
//! | `slow_start` | how many attempts are sent to a replica that has recently started |
//! | `retry_budget` | how many retries and hedged requests are permitted |
//! | `sending` | how an attempt is sent |
//! | `dispatch` | which sub-requests are sent now: first attempts, retries, hedged requests |
//! | `query_of_death` | which queries may be crashing replicas |
//! | `admission` | which queries are rejected on arrival |
//! | `resolution` | when a query is responded to, rejected or failed |
//! | `shutdown` | when queries end if the process shuts down |
//! | `pending` | nothing: reports what open queries wait for |
//!
//! To explain the result of a query, start at `Coordinator::resolve` (in `resolution`), which each step runs once for
//! each open query:
//!
//! | observed | decided by |
//! | --- | --- |
//! | rejected or failed, [`DeadlineExceeded`](AbandonCause::DeadlineExceeded) or [`ShuttingDown`](AbandonCause::ShuttingDown) | `shutdown`: `abandon_at` |
//! | rejected or failed, [`QueryOfDeath`](AbandonCause::QueryOfDeath) | `query_of_death`: `may_be_query_of_death` |
//! | rejected or failed, [`Unanswerable`](AbandonCause::Unanswerable) | `resolution`: `is_unanswerable` |
//! | rejected, [`ExpectedLate`](AbandonCause::ExpectedLate) | `admission`: `rejects_as_late` |
//! | rejected, [`Saturated`](AbandonCause::Saturated) | `admission`: `is_saturated` |
//! | failed rather than rejected | `resolution`: `abandon` |
//! | retried, or not | `dispatch`: `send_missing`; `send_guard`: `may_send`; `retry_budget` |
//! | hedged, or not | `dispatch`: `is_hedge_due` |
//! | an attempt cancelled and its sub-request sent to another replica | `dispatch`: `should_reissue` |
//! | sent to a particular replica | `natural_replica`: `choose_replica`; `score` |
//!
//! Constants that several modules use are in `windows`; other constants are in the module that uses them.
//! `docs/design.md` gives the full rationale, with figures.

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
mod pending;
mod query_of_death;
mod resolution;
mod retry_budget;
mod score;
mod send_guard;
mod sending;
mod shutdown;
mod slow_start;
mod windows;

#[cfg(doc)]
use crate::interface::AbandonCause;
use crate::interface::TenthMillis;

pub use coordinator::Coordinator;

/// Default share of its value that a late response earns, used if the settings specify none.
///
/// Unit: share of a query's value. Reason: above the limit below which `resolution` does not wait for late responses.
pub const DEFAULT_LATE_VALUE_SHARE: f64 = 0.3;

/// Default value of a partial response, multiplied by the share of the weight that succeeded.
///
/// Unit: share of a query's value. Reason: multiplied by the share, it approximates users who value a partial response
/// by about the square of that share.
pub const DEFAULT_PARTIAL_VALUE: f64 = 0.6;

/// The usable part of a budget that others measure by their own clocks.
///
/// Unit: share of the budget. Reason: the rest covers requests that fall into another window by those clocks.
pub const BUDGET_UTILIZATION: f64 = 0.85;

/// The time within which a connection must be established; otherwise the replica counts as unreachable.
///
/// Unit: 0.1 ms (300 ms). Reason: an attempt that waits for a process that is gone is wasted.
pub const CONNECT_TIMEOUT: TenthMillis = 3_000;
