/// A hash of 64 bits that is the same in each process and version (FNV-1a). It spreads names and keys; it does not
/// tell documents apart, for that see [`crate::document_digest`].
pub fn fnv1a_64(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// The name of the disk at an address on the very first start of all.
pub fn genesis_id(address: &str) -> u64 {
    fnv1a_64(format!("first {address}").as_bytes()) | 1
}
