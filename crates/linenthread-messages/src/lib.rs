//! What the system's own processes say to each other: messages, and the frames that carry them.
//!
//! A frame is a length of four bytes, greatest first, and one [`Envelope`]. The first word on a connection is
//! [`Hello`] from the side that opened it; another version than [`VERSION`] ends the connection.
#![expect(
    missing_docs,
    reason = "public items of this package are not all documented yet"
)]

mod frame;
mod words;

pub use frame::{FrameFault, LONGEST, decode, encode};
pub use words::*;
