//! Decimal formatting of numbers in heads.

use std::io::Write;

/// Appends a number in decimal digits.
pub fn write_decimal(to: &mut Vec<u8>, number: u64) {
    write!(to, "{number}").expect("writing to a vector cannot fail");
}
