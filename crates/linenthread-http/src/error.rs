//! Errors in messages.

use snafu::Snafu;

/// The reason why a head or a body is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum ParseError {
    /// The message is not valid HTTP, or its framing is ambiguous.
    #[snafu(display("malformed message"))]
    Malformed,
    /// The head is longer or has more headers than allowed.
    #[snafu(display("head too long"))]
    HeadTooLong,
    /// The body is longer than allowed.
    #[snafu(display("body too long"))]
    BodyTooLong,
}
