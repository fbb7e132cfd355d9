//! HTTP/1.1 messages as bytes: bounded heads, bodies with a length or in chunks, forwarding of headers, and the
//! merge of record bodies.
//!
//! This package does no input or output, reads no clock and takes no routing decision; its callers hand it the
//! buffers that they read. It accepts strictly: a message whose end could be read in two ways is an error, since
//! two parties that disagree about it would take one client's bytes for another's.
//!
//! Start reading at [`Head`]; [`request_framing`] and [`response_framing`] say how the body of a head comes, and
//! [`BodyReader`] reads it.

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
