//! A hash that is the same in each process and version, for names and keys.
//!
//! The standard library's hashes are seeded per process, or may change with its version. What is hashed here is
//! compared between processes, or stays on disks:
//!
//! | hashed bytes | what relies on the hash |
//! | --- | --- |
//! | `first ADDRESS` | `NodeId::genesis` in `linenthread-consensus`: the identities of the first voters, which all nodes derive alike before they have talked, and which stay in records and messages |
//! | `ID BACKEND ADDRESS DRAINING` of each replica | `ReplicaRegistry::digest` in `linenthread-control`: control nodes send the sum in heartbeats, and compare it |
//! | the request target, the ids of replicas, the names of zones | `linenthread-dataplane`: the order in which replicas are preferred for a key, the same at each ingress node |
//! | the request id | `linenthread-dataplane`: which of a route's weighted backends a request goes to, the same for each attempt |
//! | the `Debug` text of backends and attempts | `linenthread-dataplane`: the seed of a dispatcher; figures of simulations depend on it |
//!
//! Another hash function, or another text in the first two rows, needs a change of the protocol between nodes; in the
//! others it moves keys to other replicas, whose caches are cold. The package knows nothing of what it hashes.

/// The 64-bit FNV-1a hash of `bytes`. It is not collision-resistant: documents of operators are identified by their
/// SHA-256 instead.
pub fn fnv1a_64(bytes: &[u8]) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    bytes.iter().fold(OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(PRIME)
    })
}
