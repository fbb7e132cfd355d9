//! The state of a co-ordinator: plain records and statistics. Decisions and tuning constants belong in
//! [`policy`](crate::policy).

mod decaying_sums;
mod fleet;
mod hash;
mod hedge_share;
mod indexing;
mod query;
mod replica;
mod timers;
mod window_counter;

pub(crate) use decaying_sums::{DecayingSums, Distribution, decay_factor};
pub(crate) use fleet::FleetStatistics;
pub(crate) use hash::hash_ids;
pub(crate) use hedge_share::HedgeShare;
pub(crate) use query::{Attempt, ConnectionUse, Query, QueryStage, SubRequest};
pub(crate) use replica::{Observations, Outage, Replica};
pub(crate) use timers::Timers;
pub(crate) use window_counter::WindowCounter;
