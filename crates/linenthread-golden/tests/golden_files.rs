//! Parses both forms of golden files and rejects malformed ones.

use linenthread_golden::{decode_hex, named_bytes};
use yare::parameterized;

#[parameterized(
    empty = { "", &[] },
    digits_of_both_cases = { "00fF7a", &[0x00, 0xff, 0x7a] },
    groups_and_lines = { "01 02\n03\n", &[1, 2, 3] },
    repeated_group = { "01 a0b0*3 02", &[1, 0xa0, 0xb0, 0xa0, 0xb0, 0xa0, 0xb0, 2] },
)]
fn bytes_are_decoded(text: &str, expected: &[u8]) {
    assert_eq!(decode_hex(text), expected);
}

#[parameterized(
    odd_number_of_digits = { "012" },
    pair_split_by_space = { "0 1" },
    no_digit = { "0g" },
    sign = { "+1" },
    no_count = { "00*" },
)]
#[should_panic]
fn malformed_bytes_panic(text: &str) {
    let _ = decode_hex(text);
}

#[test]
fn names_may_contain_spaces_and_bytes_may_be_empty() {
    let text = "first 0102\nnode a/file 1 ff\nempty \n";
    let lines: Vec<_> = named_bytes(text).collect();
    assert_eq!(
        lines,
        [
            ("first", vec![1, 2]),
            ("node a/file 1", vec![0xff]),
            ("empty", vec![]),
        ]
    );
}

#[test]
#[should_panic(expected = "not a name and its bytes")]
fn a_line_without_a_space_panics() {
    named_bytes("name\n").for_each(drop);
}
