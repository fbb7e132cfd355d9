//! The errors that the checks of merged responses report.

use serde_json::Value;
use snafu::Snafu;

/// An error in a merged response.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
#[non_exhaustive]
pub enum CheckError {
    /// The included and the missing shards together are not the shards of the query.
    #[snafu(display(
        "the included shards {included:?} and the missing shards {missing:?} are not the queried shards {queried:?}"
    ))]
    Shards {
        /// The included shards according to the response.
        included: Vec<usize>,
        /// The missing shards according to the response.
        missing: Vec<usize>,
        /// The shards of the query.
        queried: Vec<usize>,
    },
    /// The response covers less than the floor.
    #[snafu(display("the response covers {share} of the weight, less than the floor {floor}"))]
    UnderFloor {
        /// The share of the weight that is included.
        share: f64,
        /// The minimum share that is allowed.
        floor: f64,
    },
    /// The share in the response is wrong.
    #[snafu(display("the share is {actual}, not {share}"))]
    Share {
        /// The share in the response.
        actual: String,
        /// The true share.
        share: f64,
    },
    /// The completeness in the response is wrong.
    #[snafu(display("finished is {actual} with {missing:?} missing"))]
    Finished {
        /// The value of `finished` in the response.
        actual: String,
        /// The shards that are missing.
        missing: Vec<usize>,
    },
    /// A field of the response is absent.
    #[snafu(display("the field {name} is absent"))]
    Absent {
        /// The name of the field.
        name: &'static str,
    },
    /// A page does not contain the next rows.
    #[snafu(display("rows are {actual:?}, not {expected:?}"))]
    Rows {
        /// The rows of the page.
        actual: Vec<Value>,
        /// The next rows in order.
        expected: Vec<Value>,
    },
    /// A page has too few rows, and does not declare that it was cut.
    #[snafu(display("the page has {actual} of {available} available rows, and declares no cut"))]
    ShortPage {
        /// The number of rows on the page.
        actual: usize,
        /// The number of rows that have not been read.
        available: usize,
    },
    /// A page names a shard as the cause of a cut, and the shard has no more rows.
    #[snafu(display("shard {shard} is listed in cut.behind, and has no more rows"))]
    NotBehind {
        /// The shard.
        shard: usize,
    },
    /// A row was already on an earlier page.
    #[snafu(display("row {id} is shown again"))]
    ShownAgain {
        /// The id of the row.
        id: String,
    },
    /// A page is wrong about whether another page follows.
    #[snafu(display("goes_on is {goes_on} and next is {next}; expected {expected}"))]
    Continuation {
        /// The value of `goes_on` in the page.
        goes_on: String,
        /// The cursor of the next page.
        next: String,
        /// Whether another page follows.
        expected: bool,
    },
    /// A row was on no page.
    #[snafu(display("row {id} was never shown"))]
    NeverShown {
        /// The id of the row.
        id: String,
    },
    /// A figure differs from the true value over the included shards.
    #[snafu(display("{name} is {actual}, not {expected:?}"))]
    Figure {
        /// The name of the figure.
        name: &'static str,
        /// The value in the response.
        actual: String,
        /// The true value.
        expected: Option<i64>,
    },
    /// The bound of a figure does not hold for the value over all shards of the query.
    #[snafu(display(
        "the bound of {name} {value} is {bound}; the value over all shards is {of_all:?}"
    ))]
    Bound {
        /// The name of the figure.
        name: &'static str,
        /// The value in the response.
        value: String,
        /// The bound in the response.
        bound: String,
        /// The true value over all shards of the query.
        of_all: Option<i64>,
    },
    /// The mean or its bound is wrong.
    #[snafu(display("the mean of the sum {sum} over {count} rows is {actual}"))]
    Mean {
        /// The true sum.
        sum: i64,
        /// The true count.
        count: usize,
        /// The mean and its bound in the response.
        actual: String,
    },
    /// The listed groups are not the largest ones in order.
    #[snafu(display("groups are {actual:?}, not {expected:?}"))]
    Groups {
        /// The names of the groups in the response.
        actual: Vec<String>,
        /// The names of the largest groups.
        expected: Vec<String>,
    },
    /// The rest is present although all groups are listed, or is absent although some are not.
    #[snafu(display("the presence of the rest is wrong: {actual}"))]
    Rest {
        /// The rest in the response.
        actual: String,
    },
}
