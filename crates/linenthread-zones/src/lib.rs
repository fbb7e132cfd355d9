//! Which zone serves whose keys: decided in common, from what all co-ordinators see.
//!
//! A [`Watch`] at each co-ordinator counts what became of its parts, zone by zone, and says now and then what it
//! saw: a [`Report`] of a few numbers, added up with others' on the way. Who leads the fleet's record feeds them to
//! its [`Decider`], which makes a [`Table`]: for each zone where clients ask and each zone where replicas stand, for
//! what share of keys that way is open. All act on one table; the decision module reads one row of it.
//!
//! Named rules, held by `linenthread-drill zones`: *never-past-room* (no more is sent to a zone by a table than it
//! has room for beside its own), *near-while-safe* (while all is sound every way is open, so that each part stays in
//! the nearest zone that holds its shard), *no-flap* (a bound on moves an hour under any evidence),
//! *same-key-same-home* (a share that falls or grows moves the same keys at all, and back). That there is one table,
//! and that a minority moves nothing, the record holds. Why all this is as it is stands in
//! `docs/failover-design.md`.
#![expect(
    missing_docs,
    reason = "public items of this package are not all documented yet"
)]

mod decide;
mod error;
mod report;
mod solve;
mod table;

pub use decide::{Decider, Ground, SPAN, Terms, Zone};
pub use error::{DrainError, FormatError};
pub use report::{Report, Watch, Way};
pub use solve::{Pattern, fit, loads};
pub use table::{Reason, Row, Table};

/// Zones at the most.
pub const MOST_ZONES: usize = 16;
/// All keys.
pub const ALL: u16 = 1_000;
