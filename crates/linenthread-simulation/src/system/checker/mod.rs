//! Checks of the invariants.

mod catch_up;
mod configuration;
mod convergence;
mod lease;
mod quorum;
mod replicas;
mod usage;

pub(super) use quorum::QUORUM_TIMEOUT;
