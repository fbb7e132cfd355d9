//! Exact totals over many shards, with a statement for each statistic of how it relates to the true value.

use std::borrow::Cow;
use std::collections::HashMap;

use serde::Deserialize;
use serde_json::value::RawValue;
use serde_json::{Map, Value, json};

use crate::decimal;
use crate::error::{InconsistentTotalsSnafu, MissingTotalsSnafu, NegativeValueSnafu, ValueError};
use crate::plan::{Measure, Statistic};

/// A shard's value as JSON: `{"totals":{FIELD:{"count":..,"sum":..,"least":..,"most":..}}}`.
#[derive(Deserialize)]
pub(crate) struct TotalsValue<'a> {
    #[serde(borrow)]
    totals: HashMap<Cow<'a, str>, MeasureValue<'a>>,
}

/// The totals of one measure as a shard reports them.
#[derive(Deserialize)]
pub(crate) struct MeasureValue<'a> {
    count: u64,
    #[serde(borrow)]
    sum: &'a RawValue,
    #[serde(borrow, rename = "least")]
    min: Option<&'a RawValue>,
    #[serde(borrow, rename = "most")]
    max: Option<&'a RawValue>,
}

/// The lowest and the highest value, in units of the measure's scale.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Range {
    min: i128,
    max: i128,
}

/// The totals of one measure's values, in units of its scale.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct MeasureTotal {
    count: u64,
    sum: i128,
    /// `None` if there is no value.
    range: Option<Range>,
    /// The sum has overflowed and is not reported.
    overflowed: bool,
}

/// One total for each measure, in the plan's order.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Totals(Vec<MeasureTotal>);

impl Totals {
    /// Returns the totals of no values.
    pub(crate) fn zero(measures: &[Measure]) -> Totals {
        Totals(vec![MeasureTotal::default(); measures.len()])
    }

    /// Parses a shard's value and checks its totals.
    pub(crate) fn parse(value: &str, measures: &[Measure]) -> Result<Totals, ValueError> {
        let value: TotalsValue = serde_json::from_str(value)?;
        Totals::from_values(&value.totals, measures)
    }

    /// Checks the totals that a shard reports, and converts them to the plan's measures.
    pub(crate) fn from_values(
        values: &HashMap<Cow<str>, MeasureValue>,
        measures: &[Measure],
    ) -> Result<Totals, ValueError> {
        let total = |measure: &Measure| {
            let field = measure.field.as_str();
            match values.get(field) {
                Some(value) => MeasureTotal::from_value(value, measure),
                None => MissingTotalsSnafu { field }.fail(),
            }
        };
        measures
            .iter()
            .map(total)
            .collect::<Result<_, _>>()
            .map(Totals)
    }

    pub(crate) fn add(&mut self, other: &Totals) {
        for (total, other) in self.0.iter_mut().zip(&other.0) {
            total.add(other);
        }
    }

    /// Returns the sum of the first measure, by which groups are ordered; 0 if there is no measure.
    pub(crate) fn first_sum(&self) -> i128 {
        self.0.first().map_or(0, |total| total.sum)
    }

    /// Returns the statistics of each measure as JSON; `incomplete` means that values are missing.
    pub(crate) fn to_json(&self, measures: &[Measure], incomplete: bool) -> Value {
        let totals: Map<String, Value> = measures
            .iter()
            .zip(&self.0)
            .map(|(measure, total)| (measure.field.clone(), total.to_json(measure, incomplete)))
            .collect();
        Value::Object(totals)
    }
}

impl TotalsValue<'_> {
    pub(crate) fn check(&self, measures: &[Measure]) -> Result<Totals, ValueError> {
        Totals::from_values(&self.totals, measures)
    }
}

impl MeasureTotal {
    fn add(&mut self, other: &MeasureTotal) {
        self.count = self.count.saturating_add(other.count);
        match self.sum.checked_add(other.sum) {
            Some(sum) => self.sum = sum,
            None => self.overflowed = true,
        }
        self.overflowed |= other.overflowed;
        self.range = match (self.range, other.range) {
            (Some(a), Some(b)) => Some(Range {
                min: a.min.min(b.min),
                max: a.max.max(b.max),
            }),
            (a, b) => a.or(b),
        };
    }

    /// Converts the totals that a shard reports of a measure, and checks their consistency.
    fn from_value(value: &MeasureValue, measure: &Measure) -> Result<MeasureTotal, ValueError> {
        let number = |raw: &RawValue| parse_number(raw, measure.scale);
        let present = |raw: Option<&RawValue>| {
            raw.filter(|raw| raw.get() != "null")
                .map(number)
                .transpose()
        };
        let sum = number(value.sum)?;
        let (min, max) = (present(value.min)?, present(value.max)?);
        let total = MeasureTotal {
            count: value.count,
            sum,
            range: min.zip(max).map(|(min, max)| Range { min, max }),
            overflowed: false,
        };
        let field = &measure.field;
        if !total.is_consistent() {
            return InconsistentTotalsSnafu { field }.fail();
        }
        if measure.never_negative && total.range.is_some_and(|range| range.min < 0) {
            return NegativeValueSnafu { field }.fail();
        }
        Ok(total)
    }

    /// Reports whether values with this count, sum and range can exist.
    fn is_consistent(&self) -> bool {
        let Some(Range { min, max }) = self.range else {
            return self.count == 0 && self.sum == 0;
        };
        let times_count = |value: i128| value.checked_mul(i128::from(self.count));
        self.count > 0
            && min <= max
            && times_count(min).is_some_and(|lowest| lowest <= self.sum)
            && times_count(max).is_some_and(|highest| self.sum <= highest)
    }

    /// Returns the measure's statistics as JSON, each with its accuracy.
    fn to_json(self, measure: &Measure, incomplete: bool) -> Value {
        let statistic = |statistic: &Statistic| {
            let json = self.statistic_json(*statistic, measure, incomplete);
            (response_key(*statistic).to_owned(), json)
        };
        Value::Object(measure.statistics.iter().map(statistic).collect())
    }

    fn statistic_json(&self, statistic: Statistic, measure: &Measure, incomplete: bool) -> Value {
        let value = self.value(statistic, measure);
        let overflowed = self.overflowed && matches!(statistic, Statistic::Sum | Statistic::Mean);
        let accuracy = if overflowed {
            Accuracy::Overflowed
        } else if !incomplete {
            Accuracy::Exact
        } else if value.is_none() {
            // Without any value there is no bound.
            Accuracy::Unbounded
        } else {
            Accuracy::of_incomplete(statistic, measure)
        };
        json!({"value": value, "is": accuracy.key()})
    }

    fn value(&self, statistic: Statistic, measure: &Measure) -> Option<Value> {
        let sum = (!self.overflowed).then_some(self.sum);
        let units = match statistic {
            Statistic::Count => return Some(json!(self.count)),
            Statistic::Sum => sum,
            Statistic::Min => self.range.map(|range| range.min),
            Statistic::Max => self.range.map(|range| range.max),
            Statistic::Mean => sum.and_then(|sum| decimal::mean(sum, self.count)),
        };
        units.map(|units| Value::String(decimal::format(units, measure.scale)))
    }
}

/// The relation of a reported statistic to the true value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Accuracy {
    Exact,
    /// The true value is the same or higher.
    LowerBound,
    /// The true value is the same or lower.
    UpperBound,
    /// The true value may be higher or lower.
    Unbounded,
    /// The sum has overflowed.
    Overflowed,
}

impl Accuracy {
    /// Returns the accuracy of a statistic while values are missing.
    fn of_incomplete(statistic: Statistic, measure: &Measure) -> Accuracy {
        match statistic {
            Statistic::Sum if measure.never_negative => Accuracy::LowerBound,
            Statistic::Count | Statistic::Max => Accuracy::LowerBound,
            Statistic::Min => Accuracy::UpperBound,
            Statistic::Sum | Statistic::Mean => Accuracy::Unbounded,
        }
    }

    /// Returns its key in responses.
    fn key(self) -> &'static str {
        match self {
            Accuracy::Exact => "exact",
            Accuracy::LowerBound => "at-least",
            Accuracy::UpperBound => "at-most",
            Accuracy::Unbounded => "either-way",
            Accuracy::Overflowed => "overflown",
        }
    }
}

/// Returns a statistic's key in responses.
fn response_key(statistic: Statistic) -> &'static str {
    match statistic {
        Statistic::Sum => "sum",
        Statistic::Count => "count",
        Statistic::Min => "least",
        Statistic::Max => "most",
        Statistic::Mean => "mean",
    }
}

/// Parses a number that is given as a JSON number or as a JSON string.
fn parse_number(raw: &RawValue, scale: u32) -> Result<i128, ValueError> {
    let text: Cow<str> = if raw.get().starts_with('"') {
        Cow::Owned(serde_json::from_str(raw.get())?)
    } else {
        Cow::Borrowed(raw.get())
    };
    Ok(decimal::parse(&text, scale)?)
}
