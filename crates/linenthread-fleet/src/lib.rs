//! How many processes behave as one fleet: who is a member and alive, and a small record that all agree on.
//!
//! [`Fleet`] is one process's part in it, a state machine without I/O or clock: events and `now` go in, actions
//! come out, chance comes from a told seed. Inside, [`Members`] is gossip with suspicion (SWIM, by `foca`),
//! [`Voter`] the record among 3, 5 or 7 voters (Raft, by `raft`), kept by `linenthread-store`; all others follow
//! what the voters have agreed on. The record holds numbered values by topic: who writes one says on which
//! number it is based, so that no two values ever have one number. What a value means is not known here.
//!
//! Named rules, held by the drill `linenthread-drill fleet`: *one-value* (no two values under one topic and
//! number), *agreed-stays* (what one process was told as agreed is never undone while a majority of voters has
//! its disks), *one-leader* (at no moment do two processes hold the lease), *former-self* (a voter that lost its
//! disk never votes as the one it was). The messages stand byte by byte in `docs/fleet.md`.
#![expect(
    missing_docs,
    reason = "public items of this package are not all documented yet"
)]

mod board;
mod dials;
mod fleet;
pub mod frame;
mod keep;
mod members;
mod voter;
mod who;

pub use board::{Board, LONGEST_VALUE, MOST_TOPICS};
pub use fleet::{Fleet, FleetDo, FleetTerms};
pub use members::{Members, MembersDo, MembersTerms};
pub use voter::{Agreed, Stage, Voter, VoterDo, VoterTerms};
pub use who::Who;
