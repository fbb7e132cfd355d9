//! The hash function shared by all co-ordinators.

/// Hashes three ids. The result must be the same at every co-ordinator and in every version, since rendezvous hashing
/// and the open shares of zone routes depend on it.
pub(crate) fn hash_ids(ids: [u64; 3]) -> u64 {
    ids.iter().fold(0x9e37_79b9_7f4a_7c15, |hash: u64, id| {
        let mixed = (hash ^ id).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 29)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 32)
    })
}
