//! Checks totals over all rows.

use serde_json::Value;
use snafu::ensure;

use super::CheckError;
use super::error::MeanSnafu;
use super::figures::{TrueFigure, Unit, as_figure, cents, check_sum_and_count};
use super::shards::{ShardWeight, check_shards, shard_numbers};
use crate::row_store::{RowStore, SumAndCount};

/// Checks the totals of `amount`.
///
/// # Errors
///
/// If a figure, its bound, or a statement on shards is wrong.
///
/// # Panics
///
/// If the store does not have one of the query's shards.
pub fn check_totals(
    store: &RowStore,
    shards: &[ShardWeight],
    floor: f64,
    response: &Value,
) -> Result<(), CheckError> {
    let included = check_shards(shards, floor, response)?;
    let queried = shard_numbers(shards);
    let partial = included.len() < queried.len();
    let (of_included, of_all) = (store.true_totals(&included), store.true_totals(&queried));
    let figures = &response["totals"]["amount"];
    check_sum_and_count(
        figures,
        of_included.sum_and_count,
        of_all.sum_and_count,
        partial,
    )?;
    let least = TrueFigure {
        name: "least",
        unit: Unit::Cents,
        included: of_included.min,
        of_all: of_all.min,
    };
    least.check(figures, partial)?;
    let most = TrueFigure {
        name: "most",
        unit: Unit::Cents,
        included: of_included.max,
        of_all: of_all.max,
    };
    most.check(figures, partial)?;
    check_mean(&figures["mean"], of_included.sum_and_count, partial)
}

/// Checks the mean and its bound. The mean may be off by half of a hundredth, due to rounding.
fn check_mean(actual: &Value, included: SumAndCount, partial: bool) -> Result<(), CheckError> {
    let SumAndCount { sum, count } = included;
    let rows = as_figure(count);
    let is_value_correct = match cents(&actual["value"]) {
        None => count == 0,
        Some(mean) => 2 * (mean * rows - sum).abs() <= rows,
    };
    let bound = if partial { "either-way" } else { "exact" };
    ensure!(
        is_value_correct && actual["is"].as_str() == Some(bound),
        MeanSnafu {
            sum,
            count,
            actual: actual.to_string()
        }
    );
    Ok(())
}
