//! The system's control in simulated time: core machines with the daemon's own log on disks that lose what
//! was not synced, links that lose, delay and hang, fronts that ask for shares, operators that race and send
//! again; judged by what was acknowledged, decided and truly heard.
//!
//! Rules judged:
//!
//! - *one-value-a-number*, *one-a-base* (no two orders acknowledged on top of the same), *one-a-number* (of
//!   two orders under one number one wins, the other is never acknowledged);
//! - *acked-lasts* (each acknowledged configuration is in the chain), *taken-is-never-refused* (one that was
//!   taken is acknowledged again or gets no clear answer), *reads-are-newest*, *nothing-goes-back*;
//! - *drains-are-known* (more than half of the counted know of an acknowledged drain);
//! - *one-holder-an-epoch* (at no moment two hold the lease, and no epoch is held by two lives),
//!   *shares-within-the-whole*;
//! - *a-cut-off-node-confirms-nothing*, *fronts-leave* (`contact`);
//! - *catches-up*, *bounded-state* (messages, bytes and disk, whatever the number of changes);
//! - *acknowledged-is-synced* (each disk opens again);
//! - *all-comes-back* (after the troubles a change is acknowledged, read back, and in force at every front).
//!
//! What may be lost at once stands in `budget`, with the reasons.

mod budget;
mod catch_up;
mod clock;
mod contact;
mod disk;
mod fronts;
mod judge;
mod leaving;
mod machines;
mod network;
mod operators;
mod replicas;
mod schedule;
mod troubles;
mod world;

pub(crate) use schedule::Drill;
