//! A hash that is the same in each process and version, for names and keys.
//!
//! The standard library's hashes are seeded per process, or may change with its version. What is hashed here is
//! compared between processes, or stays on disks or in expected results:
//!
//! | hashed bytes | what relies on the hash |
//! | --- | --- |
//! | `first ADDRESS` | `NodeId::genesis` in `linenthread-consensus`: the identities of the first voters, which all nodes derive alike before they have talked, and which stay in records and messages |
//! | `ID BACKEND ADDRESS DRAINING` of each replica | `ReplicaRegistry::digest` in `linenthread-control`: control nodes send the sum in heartbeats, and compare it |
//! | the request target, the ids of replicas, the names of zones | `linenthread-dataplane`: the order in which replicas are preferred for a key, the same at each ingress node |
//! | the request id | `linenthread-dataplane`: which of a route's weighted backends a request goes to, the same for each attempt |
//! | name, a zero byte, incarnation | `VoterIdentity::id` in `linenthread-fleet`: the id of a voter in Raft, which lies on disks; and the digest of the first voters, by which fleets tell each other apart |
//! | ids of queries, keys, replicas and zones | `hash_id` in `linenthread-protocol`: the numbers by which `linenthread-core` knows them, so that each co-ordinator prefers the same replicas for a key |
//! | the `Debug` text of backends and attempts | `linenthread-dataplane`: the seed of a dispatcher; figures of simulations depend on it |
//! | words and a number | `linenthread-dataplane-sim`: the records of simulated replicas, the order of a simulation's replicas and its digest |
//! | service, path and number of a record | `linenthread-demo`: the records of stub replicas, which scenarios compute again to check responses |
//! | the id of a query | `linenthread-fakes`: a key for each query of its load, so that all replicas are used |
//!
//! Another hash function, or other bytes in the rows of `NodeId::genesis`, `ReplicaRegistry::digest` and
//! `VoterIdentity::id`, needs a change of the protocol between nodes; in those of other packages that serve queries it
//! moves keys to other replicas, whose caches are cold. The package knows nothing of what it hashes.

/// The 64-bit FNV-1a hash of `bytes`. It is not collision-resistant: documents of operators are identified by their
/// SHA-256 instead.
pub fn fnv1a_64(bytes: &[u8]) -> u64 {
    Fnv1a64::default().update(bytes).value()
}

/// The 64-bit FNV-1a hash of bytes that come in pieces: the same as that of all the pieces in one.
#[derive(Clone, Copy, Debug)]
pub struct Fnv1a64(u64);

impl Default for Fnv1a64 {
    /// The hash of no bytes.
    fn default() -> Self {
        const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
        Fnv1a64(OFFSET_BASIS)
    }
}

impl Fnv1a64 {
    /// The hash of what came so far, followed by `bytes`.
    #[must_use]
    pub fn update(self, bytes: &[u8]) -> Fnv1a64 {
        const PRIME: u64 = 0x0100_0000_01b3;
        Fnv1a64(bytes.iter().fold(self.0, |hash, byte| {
            (hash ^ u64::from(*byte)).wrapping_mul(PRIME)
        }))
    }

    /// The hash as a number.
    pub fn value(self) -> u64 {
        self.0
    }
}
