//! The traffic path of a front: clients' connections, the dispatchers that hand requests to the decision
//! module, and the connections to replicas.
//!
//! All input and output goes through the traits in [`transport`] and all time through `tokio::time`, so that
//! the same code runs in the daemon over TCP and in the simulator over connections in memory with a paused
//! clock. What keeps an answer with its request, and keeps what may not be repeated from running twice, is
//! written down in `docs/dataplane-safety.md`.

mod action;
pub mod clock;
pub mod connection;
mod data_plane;
mod dispatcher;
mod event_log;
pub mod outcome;
mod pass_through;
pub mod pool;
mod reply;
mod serve;
mod terms;
pub mod transport;
mod zones;

pub use data_plane::{DataPlane, Share};
pub use dispatcher::{Dispatcher, LookupId};
pub use event_log::refused;
pub use reply::Reply;
pub use serve::serve;
pub use zones::Zones;
