//! HTTP/1.1 messages: parsing of heads and bodies with bounded sizes, forwarding of headers, and merging of bodies that
//! consist of records.
//!
//! This crate does no I/O, reads no clock and makes no routing decisions; callers pass in the buffers that they read.
//! Parsing is strict: a message with an ambiguous end is rejected, since two parties that disagree about the end would
//! mistake one client's bytes for another's.
//!
//! Start reading at [`Head`]. [`request_framing`] and [`response_framing`] determine how the body of a message ends,
//! and [`BodyReader`] decodes it.

mod body;
mod decimal;
mod error;
mod framing;
mod head;
mod records;

pub use body::BodyReader;
pub use decimal::write_decimal;
pub use error::ParseError;
pub use framing::{BodyPresence, Framing, content_length, request_framing, response_framing};
pub use head::Head;
pub use records::{RECORD_BYTES, merge_top_records};
