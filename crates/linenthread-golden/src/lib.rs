//! Reads golden files, which hold bytes that an earlier version wrote, in hexadecimal. For tests only.
//!
//! A file has one of two forms: the bytes of one file on disk ([`decode_hex`]), or lines of named bytes
//! ([`named_bytes`]). A file that has neither form is a fault of the test, so that these functions panic.

/// Bytes in hexadecimal, in groups that white space separates; a group `00*5` stands for five times its bytes.
///
/// # Panics
/// If a group is not of pairs of hexadecimal digits, or its count is not a number.
#[must_use]
pub fn decode_hex(text: &str) -> Vec<u8> {
    text.split_whitespace().flat_map(decode_group).collect()
}

/// The lines of a golden file: a name, a space, and its bytes in hexadecimal.
///
/// # Panics
/// When a line without a space is reached, or bytes that [`decode_hex`] rejects.
pub fn named_bytes(text: &str) -> impl Iterator<Item = (&str, Vec<u8>)> {
    text.lines().map(|line| {
        let (name, bytes) = line
            .rsplit_once(' ')
            .unwrap_or_else(|| panic!("not a name and its bytes: {line:?}"));
        (name, decode_hex(bytes))
    })
}

fn decode_group(group: &str) -> Vec<u8> {
    let (digits, count) = group.split_once('*').unwrap_or((group, "1"));
    let count = count
        .parse()
        .unwrap_or_else(|error| panic!("the count of {group:?}: {error}"));
    let bytes: Option<Vec<u8>> = digits.as_bytes().chunks(2).map(decode_byte).collect();
    bytes
        .unwrap_or_else(|| panic!("not pairs of hexadecimal digits: {digits:?}"))
        .repeat(count)
}

/// The byte of two hexadecimal digits.
fn decode_byte(digits: &[u8]) -> Option<u8> {
    let value = |digit: u8| char::from(digit).to_digit(16);
    let [high, low] = digits else {
        return None;
    };
    u8::try_from(value(*high)? << 4 | value(*low)?).ok()
}
