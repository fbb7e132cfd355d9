//! The messages of a co-ordinator on sockets: what clients ask and are answered, the frames to and from
//! replicas, the roster's lists. Each is decoded once into a small typed value and encoded once. No socket
//! and no clock is known here, and outside this crate no word of the wire is.

pub mod frame;
pub mod lookup;
pub mod roster;
