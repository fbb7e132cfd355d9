//! Decimal numbers of a given scale, as integers of the smallest unit, so that sums of money are exact.

use crate::error::{DecimalError, NotDecimalSnafu, TooManyDigitsSnafu, TooPreciseSnafu};

/// The maximum number of digits of a number, so that no sum over [`MAX_SHARDS`](crate::MAX_SHARDS) shards can overflow.
const MAX_DIGITS: usize = 30;

/// Parses a number such as `-12.50` into an integer number of units of 10^-`scale`.
///
/// # Errors
///
/// The text is not such a number, has more than `scale` digits after the point (apart from trailing zeros), or needs
/// more than 30 digits in all.
pub(crate) fn parse(text: &str, scale: u32) -> Result<i128, DecimalError> {
    let (negative, digits) = match text.strip_prefix('-') {
        Some(rest) => (true, rest),
        None => (false, text),
    };
    let (integer, fraction) = digits.split_once('.').unwrap_or((digits, ""));
    let all_digits = |part: &str| part.bytes().all(|byte| byte.is_ascii_digit());
    if integer.is_empty() || !all_digits(integer) || !all_digits(fraction) || digits.ends_with('.')
    {
        return NotDecimalSnafu { text }.fail();
    }
    let fraction = fraction.trim_end_matches('0');
    let Some(missing_digits) = digits_in(scale).checked_sub(fraction.len()) else {
        return TooPreciseSnafu { text, scale }.fail();
    };
    if integer.trim_start_matches('0').len() + digits_in(scale) > MAX_DIGITS {
        return TooManyDigitsSnafu { text }.fail();
    }
    let significant = integer.bytes().chain(fraction.bytes());
    let zeros = std::iter::repeat_n(b'0', missing_digits);
    let units = significant
        .chain(zeros)
        .fold(0_i128, |units, digit| units * 10 + i128::from(digit - b'0'));
    Ok(if negative { -units } else { units })
}

/// Formats a number with `scale` digits after the point.
pub(crate) fn format(units: i128, scale: u32) -> String {
    let width = digits_in(scale) + 1;
    let digits = format!("{:0>width$}", units.unsigned_abs());
    let (integer, fraction) = digits.split_at(digits.len() - digits_in(scale));
    let sign = if units < 0 { "-" } else { "" };
    if fraction.is_empty() {
        format!("{sign}{integer}")
    } else {
        format!("{sign}{integer}.{fraction}")
    }
}

/// Returns the mean rounded to whole units, halves to the even one; `None` if the count is 0.
pub(crate) fn mean(sum: i128, count: u64) -> Option<i128> {
    let count = i128::from(count);
    if count == 0 {
        return None;
    }
    let (quotient, remainder) = (sum.div_euclid(count), sum.rem_euclid(count));
    let rounds_up = match (remainder * 2).cmp(&count) {
        std::cmp::Ordering::Less => false,
        std::cmp::Ordering::Equal => quotient.rem_euclid(2) == 1,
        std::cmp::Ordering::Greater => true,
    };
    Some(quotient + i128::from(rounds_up))
}

fn digits_in(scale: u32) -> usize {
    usize::try_from(scale).unwrap_or(usize::MAX)
}
