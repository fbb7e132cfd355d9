//! Errors of queries, cursors and shards' values.

use snafu::Snafu;

use crate::{CURSOR_VERSION, MAX_SHARDS};

/// The reason why a query cannot be merged as requested. The texts are sent to the client.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum QueryError {
    /// There are more shards than a response can list.
    #[snafu(display("more than {MAX_SHARDS} shards are queried"))]
    TooManyShards,
    /// The index's plan does not permit a page of this many rows.
    #[snafu(display("a page of {index} has from 1 to {max_rows} rows"))]
    InvalidPageSize {
        /// The index.
        index: String,
        /// The plan's maximum.
        max_rows: usize,
    },
    /// A cursor is given, but the index's plan does not provide cursors.
    #[snafu(display("{index} has no further pages"))]
    NoFurtherPages {
        /// The index.
        index: String,
    },
    /// A page is requested, but the index's plan does not merge rows.
    #[snafu(display("{index} has no pages"))]
    NoPages {
        /// The index.
        index: String,
    },
    /// The cursor is not valid for this query.
    #[snafu(transparent)]
    Cursor {
        /// The reason.
        source: CursorError,
    },
}

/// The reason why a cursor is rejected. The texts are sent to the client.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CursorError {
    /// The cursor is not signed with one of the secrets, or is incomplete or malformed.
    #[snafu(display("the cursor is incomplete, or was not issued here"))]
    Unknown,
    /// The cursor has an encoding of another version.
    #[snafu(display("the cursor is of version {version}, only {CURSOR_VERSION} is known"))]
    UnknownVersion {
        /// The cursor's version.
        version: u8,
    },
    /// The cursor's lifetime is over, or its time of issue is in the future.
    #[snafu(display("the cursor has expired, start with the first page"))]
    Expired,
    /// The cursor was issued for another query.
    #[snafu(display("the cursor belongs to another query"))]
    OtherQuery,
    /// The cursor was issued for other shards.
    #[snafu(display("the cursor belongs to another layout of shards"))]
    OtherShards,
    /// The cursor contains a position that does not fit the index's plan.
    #[snafu(display("the cursor has an invalid position"))]
    InvalidPosition,
}

/// The reason why a text is not a decimal number of a given scale.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DecimalError {
    /// The text is not a number such as `-12.50`.
    #[snafu(display("{text:.40?} is not a decimal number"))]
    NotDecimal {
        /// The text.
        text: String,
    },
    /// The number has more digits after the point than the scale.
    #[snafu(display("{text:.40?} has more than {scale} digits after the point"))]
    TooPrecise {
        /// The text.
        text: String,
        /// The digits after the point that are allowed.
        scale: u32,
    },
    /// The number has too many digits in all.
    #[snafu(display("{text:.40?} has too many digits"))]
    TooManyDigits {
        /// The text.
        text: String,
    },
}

/// The reason why a shard's value cannot be merged. The texts are logged.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ValueError {
    /// The value is not JSON of the form that the plan expects.
    #[snafu(display("{reason}"))]
    Malformed {
        /// The decoder's error.
        reason: String,
    },
    /// A row is not JSON of the form that the plan expects.
    #[snafu(display("a row is malformed: {reason}"))]
    MalformedRow {
        /// The decoder's error.
        reason: String,
    },
    /// A number is not a valid decimal of its scale.
    #[snafu(transparent)]
    Decimal {
        /// The reason.
        source: DecimalError,
    },
    /// A field of a row is too long.
    #[snafu(display("a field has more than {max_bytes} bytes"))]
    FieldTooLong {
        /// The limit.
        max_bytes: usize,
    },
    /// A field of a row is of a type that cannot be sorted.
    #[snafu(display("a field is neither a text nor a number"))]
    InvalidField,
    /// A field that is sorted as text is a number.
    #[snafu(display("{field} is not a text"))]
    NotText {
        /// The field.
        field: String,
    },
    /// A row has no identity.
    #[snafu(display("a row has no {field}"))]
    MissingIdentity {
        /// The identity's field.
        field: String,
    },
    /// The value contains no rows although it says that more follow.
    #[snafu(display("it has no rows but says that more follow"))]
    NoRows,
    /// The value lacks the totals of a measure.
    #[snafu(display("the totals of {field} are missing"))]
    MissingTotals {
        /// The measure's field.
        field: String,
    },
    /// The count, sum and range of a measure are inconsistent.
    #[snafu(display("the totals of {field} contradict each other"))]
    InconsistentTotals {
        /// The measure's field.
        field: String,
    },
    /// A measure that the plan declares as never negative has a negative value.
    #[snafu(display("{field} has a value below 0, but is declared never negative"))]
    NegativeValue {
        /// The measure's field.
        field: String,
    },
    /// Groups are not sorted by name, or a name is repeated.
    #[snafu(display("its groups are not in order, or one is repeated"))]
    UnsortedGroups,
    /// A group's name is too long.
    #[snafu(display("a group's name has more than {max_bytes} bytes"))]
    GroupNameTooLong {
        /// The limit.
        max_bytes: usize,
    },
}

impl From<serde_json::Error> for ValueError {
    fn from(error: serde_json::Error) -> ValueError {
        ValueError::Malformed {
            reason: error.to_string(),
        }
    }
}
