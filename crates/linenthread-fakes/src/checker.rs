//! Checks merged responses against the full data, without any code of the program's own.

use std::collections::BTreeMap;

use serde_json::Value;
use snafu::{OptionExt, Snafu, ensure};

use crate::row_store::{Donation, RowStore, SortKey, SumAndCount};

/// By how much a share may differ from the true one.
const SHARE_TOLERANCE: f64 = 1e-3;

/// A shard of a query, and its weight.
pub type ShardWeight = (usize, f64);

/// What is wrong with a response.
#[derive(Debug, Snafu)]
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

/// A client that reads a merged index page by page.
#[derive(Clone, Debug)]
pub struct PagedRead {
    shards: Vec<usize>,
    /// The sort key up to which each shard has been read.
    position: BTreeMap<usize, SortKey>,
    /// Ids shown so far.
    shown: Vec<String>,
}

/// An amount in hundredths.
fn cents(amount: &Value) -> Option<i64> {
    let (units, fraction) = amount.as_str()?.split_once('.')?;
    if fraction.len() != 2 {
        return None;
    }
    let sign = if units.starts_with('-') { -1 } else { 1 };
    Some(units.parse::<i64>().ok()? * 100 + sign * fraction.parse::<i64>().ok()?)
}

fn indexes(value: &Value) -> Vec<usize> {
    value
        .as_array()
        .into_iter()
        .flatten()
        .filter_map(|index| usize::try_from(index.as_u64()?).ok())
        .collect()
}

fn shards_of(weights: &[ShardWeight]) -> Vec<usize> {
    weights.iter().map(|(shard, _)| *shard).collect()
}

fn weight_of(shards: &[usize], weights: &[ShardWeight]) -> f64 {
    weights
        .iter()
        .filter(|(shard, _)| shards.contains(shard))
        .map(|(_, weight)| weight)
        .sum()
}

/// Checks what a response says of its shards against the query and the floor; the shards that it includes.
///
/// # Errors
///
/// If the response is wrong about its shards or their share, or the share is under the floor.
pub fn check_shards(
    weights: &[ShardWeight],
    floor: f64,
    response: &Value,
) -> Result<Vec<usize>, CheckError> {
    let actual = &response["slices"];
    let included = indexes(&actual["in"]);
    let missing: Vec<usize> = actual["missing"]
        .as_object()
        .into_iter()
        .flatten()
        .flat_map(|(_, shards)| indexes(shards))
        .collect();
    let mut all = [included.clone(), missing.clone()].concat();
    all.sort_unstable();
    let mut queried = shards_of(weights);
    queried.sort_unstable();
    ensure!(
        all == queried,
        ShardsSnafu {
            included,
            missing,
            queried
        }
    );
    let share = weight_of(&included, weights) / weight_of(&queried, weights);
    ensure!(
        share >= floor - SHARE_TOLERANCE,
        UnderFloorSnafu { share, floor }
    );
    let given_share = &actual["share"];
    let difference = (given_share.as_f64().unwrap_or(-1.0) - share).abs();
    ensure!(
        difference <= SHARE_TOLERANCE,
        ShareSnafu {
            actual: given_share.to_string(),
            share
        }
    );
    let finished = &response["finished"];
    ensure!(
        finished.as_bool() == Some(missing.is_empty()),
        FinishedSnafu {
            actual: finished.to_string(),
            missing
        }
    );
    Ok(included)
}

impl PagedRead {
    /// A client that has read nothing of a query's shards yet.
    pub fn new(weights: &[ShardWeight]) -> Self {
        PagedRead {
            shards: shards_of(weights),
            position: BTreeMap::new(),
            shown: Vec::new(),
        }
    }

    /// The rows of some shards that have not been read yet, in order, each with its shard.
    fn ahead<'s>(&self, store: &'s RowStore, shards: &[usize]) -> Vec<(usize, &'s Donation)> {
        let rows = |shard: usize| store.shards[shard].iter().map(move |row| (shard, row));
        let mut ahead: Vec<_> = shards.iter().flat_map(|&shard| rows(shard)).collect();
        ahead.retain(|(shard, row)| {
            let position = self.position.get(shard);
            position.is_none_or(|position| row.sort_key() > *position)
        });
        ahead.sort_by_key(|(_, row)| row.sort_key());
        ahead
    }

    /// Checks one page of at most so many rows, and counts it as read.
    ///
    /// # Errors
    ///
    /// If the page lacks rows, has others, or is wrong about how the read goes on.
    pub fn check_page(
        &mut self,
        store: &RowStore,
        weights: &[ShardWeight],
        floor: f64,
        limit: usize,
        response: &Value,
    ) -> Result<(), CheckError> {
        let included = check_shards(weights, floor, response)?;
        let ahead = self.ahead(store, &included);
        let rows = response["rows"]
            .as_array()
            .context(AbsentSnafu { name: "rows" })?;
        check_rows(rows, &ahead, limit, response)?;
        if let Some((_, last)) = ahead.get(rows.len().wrapping_sub(1)) {
            self.advance(&included, &last.sort_key());
        }
        self.check_behind(store, &included, response)?;
        self.show(rows)?;
        let goes_on = ahead.len() > rows.len() || included.len() < self.shards.len();
        check_continuation(goes_on, response)
    }

    /// Counts all rows of some shards up to a sort key as read.
    fn advance(&mut self, shards: &[usize], last: &SortKey) {
        for &shard in shards {
            let position = self.position.entry(shard).or_insert_with(|| last.clone());
            if *position < *last {
                position.clone_from(last);
            }
        }
    }

    /// Checks that shards which are named as a cause of a cut have more rows.
    fn check_behind(
        &self,
        store: &RowStore,
        included: &[usize],
        response: &Value,
    ) -> Result<(), CheckError> {
        let ahead = self.ahead(store, included);
        for shard in indexes(&response["cut"]["behind"]) {
            ensure!(
                ahead.iter().any(|(of, _)| *of == shard),
                NotBehindSnafu { shard }
            );
        }
        Ok(())
    }

    fn show(&mut self, rows: &[Value]) -> Result<(), CheckError> {
        for row in rows {
            let id = row["id"].as_str().unwrap_or_default().to_owned();
            ensure!(!self.shown.contains(&id), ShownAgainSnafu { id });
            self.shown.push(id);
        }
        Ok(())
    }

    /// Checks the read once there is no next page: no row is left out but those added since it began.
    ///
    /// # Errors
    ///
    /// If a row was never shown.
    pub fn check_end(&self, store: &RowStore, added: &[Donation]) -> Result<(), CheckError> {
        let rows = self.shards.iter().flat_map(|&shard| &store.shards[shard]);
        for row in rows.filter(|row| !added.contains(row)) {
            ensure!(
                self.shown.contains(&row.id),
                NeverShownSnafu { id: &row.id }
            );
        }
        Ok(())
    }
}

/// Checks the rows of a page against those that are ahead.
fn check_rows(
    rows: &[Value],
    ahead: &[(usize, &Donation)],
    limit: usize,
    response: &Value,
) -> Result<(), CheckError> {
    let next = ahead.iter().take(rows.len());
    let expected: Vec<Value> = next.map(|(_, row)| row.row()).collect();
    ensure!(
        rows == expected,
        RowsSnafu {
            actual: rows,
            expected
        }
    );
    ensure!(
        !response["cut"].is_null() || rows.len() == limit.min(ahead.len()),
        ShortPageSnafu {
            actual: rows.len(),
            available: ahead.len()
        }
    );
    Ok(())
}

fn check_continuation(expected: bool, response: &Value) -> Result<(), CheckError> {
    let (goes_on, next) = (&response["goes_on"], &response["next"]);
    ensure!(
        goes_on.as_bool() == Some(expected) && next.is_string() == expected,
        ContinuationSnafu {
            goes_on: goes_on.to_string(),
            next: next.to_string(),
            expected
        }
    );
    Ok(())
}

/// The true values of one figure.
struct TrueFigure {
    /// Over the shards that the response includes.
    included: Option<i64>,
    /// Over all shards of the query.
    of_all: Option<i64>,
    /// Shards are missing.
    partial: bool,
}

impl TrueFigure {
    /// Checks a figure and its bound.
    fn check(&self, name: &'static str, actual: &Value) -> Result<(), CheckError> {
        let value = if name == "count" {
            actual["value"].as_i64()
        } else {
            cents(&actual["value"])
        };
        ensure!(
            value == self.included,
            FigureSnafu {
                name,
                actual: actual["value"].to_string(),
                expected: self.included
            }
        );
        let holds = match actual["is"].as_str() {
            Some("exact") => !self.partial && value == self.of_all,
            Some("at-least") => self.partial && value <= self.of_all,
            Some("at-most") => self.partial && value >= self.of_all,
            Some("either-way") => self.partial,
            _ => false,
        };
        ensure!(
            holds,
            BoundSnafu {
                name,
                value: actual["value"].to_string(),
                bound: actual["is"].to_string(),
                of_all: self.of_all
            }
        );
        Ok(())
    }
}

/// A count as figures have it.
fn as_figure(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

/// Checks the totals of `amount`.
///
/// # Errors
///
/// If a figure is wrong, or its bound, or the response is wrong about its shards.
pub fn check_totals(
    store: &RowStore,
    weights: &[ShardWeight],
    floor: f64,
    response: &Value,
) -> Result<(), CheckError> {
    let included = check_shards(weights, floor, response)?;
    let shards = shards_of(weights);
    let partial = included.len() < shards.len();
    let (of_included, of_all) = (store.true_totals(&included), store.true_totals(&shards));
    let actual = &response["totals"]["amount"];
    let figures = [
        ("sum", Some(of_included.sum), Some(of_all.sum)),
        (
            "count",
            Some(as_figure(of_included.count)),
            Some(as_figure(of_all.count)),
        ),
        ("least", of_included.min, of_all.min),
        ("most", of_included.max, of_all.max),
    ];
    for (name, included, of_all) in figures {
        let figure = TrueFigure {
            included,
            of_all,
            partial,
        };
        figure.check(name, &actual[name])?;
    }
    check_mean(of_included.sum, of_included.count, partial, &actual["mean"])
}

/// Checks a mean: it may be off by half a unit.
fn check_mean(sum: i64, count: usize, partial: bool, actual: &Value) -> Result<(), CheckError> {
    let rows = as_figure(count);
    let holds = match cents(&actual["value"]) {
        None => count == 0,
        Some(mean) => 2 * (mean * rows - sum).abs() <= rows,
    };
    let bound = if partial { "either-way" } else { "exact" };
    ensure!(
        holds && actual["is"].as_str() == Some(bound),
        MeanSnafu {
            sum,
            count,
            actual: actual.to_string()
        }
    );
    Ok(())
}

/// The sum over all groups but some.
fn rest_of(groups: &BTreeMap<String, SumAndCount>, but: &[String]) -> SumAndCount {
    let mut rest = SumAndCount::default();
    for (_, group) in groups.iter().filter(|(name, _)| !but.contains(name)) {
        rest.sum += group.sum;
        rest.count += group.count;
    }
    rest
}

/// Checks the sum and the count of a group.
fn check_group(
    actual: &Value,
    included: SumAndCount,
    of_all: SumAndCount,
    partial: bool,
) -> Result<(), CheckError> {
    let sum = TrueFigure {
        included: Some(included.sum),
        of_all: Some(of_all.sum),
        partial,
    };
    sum.check("sum", &actual["sum"])?;
    let count = TrueFigure {
        included: Some(as_figure(included.count)),
        of_all: Some(as_figure(of_all.count)),
        partial,
    };
    count.check("count", &actual["count"])
}

/// Checks groups by charity: at most so many by themselves, the largest first, and the rest as one.
///
/// # Errors
///
/// If groups are wrong, or their figures, or the response is wrong about its shards.
pub fn check_groups(
    store: &RowStore,
    weights: &[ShardWeight],
    floor: f64,
    max_groups: usize,
    response: &Value,
) -> Result<(), CheckError> {
    let included = check_shards(weights, floor, response)?;
    let shards = shards_of(weights);
    let partial = included.len() < shards.len();
    let (of_included, of_all) = (store.true_groups(&included), store.true_groups(&shards));
    let mut by_size: Vec<_> = of_included.iter().collect();
    by_size.sort_by_key(|(name, group)| (-group.sum, (*name).clone()));
    let actual = response["groups"]
        .as_array()
        .context(AbsentSnafu { name: "groups" })?;
    let names: Vec<String> = actual
        .iter()
        .filter_map(|group| Some(group["of"].as_str()?.to_owned()))
        .collect();
    let largest = by_size.iter().take(max_groups);
    let expected: Vec<String> = largest.map(|(name, _)| (*name).clone()).collect();
    ensure!(
        names == expected,
        GroupsSnafu {
            actual: names,
            expected
        }
    );
    for (group, name) in actual.iter().zip(&names) {
        let figures = &group["totals"]["amount"];
        check_group(figures, of_included[name], of_all[name], partial)?;
    }
    let rest = &response["rest"];
    ensure!(
        (by_size.len() > max_groups) != rest.is_null(),
        RestSnafu {
            actual: rest.to_string()
        }
    );
    if rest.is_null() {
        return Ok(());
    }
    check_group(
        &rest["totals"]["amount"],
        rest_of(&of_included, &expected),
        rest_of(&of_all, &expected),
        partial,
    )
}
