//! Exact decimal numbers of a stated scale: whole numbers of the smallest unit. No binary fraction and no
//! rounding comes near a sum of money.

/// Digits that a number may have in all, so that no sum over [`crate::MOST_SLICES`] slices can overflow.
const MOST_DIGITS: usize = 30;
/// Digits after the point that a file may ask for.
pub const MOST_SCALE: u32 = 12;

/// Reads a number such as `-12.50` at so many digits after the point.
///
/// # Errors
///
/// Anything that is not such a number, has more digits after the point than the scale (zeros aside), or
/// more than 30 in all.
pub(crate) fn parse(text: &str, scale: u32) -> Result<i128, String> {
    let bad = || format!("{text:.40?} is no decimal number");
    let (negative, digits) = match text.strip_prefix('-') {
        Some(rest) => (true, rest),
        None => (false, text),
    };
    let (whole, fraction) = digits.split_once('.').unwrap_or((digits, ""));
    let all_digits = |s: &str| s.bytes().all(|b| b.is_ascii_digit());
    if whole.is_empty() || !all_digits(whole) || !all_digits(fraction) || digits.ends_with('.') {
        return Err(bad());
    }
    let kept = fraction.trim_end_matches('0');
    if kept.len() > scale as usize {
        return Err(format!(
            "{text:.40?} has more than {scale} digits after the point"
        ));
    }
    if whole.trim_start_matches('0').len() + scale as usize > MOST_DIGITS {
        return Err(format!("{text:.40?} has too many digits"));
    }
    let mut units: i128 = 0;
    for digit in whole.bytes().chain(kept.bytes()) {
        units = units * 10 + i128::from(digit - b'0');
    }
    units *= 10_i128.pow(scale - kept.len() as u32);
    Ok(if negative { -units } else { units })
}

/// Writes it with all digits of its scale.
pub(crate) fn format(units: i128, scale: u32) -> String {
    let digits = format!(
        "{:0>width$}",
        units.unsigned_abs(),
        width = scale as usize + 1
    );
    let (whole, fraction) = digits.split_at(digits.len() - scale as usize);
    let sign = if units < 0 { "-" } else { "" };
    if fraction.is_empty() {
        format!("{sign}{whole}")
    } else {
        format!("{sign}{whole}.{fraction}")
    }
}

/// A quotient rounded to whole units, halves to the even one.
pub(crate) fn mean(sum: i128, count: u64) -> Option<i128> {
    let count = i128::from(count);
    if count == 0 {
        return None;
    }
    let (quotient, rest) = (sum.div_euclid(count), sum.rem_euclid(count));
    let up = match (rest * 2).cmp(&count) {
        std::cmp::Ordering::Less => false,
        std::cmp::Ordering::Equal => quotient.rem_euclid(2) == 1,
        std::cmp::Ordering::Greater => true,
    };
    Some(quotient + i128::from(up))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn numbers_are_exact_and_what_would_not_be_is_refused() {
        for (text, scale, units) in [
            ("0.1", 2, 10),
            ("-0.05", 2, -5),
            ("7", 0, 7),
            ("1.500", 1, 15),
            ("-0", 2, 0),
            ("007.10", 2, 710),
        ] {
            assert_eq!(parse(text, scale), Ok(units), "{text}");
        }
        for text in [
            "",
            "-",
            ".5",
            "1.",
            "1e3",
            "+1",
            " 1",
            "1,5",
            "0x1",
            "1.005",
            &"9".repeat(29),
        ] {
            assert!(parse(text, 2).is_err(), "{text}");
        }
        assert_eq!(
            [format(10, 2), format(-5, 2), format(7, 0), format(0, 3)],
            ["0.10", "-0.05", "7", "0.000"]
        );
        let tenths: i128 = (0..10).map(|_| parse("0.1", 1).unwrap()).sum();
        assert_eq!(format(tenths, 1), "1.0");
        assert_eq!(
            [mean(5, 2), mean(7, 2), mean(-5, 2), mean(10, 3), mean(0, 0)].map(|m| m.unwrap_or(99)),
            [2, 4, -2, 3, 99]
        );
    }
}
