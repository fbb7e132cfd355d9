//! Why a message cannot be accepted.

use snafu::Snafu;

/// Why a head or a body is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum ParseError {
    /// It is not HTTP/1.1, or its framing is ambiguous.
    #[snafu(display("malformed message"))]
    Malformed,
    /// The head is longer, or has more headers, than is allowed.
    #[snafu(display("head too long"))]
    HeadTooLong,
    /// The body is longer than is allowed.
    #[snafu(display("body too long"))]
    BodyTooLong,
}
