//! The system's control in simulated time: hubs with disks that forget what was not synced, links that lose,
//! delay and hang, fronts that ask for shares, operators that race; judged by what was acknowledged and what
//! each had in hand.
//!
//! Rules judged: *one-value-a-number*, *acked-lasts* (each acknowledged configuration is in the chain),
//! *one-a-base* (no two acknowledged on top of the same), *reads-are-newest*, *nothing-goes-back*,
//! *drains-are-known* (more than half of the counted know of an acknowledged drain),
//! *one-holder-an-epoch* (at no moment two hold the duty, and no epoch is held by two lives),
//! *shares-within-the-whole*, *all-comes-back* (after the troubles a change is acknowledged, read back, and
//! in force at every front).

mod clock;
mod fronts;
mod judge;
mod machines;
mod network;
mod operators;
mod replicas;
mod schedule;
mod troubles;
mod world;

pub use schedule::Drill;
