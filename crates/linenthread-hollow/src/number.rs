//! Conversions of counts for statistics.

/// A count as a figure of statistics. Beyond 2^53 its last digits are lost, which no figure shows.
pub(crate) fn float(count: u64) -> f64 {
    count as f64
}

/// A length as a figure of statistics, as [`float`].
pub(crate) fn float_of_length(length: usize) -> f64 {
    float(count(length))
}

/// A length as a count.
pub(crate) fn count(length: usize) -> u64 {
    u64::try_from(length).unwrap_or(u64::MAX)
}

/// A length in bytes, for differences.
pub(crate) fn signed(length: usize) -> i64 {
    i64::try_from(length).unwrap_or(i64::MAX)
}
