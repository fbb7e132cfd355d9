//! A hash that is the same in each process and version.

/// The 64-bit FNV-1a hash of `bytes`, for names and keys. It is not collision-resistant; documents are identified by
/// [`crate::document_digest`].
pub fn fnv1a_64(bytes: &[u8]) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    bytes.iter().fold(OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(PRIME)
    })
}
