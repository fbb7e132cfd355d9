//! Encodes and decodes the messages of a co-ordinator: the queries of clients and their responses, the frames to and
//! from replicas, and the lists of service discovery.
//!
//! The package uses neither sockets nor a clock. Apart from the fakes for tests, no other package uses the names of
//! this wire format. Start reading with [`query`], which has the requests of clients; [`frame`] has the resulting
//! messages to replicas, and [`membership`] the lists of the replicas.

pub mod frame;
pub mod membership;
pub mod query;

use linenthread_hash::fnv1a_64;

/// Hashes an id to the number that `linenthread-core` uses in its place; the same at every co-ordinator.
pub fn hash_id(id: &str) -> u64 {
    fnv1a_64(id.as_bytes())
}
