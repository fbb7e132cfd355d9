//! Stable hashing of names and keys: equal bytes have the same hash in each process and version.
//!
//! The standard library's hashes are seeded per process or may change between its versions. The hashes of this package
//! are compared between processes, stored on disks, or part of expected results:
//!
//! | hashed bytes | used for |
//! | --- | --- |
//! | `first ADDRESS` | `NodeId::genesis` in `linenthread-consensus`: the ids of the first voters. All nodes derive the same ids before they have exchanged messages; the ids are stored in records and sent in messages |
//! | `ID BACKEND ADDRESS DRAINING` of each replica | `ReplicaRegistry::digest` in `linenthread-control`: control nodes send the sum of the hashes in heartbeats and compare it |
//! | the seed of the usage duty and the number of a call | `linenthread-control`: the random part of the pause before the next call, on which simulations depend |
//! | the request target, the ids of replicas, the names of zones | `linenthread-dataplane`: the order in which replicas are preferred for a key, the same at each ingress node |
//! | the request id | `linenthread-dataplane`: the choice among a route's weighted backends, the same for each attempt |
//! | the `Debug` text of backends and attempts | `linenthread-dataplane`: the seed of a dispatcher, on which the figures of simulations depend |
//! | name, a zero byte, incarnation | `VoterIdentity::id` in `linenthread-fleet`: the id of a voter in Raft, stored on disks; also the digest of the first voters, which identifies a fleet |
//! | ids of queries, keys, replicas and zones | `hash_id` in `linenthread-protocol`: the numeric ids in `linenthread-core`, so that all co-ordinators prefer the same replicas for a key |
//! | words and a number | `linenthread-dataplane-sim`: the records of simulated replicas, the order of replicas and the digest of a simulation |
//! | service, path and number of a record | `linenthread-demo`: the records of stub replicas, which scenarios recompute to check responses |
//! | the id of a query | `linenthread-fakes`: a key for each generated query, so that all replicas are used |
//!
//! A different hash function, or different bytes in the rows of `NodeId::genesis`, `ReplicaRegistry::digest` and
//! `VoterIdentity::id`, requires a change of the protocol between nodes. In the rows of the other packages that serve
//! queries, it moves keys to other replicas, whose caches are cold. This package does not interpret what it hashes.

/// Returns the 64-bit FNV-1a hash of `bytes`. It is not collision-resistant: documents of operators are identified by
/// their SHA-256 instead.
pub fn fnv1a_64(bytes: &[u8]) -> u64 {
    Fnv1a64::default().update(bytes).value()
}

/// An incremental 64-bit FNV-1a hash: hashing pieces one after another equals hashing their concatenation.
#[derive(Clone, Copy, Debug)]
pub struct Fnv1a64(u64);

impl Default for Fnv1a64 {
    /// Returns the hash of the empty input.
    fn default() -> Self {
        const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
        Fnv1a64(OFFSET_BASIS)
    }
}

impl Fnv1a64 {
    /// Returns the hash of the bytes hashed so far, followed by `bytes`.
    #[must_use]
    pub fn update(self, bytes: &[u8]) -> Fnv1a64 {
        const PRIME: u64 = 0x0100_0000_01b3;
        Fnv1a64(bytes.iter().fold(self.0, |hash, byte| {
            (hash ^ u64::from(*byte)).wrapping_mul(PRIME)
        }))
    }

    /// Returns the hash as a number.
    pub fn value(self) -> u64 {
        self.0
    }
}
