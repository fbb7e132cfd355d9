//! Powers of growth, by least squares on logarithms.

use std::collections::BTreeMap;

use snafu::{OptionExt, Snafu, ensure};

use crate::number::float_of_length;

/// Why a CSV can't be fitted.
#[derive(Debug, Snafu)]
pub enum FitError {
    /// There is no line at all.
    #[snafu(display("the file has no header line"))]
    NoHeader,
    /// The role or the size is not in the file.
    #[snafu(display("the header has no column {column}"))]
    NoColumn {
        /// The column that is missing.
        column: String,
    },
    /// A line is not one of this file.
    #[snafu(display("line {line} does not have as many fields as the header"))]
    BadLine {
        /// Its number, from 1.
        line: usize,
    },
}

/// `value = factor * size ^ exponent`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PowerFit {
    /// How fast the value grows.
    pub exponent: f64,
    /// The value at size 1.
    pub factor: f64,
    /// The greatest ratio between a point and the fitted value, either way.
    pub worst_ratio: f64,
    /// How many points were fitted.
    pub points: usize,
}

impl PowerFit {
    /// The fitted value at this size.
    pub fn at(&self, size: f64) -> f64 {
        self.factor * size.powf(self.exponent)
    }
}

/// A size, and what was measured there.
#[derive(Clone, Copy, Debug)]
pub struct Point {
    /// How large the system was.
    pub size: f64,
    /// What was measured.
    pub value: f64,
}

/// Sizes that spread less than this on a logarithmic scale are one size.
const MIN_SPREAD: f64 = 1e-12;

/// Fits points; those that are not positive are left out. `None` with fewer than two sizes.
pub fn fit_power(points: &[Point]) -> Option<PowerFit> {
    let logarithms: Vec<(f64, f64)> = points
        .iter()
        .filter(|point| point.size > 0.0 && point.value > 0.0)
        .map(|point| (point.size.ln(), point.value.ln()))
        .collect();
    let count = float_of_length(logarithms.len());
    let mean = |part: fn(&(f64, f64)) -> f64| logarithms.iter().map(part).sum::<f64>() / count;
    let (mean_x, mean_y) = (mean(|point| point.0), mean(|point| point.1));
    let spread: f64 = logarithms.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    if logarithms.len() < 2 || spread < MIN_SPREAD {
        return None;
    }
    let covariance: f64 = logarithms
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let exponent = covariance / spread;
    let constant = mean_y - exponent * mean_x;
    let error = |(x, y): &(f64, f64)| (y - constant - exponent * x).abs();
    let worst = logarithms.iter().map(error).fold(0.0, f64::max);
    Some(PowerFit {
        exponent,
        factor: constant.exp(),
        worst_ratio: worst.exp(),
        points: logarithms.len(),
    })
}

/// The fit of one column for one role.
#[derive(Clone, Debug)]
pub struct ColumnFit {
    /// The role, and the kind of work after a slash.
    pub role: String,
    /// The column that was measured.
    pub column: String,
    /// How it grows.
    pub power: PowerFit,
}

/// Columns for what was run, not for what was measured.
const NOT_MEASURED: [&str; 8] = [
    "fronts",
    "replicas",
    "control",
    "voters",
    "seconds",
    "seed",
    "document_bytes",
    "machines",
];

/// Fits every column of measurements of a CSV against the column `size`, by the value of the column `role`.
///
/// # Errors
///
/// A file without these columns, or with a line of another length.
pub fn fit_csv(text: &str, size: &str) -> Result<Vec<ColumnFit>, FitError> {
    let mut lines = text
        .lines()
        .enumerate()
        .filter(|(_, line)| !line.trim().is_empty());
    let (_, header) = lines.next().context(NoHeaderSnafu)?;
    let columns: Vec<&str> = header.split(',').collect();
    let role_index = find_column(&columns, "role")?;
    let size_index = find_column(&columns, size)?;
    let mut points: BTreeMap<(&str, usize), Vec<Point>> = BTreeMap::new();
    for (line, fields) in lines {
        let fields: Vec<&str> = fields.split(',').collect();
        ensure!(
            fields.len() == columns.len(),
            BadLineSnafu { line: line + 1 }
        );
        // Files that were joined have the header more than once.
        let Ok(size) = fields[size_index].parse::<f64>() else {
            continue;
        };
        let measured = fields
            .iter()
            .enumerate()
            .filter(|(index, _)| !NOT_MEASURED.contains(&columns[*index]));
        for (index, field) in measured {
            if let Ok(value) = field.parse::<f64>() {
                let key = (fields[role_index], index);
                points.entry(key).or_default().push(Point { size, value });
            }
        }
    }
    let fit = |((role, index), points): (&(&str, usize), &Vec<Point>)| {
        Some(ColumnFit {
            role: (*role).to_owned(),
            column: columns[*index].to_owned(),
            power: fit_power(points)?,
        })
    };
    Ok(points.iter().filter_map(fit).collect())
}

fn find_column(columns: &[&str], name: &str) -> Result<usize, FitError> {
    columns
        .iter()
        .position(|column| *column == name)
        .context(NoColumnSnafu { column: name })
}
