//! The hash of the published test vectors of FNV-1a.

use linenthread_hash::{Fnv1a64, fnv1a_64};

#[test]
fn the_hash_of_pieces_is_that_of_the_whole() {
    let whole = b"foobar";
    for end_of_first in 0..=whole.len() {
        let (first, second) = whole.split_at(end_of_first);
        let pieces = Fnv1a64::default().update(first).update(second);
        assert_eq!(pieces.value(), 0x8594_4171_f739_67e8, "{end_of_first}");
    }
}

#[test]
fn the_hash_is_that_of_the_published_test_vectors() {
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
