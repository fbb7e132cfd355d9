//! The decisions of a co-ordinator of lookups over replicated shards.
//!
//! [`Coordinator`] decides; [`interface`] holds the plain types that go in and the [`DecisionSink`] that
//! decisions come out through. Nothing here does I/O, reads a clock or knows a protocol.
#![expect(
    missing_docs,
    reason = "public items of this package are not all documented yet"
)]

pub mod interface;
pub mod policy;
mod state;

pub use interface::DecisionSink;
pub use policy::Coordinator;
