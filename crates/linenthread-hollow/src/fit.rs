//! Powers of growth, by least squares on logarithms.

use std::collections::BTreeMap;

use snafu::Snafu;

#[derive(Debug, Snafu)]
pub enum FitError {
    #[snafu(display("the file has no header line"))]
    NoHeader,
    #[snafu(display("the header has no column {column}"))]
    NoColumn { column: String },
    #[snafu(display("line {line} does not have as many fields as the header"))]
    BadLine { line: usize },
}

/// `value = factor * size ^ exponent`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PowerFit {
    pub exponent: f64,
    pub factor: f64,
    /// The greatest ratio between a point and the fitted value, either way.
    pub worst_ratio: f64,
    pub points: usize,
}

impl PowerFit {
    pub fn at(&self, size: f64) -> f64 {
        self.factor * size.powf(self.exponent)
    }
}

/// Fits points of size and value; those that are not positive are left out. `None` with fewer than two sizes.
pub fn power(points: &[(f64, f64)]) -> Option<PowerFit> {
    let positive = points
        .iter()
        .filter(|(size, value)| *size > 0.0 && *value > 0.0);
    let logs: Vec<(f64, f64)> = positive
        .map(|(size, value)| (size.ln(), value.ln()))
        .collect();
    let count = logs.len() as f64;
    let mean = |part: fn(&(f64, f64)) -> f64| logs.iter().map(part).sum::<f64>() / count;
    let (mean_x, mean_y) = (mean(|p| p.0), mean(|p| p.1));
    let spread: f64 = logs.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    if logs.len() < 2 || spread < 1e-12 {
        return None;
    }
    let exponent = logs
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum::<f64>()
        / spread;
    let constant = mean_y - exponent * mean_x;
    let off = |(x, y): &(f64, f64)| (y - constant - exponent * x).abs();
    let worst = logs.iter().map(off).fold(0.0, f64::max);
    Some(PowerFit {
        exponent,
        factor: constant.exp(),
        worst_ratio: worst.exp(),
        points: logs.len(),
    })
}

/// Columns that say what was run, not what was measured.
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
/// A file without these columns, or with a line of another length.
pub fn fit_csv(text: &str, size: &str) -> Result<Vec<(String, String, PowerFit)>, FitError> {
    let mut lines = text
        .lines()
        .enumerate()
        .filter(|(_, line)| !line.trim().is_empty());
    let (_, header) = lines.next().ok_or(FitError::NoHeader)?;
    let columns: Vec<&str> = header.split(',').collect();
    let find = |name: &str| {
        let at = columns.iter().position(|c| *c == name);
        at.ok_or_else(|| FitError::NoColumn {
            column: name.to_owned(),
        })
    };
    let (role_at, size_at) = (find("role")?, find(size)?);
    let mut points: BTreeMap<(&str, usize), Vec<(f64, f64)>> = BTreeMap::new();
    for (line, fields) in lines {
        let fields: Vec<&str> = fields.split(',').collect();
        if fields.len() != columns.len() {
            return BadLineSnafu { line: line + 1 }.fail();
        }
        // Files that were joined have the header more than once.
        let Ok(size) = fields[size_at].parse::<f64>() else {
            continue;
        };
        for (at, field) in fields.iter().enumerate() {
            if NOT_MEASURED.contains(&columns[at]) {
                continue;
            }
            if let Ok(value) = field.parse::<f64>() {
                points
                    .entry((fields[role_at], at))
                    .or_default()
                    .push((size, value));
            }
        }
    }
    let fitted = |((role, at), points): (&(&str, usize), &Vec<(f64, f64)>)| {
        Some(((*role).to_owned(), columns[*at].to_owned(), power(points)?))
    };
    Ok(points.iter().filter_map(fitted).collect())
}
