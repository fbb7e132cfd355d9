//! What clients and replicas speak, as bytes: heads that are held to their bounds, bodies with a length or in
//! chunks, heads that are passed on, and the greatest records of many parts. No I/O, no clock, no decision.
#![expect(
    missing_docs,
    reason = "public items of this package are not all documented yet"
)]

mod body;
mod gather;
mod head;

pub use body::{Body, Framing};
pub use gather::{RECORD, greatest};
pub use head::{Head, Refusal, answer_framing, number, request_framing};
