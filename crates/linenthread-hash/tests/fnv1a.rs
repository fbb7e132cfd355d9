//! Checks the hash against the published FNV-1a test vectors, in one piece and in two.

use linenthread_hash::{Fnv1a64, fnv1a_64};

#[test]
fn hashing_in_pieces_equals_hashing_at_once() {
    let input = b"foobar";
    for split_index in 0..=input.len() {
        let (first, second) = input.split_at(split_index);
        let pieces = Fnv1a64::default().update(first).update(second);
        assert_eq!(pieces.value(), 0x8594_4171_f739_67e8, "{split_index}");
    }
}

#[test]
fn the_published_test_vectors_match() {
    let vectors: [(&str, u64); 4] = [
        ("", 0xcbf2_9ce4_8422_2325),
        ("a", 0xaf63_dc4c_8601_ec8c),
        ("foo", 0xdcb2_7518_fed9_d577),
        ("foobar", 0x8594_4171_f739_67e8),
    ];
    for (text, hash) in vectors {
        assert_eq!(fnv1a_64(text.as_bytes()), hash, "{text:?}");
    }
}
