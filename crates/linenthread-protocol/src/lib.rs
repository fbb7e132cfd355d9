//! The messages of a co-ordinator on sockets: what clients request and get, the frames to and from replicas,
//! and the lists of service discovery. Each is decoded once into a small typed value and encoded once.
//!
//! No socket and no clock is known here, and the wire's names are known nowhere else. Start reading with
//! [`query`], what clients send; [`frame`] is what goes to replicas for it, and [`membership`] says which
//! replicas there are.

pub mod frame;
pub mod membership;
pub mod query;

/// The FNV-1a hash of an id, the same at every co-ordinator.
pub fn hash_id(id: &str) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    id.bytes().fold(OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}
