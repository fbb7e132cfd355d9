//! What goes into a [`Coordinator`](crate::Coordinator) and the [`DecisionSink`] its decisions go to.
//!
//! Replicas, queries and sub-requests are small indices handed out by the caller. A replica keeps its index
//! while the membership lists it. Afterwards, once every query accepted before its removal was reported is
//! released and no probe of it is in flight, the index may be listed with another id: no observation of the
//! former replica is applied to the new one. A query's index may be reused once [`DecisionSink::release`] has
//! named it. The sub-requests of a query are numbered from 0 in the order they came, those of the fetch phase
//! after those of the query phase.
//!
//! Indices that occur side by side have types of their own ([`ReplicaIndex`], [`QueryIndex`], [`SubRequestIndex`],
//! [`SearchIndex`]). The numbers of customers, zones, shards and replica groups are plain `usize`: each is named by its
//! field, and is a position in a list of the configuration.
//!
//! All moments and lengths of time are [`TenthMillis`].

mod attempt;
mod config;
mod decision;
mod indices;
mod inputs;
mod membership;
mod query;

pub use attempt::{AttemptOutcome, AttemptResult, ProbeResult};
pub use config::{
    CoordinatorConfig, Idempotency, IndexConfig, Permissions, RetryBudget, ShardLayout, SlowStart,
    ValueGrowth,
};
pub use decision::{AbandonCause, Completeness, DecisionSink};
pub use indices::{QueryIndex, ReplicaIndex, SearchIndex, SubRequestIndex};
pub use inputs::{Continuation, Inputs};
pub use membership::{MembershipEntry, MembershipUpdate, Phase, ZoneRoute};
pub use query::{NewQuery, NewSubRequest};

/// A moment or a length of time in tenths of a millisecond (units of 100 µs).
///
/// Moments count from an origin that the caller chooses; it should lie well before the first step, since 0
/// stands for "long ago".
pub type TenthMillis = i64;
