//! The protocol between a coordinator and a gateway in another zone, for calls to replicas that only the gateway can
//! reach. Each call completes exactly once, with an accurate outcome even if the connection is lost.
//!
//! [`LinkClient`] is the coordinator's end: it connects and sends calls. [`LinkServer`] is the gateway's end: it
//! accepts connections and runs calls. Both are state machines without I/O or a clock: they take events and the
//! current time and return actions, and their random numbers come from a seed. [`frame`] defines the messages, which
//! `docs/link.md` describes byte by byte. [`routing`] selects one of several links to the same replica.
//!
//! A call that may have run is never reported as not run: that outcome is given only to a call whose frame was not
//! written completely, or that the server reports as not received or not forwarded.
//!
//! Sockets, settings and the choice of a replica are handled by `linenthread-service`. Start reading at
//! [`frame::Frame`], then [`LinkClient`].

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
