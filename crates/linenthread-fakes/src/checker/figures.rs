//! Checks figures: the value over the included shards, and its bound relative to the value over all shards.

use serde_json::Value;
use snafu::ensure;

use super::CheckError;
use super::error::{BoundSnafu, FigureSnafu};
use crate::row_store::SumAndCount;

/// The unit of a figure, which determines its JSON representation.
#[derive(Clone, Copy)]
pub(super) enum Unit {
    /// A number of rows.
    Count,
    /// An amount in hundredths.
    Cents,
}

/// The true values of one figure.
pub(super) struct TrueFigure {
    /// The figure's name in the response.
    pub(super) name: &'static str,
    pub(super) unit: Unit,
    /// The value over the shards that the response includes.
    pub(super) included: Option<i64>,
    /// The value over all shards of the query.
    pub(super) of_all: Option<i64>,
}

impl TrueFigure {
    /// Checks the value and the bound of this figure. `partial` is true if shards are missing.
    pub(super) fn check(&self, figures: &Value, partial: bool) -> Result<(), CheckError> {
        let actual = &figures[self.name];
        let value = match self.unit {
            Unit::Count => actual["value"].as_i64(),
            Unit::Cents => cents(&actual["value"]),
        };
        ensure!(
            value == self.included,
            FigureSnafu {
                name: self.name,
                actual: actual["value"].to_string(),
                expected: self.included
            }
        );
        let is_bound_valid = match actual["is"].as_str() {
            Some("exact") => !partial && value == self.of_all,
            Some("at-least") => partial && value <= self.of_all,
            Some("at-most") => partial && value >= self.of_all,
            Some("either-way") => partial,
            _ => false,
        };
        ensure!(
            is_bound_valid,
            BoundSnafu {
                name: self.name,
                value: actual["value"].to_string(),
                bound: actual["is"].to_string(),
                of_all: self.of_all
            }
        );
        Ok(())
    }
}

/// Checks the figures `sum` and `count`.
pub(super) fn check_sum_and_count(
    figures: &Value,
    included: SumAndCount,
    of_all: SumAndCount,
    partial: bool,
) -> Result<(), CheckError> {
    let sum = TrueFigure {
        name: "sum",
        unit: Unit::Cents,
        included: Some(included.sum),
        of_all: Some(of_all.sum),
    };
    sum.check(figures, partial)?;
    let count = TrueFigure {
        name: "count",
        unit: Unit::Count,
        included: Some(as_figure(included.count)),
        of_all: Some(as_figure(of_all.count)),
    };
    count.check(figures, partial)
}

/// Parses an amount with two decimal places into hundredths.
pub(super) fn cents(amount: &Value) -> Option<i64> {
    let (units, fraction) = amount.as_str()?.split_once('.')?;
    if fraction.len() != 2 {
        return None;
    }
    let sign = if units.starts_with('-') { -1 } else { 1 };
    Some(units.parse::<i64>().ok()? * 100 + sign * fraction.parse::<i64>().ok()?)
}

/// Converts a count to the type of figures.
pub(super) fn as_figure(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}
