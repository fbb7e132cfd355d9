//! What can be wrong with a merged response.

use serde_json::Value;
use snafu::Snafu;

/// What is wrong with a response.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
#[non_exhaustive]
pub enum CheckError {
    /// The shards that are included and those that are missing are not the shards of the query.
    #[snafu(display("in {included:?} and missing {missing:?} are not {queried:?}"))]
    Shards {
        /// Those that the response says it includes.
        included: Vec<usize>,
        /// Those that it says are missing.
        missing: Vec<usize>,
        /// Those of the query.
        queried: Vec<usize>,
    },
    /// A partial response is made for a share under the floor.
    #[snafu(display("{share} of the weight is in, under the floor {floor}"))]
    UnderFloor {
        /// The share of the weight that is included.
        share: f64,
        /// The least share that is allowed.
        floor: f64,
    },
    /// The response gives a wrong share.
    #[snafu(display("the share is given as {actual}, it is {share}"))]
    Share {
        /// The share in the response.
        actual: String,
        /// The true one.
        share: f64,
    },
    /// The response is wrong about its completeness.
    #[snafu(display("finished is {actual} with {missing:?} missing"))]
    Finished {
        /// What the response says.
        actual: String,
        /// The shards that are missing.
        missing: Vec<usize>,
    },
    /// A part of the response is not there.
    #[snafu(display("no {name}"))]
    Absent {
        /// The name of the part.
        name: &'static str,
    },
    /// A page does not have the rows that come next.
    #[snafu(display("rows are {actual:?}, not {expected:?}"))]
    Rows {
        /// The rows of the page.
        actual: Vec<Value>,
        /// Those that come next.
        expected: Vec<Value>,
    },
    /// A page is short, and does not say that it was cut.
    #[snafu(display("{actual} rows of {available} that are there, and no cut is named"))]
    ShortPage {
        /// The rows of the page.
        actual: usize,
        /// The rows that are left to read.
        available: usize,
    },
    /// A page names a shard that has no more rows as a cause of its being cut.
    #[snafu(display("shard {shard} is named as behind, and has no more rows"))]
    NotBehind {
        /// The shard.
        shard: usize,
    },
    /// A row was in an earlier page.
    #[snafu(display("{id} is shown again"))]
    ShownAgain {
        /// The id of the row.
        id: String,
    },
    /// A page is wrong about whether there is another.
    #[snafu(display("goes_on is {goes_on}, next is {next}; it is {expected}"))]
    Continuation {
        /// What the page says.
        goes_on: String,
        /// Its cursor.
        next: String,
        /// Whether there is another.
        expected: bool,
    },
    /// A row was in no page.
    #[snafu(display("{id} was never shown"))]
    NeverShown {
        /// The id of the row.
        id: String,
    },
    /// A figure is not that of the included shards.
    #[snafu(display("{name} is {actual}, not {expected:?}"))]
    Figure {
        /// The name of the figure.
        name: &'static str,
        /// The value in the response.
        actual: String,
        /// The true value.
        expected: Option<i64>,
    },
    /// A figure gives a bound that does not hold for all shards.
    #[snafu(display("{name} {value} is given as {bound}, all have {of_all:?}"))]
    Bound {
        /// The name of the figure.
        name: &'static str,
        /// The value in the response.
        value: String,
        /// The bound in the response.
        bound: String,
        /// The value over all shards.
        of_all: Option<i64>,
    },
    /// The mean is wrong, or its bound.
    #[snafu(display("the mean of {sum} over {count} is given as {actual}"))]
    Mean {
        /// The true sum.
        sum: i64,
        /// The true count.
        count: usize,
        /// The mean in the response.
        actual: String,
    },
    /// The groups are not the largest, in order.
    #[snafu(display("groups are {actual:?}, not {expected:?}"))]
    Groups {
        /// The names of the groups in the response.
        actual: Vec<String>,
        /// Those of the largest.
        expected: Vec<String>,
    },
    /// The rest is there without need, or is not there.
    #[snafu(display("the rest is {actual}"))]
    Rest {
        /// The rest in the response.
        actual: String,
    },
}
