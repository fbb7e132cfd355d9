//! Why a query cannot be merged, or a shard's value cannot be used.

use snafu::Snafu;

use crate::{CURSOR_VERSION, MAX_SHARDS};

/// Why a query cannot be merged as asked. The texts are sent to the client.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum QueryError {
    /// The response could not name so many shards.
    #[snafu(display("more than {MAX_SHARDS} shards are queried"))]
    TooManyShards,
    /// The number of rows is not one that the index's plan permits.
    #[snafu(display("a page of {index} has from 1 to {max_rows} rows"))]
    InvalidPageSize {
        /// The index.
        index: String,
        /// The plan's limit.
        max_rows: usize,
    },
    /// A cursor is given, and the index's plan provides none.
    #[snafu(display("{index} has no further pages"))]
    NoFurtherPages {
        /// The index.
        index: String,
    },
    /// A page is asked for, and the index's plan is not one of rows.
    #[snafu(display("{index} has no pages"))]
    NoPages {
        /// The index.
        index: String,
    },
    /// The cursor is not valid for this query.
    #[snafu(transparent)]
    Cursor {
        /// Why.
        source: CursorError,
    },
}

/// Why a cursor is not valid. The texts are sent to the client.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CursorError {
    /// It was not signed with one of the secrets, or is incomplete.
    #[snafu(display("the cursor is incomplete, or was not issued here"))]
    Unknown,
    /// It is of another version of this software.
    #[snafu(display("the cursor is of version {version}, only {CURSOR_VERSION} is known"))]
    UnknownVersion {
        /// The cursor's version.
        version: u8,
    },
    /// It is too old, or from the future.
    #[snafu(display("the cursor has expired, start with the first page"))]
    Expired,
    /// It was issued for another query.
    #[snafu(display("the cursor belongs to another query"))]
    OtherQuery,
    /// It was issued for other shards.
    #[snafu(display("the cursor belongs to another layout of shards"))]
    OtherShards,
    /// It holds a position that the index's plan does not yield.
    #[snafu(display("the cursor has an invalid position"))]
    InvalidPosition,
}

/// Why a text is not a decimal number of a stated scale.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DecimalError {
    /// It is not a number such as `-12.50`.
    #[snafu(display("{text:.40?} is not a decimal number"))]
    NotDecimal {
        /// The text.
        text: String,
    },
    /// It has more digits after the point than the scale.
    #[snafu(display("{text:.40?} has more than {scale} digits after the point"))]
    TooPrecise {
        /// The text.
        text: String,
        /// The digits after the point that are allowed.
        scale: u32,
    },
    /// It has too many digits in all.
    #[snafu(display("{text:.40?} has too many digits"))]
    TooManyDigits {
        /// The text.
        text: String,
    },
}

/// Why a shard's value cannot be merged.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ValueError {
    /// It is not JSON of the form that the plan expects.
    #[snafu(display("{reason}"))]
    Malformed {
        /// What the decoder says.
        reason: String,
    },
    /// A row is not JSON of the form that the plan expects.
    #[snafu(display("a row: {reason}"))]
    MalformedRow {
        /// What the decoder says.
        reason: String,
    },
    /// A number is not valid.
    #[snafu(transparent)]
    Decimal {
        /// Why.
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
    /// It claims to have more rows and gives none.
    #[snafu(display("it has more rows and gives none"))]
    NoRows,
    /// It has no totals of a measure.
    #[snafu(display("the totals of {field} are missing"))]
    MissingTotals {
        /// The measure's field.
        field: String,
    },
    /// The count, sum and range of a measure contradict each other.
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
