//! Decimal numbers in heads.

use std::io::Write;

/// Appends `number` in decimal.
pub fn write_decimal(to: &mut Vec<u8>, number: u64) {
    write!(to, "{number}").expect("writing to a vector cannot fail");
}
