//! The messages of a co-ordinator on sockets: what clients ask and are answered, the frames to and from
//! replicas, the roster's lists. Each is decoded once into a small typed value and encoded once. No socket
//! and no clock is known here, and outside this crate no word of the wire is.
#![expect(
    missing_docs,
    reason = "public items of this package are not all documented yet"
)]

pub mod frame;
pub mod membership;
pub mod query;

/// A number for an id that is the same at every co-ordinator.
pub fn hash_id(id: &str) -> u64 {
    id.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| {
        (h ^ u64::from(b)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}
