//! The data plane in simulated time: the daemon's own pool, framing, dispatcher, decision module and client
//! side, against stand-in replicas on connections in memory, under faults drawn from a seed.
//!
//! [`network`] is the connections, [`replica`] what listens on them, [`fate`] the faults, [`client`] the
//! sessions, [`judge`] the rules, and [`world`] puts one front, its replicas and its clients together.
#![expect(
    missing_docs,
    reason = "public items of this package are not all documented yet"
)]

pub mod client;
pub mod fate;
pub mod judge;
pub mod network;
pub mod replica;
pub mod world;
