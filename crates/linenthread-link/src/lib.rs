//! The protocol between a coordinator and a gateway in another zone: calls to replicas that only the gateway
//! reaches. Each call completes exactly once with an honest outcome, whatever becomes of the connection.
//!
//! [`LinkClient`] is the coordinator's end: it dials and sends calls. [`LinkServer`] is the gateway's end: it
//! accepts connections and runs calls. Both are state machines without I/O or clock: events and `now` go in,
//! actions come out, and random numbers come from a seed. [`frame`] holds the messages, which `docs/link.md`
//! describes byte by byte. [`routing`] chooses among several links that lead to the same replica.
//!
//! A call that may have run is never reported as not having run: "never ran" is the outcome only of a call whose
//! frame was not written completely, or of which the server says that it did not arrive or was not forwarded.
//!
//! The crate knows nothing of sockets, settings or the choice of a replica; those are the business of
//! `linenthread-service`. Start reading at [`frame::Frame`], then [`LinkClient`].

mod client;
pub mod frame;
mod id;
mod nonce;
pub mod routing;
mod server;
mod time;

pub use client::{
    ClientAction, ClientCloseReason, ClientConfig, LinkAvailability, LinkClient, MembersReport,
};
pub use frame::{Call, Frame, FrameError, Member};
pub use id::{CallId, CallNumber, ConnectionId, ProbeId, SessionId};
pub use linenthread_frames::Secrets;
pub use server::{LinkServer, ServerAction, ServerCloseReason, ServerConfig};
