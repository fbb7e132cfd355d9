//! Parser for golden files: hexadecimal dumps of bytes that an earlier version wrote. For tests only.
//!
//! A golden file is either the dump of a single file ([`decode_hex`]) or a list of named byte strings, one per line
//! ([`named_bytes`]). A malformed golden file is a bug in the test, so these functions panic instead of returning an
//! error.

/// Decodes groups of hexadecimal digits separated by white space. A group may have a repeat count: `00*5` is five zero
/// bytes.
///
/// # Panics
/// Panics if a group does not consist of pairs of hexadecimal digits or its repeat count is not a number.
#[must_use]
pub fn decode_hex(text: &str) -> Vec<u8> {
    text.split_whitespace().flat_map(decode_group).collect()
}

/// Parses lines that each consist of a name, a space, and hexadecimal bytes. The name may contain spaces.
///
/// # Panics
/// The iterator panics at a line without a space, or with bytes that [`decode_hex`] rejects.
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
        .unwrap_or_else(|error| panic!("invalid repeat count in {group:?}: {error}"));
    let bytes: Option<Vec<u8>> = digits.as_bytes().chunks(2).map(decode_byte).collect();
    bytes
        .unwrap_or_else(|| panic!("not pairs of hexadecimal digits: {digits:?}"))
        .repeat(count)
}

/// Returns `None` unless `digits` are exactly two hexadecimal digits.
fn decode_byte(digits: &[u8]) -> Option<u8> {
    let value = |digit: u8| char::from(digit).to_digit(16);
    let [high, low] = digits else {
        return None;
    };
    u8::try_from(value(*high)? << 4 | value(*low)?).ok()
}
