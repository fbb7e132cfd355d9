//! The messages of a co-ordinator on sockets: what clients request and get, the frames to and from replicas,
//! and the lists of service discovery. Each is decoded once into a small typed value and encoded once.
//!
//! No socket and no clock is known here, and the wire's names are known nowhere else. Start reading with
//! [`query`], what clients send; [`frame`] is what goes to replicas for it, and [`membership`] says which
//! replicas there are.

pub mod frame;
pub mod membership;
pub mod query;

use linenthread_hash::fnv1a_64;

/// The number by which `linenthread-core` knows what has this id: the same at every co-ordinator.
pub fn hash_id(id: &str) -> u64 {
    fnv1a_64(id.as_bytes())
}
