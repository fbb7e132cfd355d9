//! A link between sites: part calls go over it, and each ends exactly once with an honest ending, whatever
//! becomes of the connection.
//!
//! [`Near`] is the co-ordinator's side, [`Far`] the gateway's. Both are state machines without I/O or clock:
//! events and `now` go in, actions come out, chance comes from a seed. [`frame`] holds the messages, byte by
//! byte in `docs/link.md`. What may have run is never said not to have: a call never ran only if its frame was
//! never written whole, or the far side says that it never came or was never sent on.
#![expect(
    missing_docs,
    reason = "public items of this package are not all documented yet"
)]

mod far;
pub mod frame;
mod near;
pub mod routes;

pub use far::{Far, FarDo, FarTerms};
pub use frame::{Call, Frame, Member};
pub use linenthread_frames::Secrets;
pub use near::{Near, NearDo, NearTerms};
