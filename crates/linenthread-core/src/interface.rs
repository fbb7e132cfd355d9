//! The inputs of a [`Coordinator`](crate::Coordinator), and the [`DecisionSink`] that receives its decisions.
//!
//! The caller identifies replicas, queries and sub-requests by small indices that it assigns. A replica keeps its index
//! while the membership lists it. After its removal, the index may be assigned to another id once every query accepted
//! before the removal was reported is released and no probe of the replica is in flight; observations of the former
//! replica are not applied to the new one. A query's index may be reused after [`DecisionSink::release`]. The
//! sub-requests of a query are numbered from 0 in order of arrival, those of the fetch phase after those of the query
//! phase.
//!
//! Indices that occur side by side have their own types ([`ReplicaIndex`], [`QueryIndex`], [`SubRequestIndex`],
//! [`SearchIndex`]). The numbers of customers, zones, shards and replica groups are plain `usize`: each is a position
//! in a list of the configuration, identified by the name of its field.
//!
//! All points in time and durations are [`TenthMillis`].

mod attempt;
mod config;
mod decision;
mod indices;
mod inputs;
mod membership;
mod pending;
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
pub use pending::PendingQueries;
pub use query::{NewQuery, NewSubRequest};

/// A point in time or a duration, in tenths of a millisecond (units of 100 µs).
///
/// Points in time count from an origin chosen by the caller. The origin should lie well before the first step, since 0
/// stands for "long ago".
pub type TenthMillis = i64;
