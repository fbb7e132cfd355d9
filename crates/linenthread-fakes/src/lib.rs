//! Fakes of the systems around a coordinator: replicas, service discovery, clients, and replicas that hold real rows.
//! They are used by tests, simulations and `linenthread try`, and inject faults on demand.
//!
//! The fakes use threads and blocking sockets on loopback, and wait at most [`EVENT_TIMEOUT`] for each event; a rig waits
//! up to four times as long. Except for the hash function of `linenthread-hash`, this crate shares no code with the
//! program under test, so that a bug of the program cannot be masked by the same bug here. When a step of a test fails,
//! it panics with a message that names the event or condition it expected.
//!
//! [`Service`] runs one process and is the place to start reading. [`sites`] runs two sites connected by a link,
//! [`rig`] runs several processes with faults injected between them, [`scenarios`] contains scripts of such faults,
//! [`checker`] checks merged responses against the rows of a [`row_store`], and [`platform`] fakes the platform that
//! receives usage reports.

pub mod checker;
mod client;
mod files;
mod http;
mod loopback;
pub mod network;
pub mod platform;
mod program;
pub mod proxy;
mod random;
mod replicas;
pub mod rig;
mod row_replicas;
pub mod row_store;
pub mod scenarios;
mod service_discovery;
pub mod sites;
mod sync;

use std::sync::mpsc::Receiver;
use std::time::Duration;

pub use client::{Client, ClientResponse, MergedResponse, request, request_with};
pub use program::{IndexSettings, Service, config, config_with_indexes, program};
pub use replicas::{FakeReplicas, SubRequest};
pub use row_replicas::{Behavior, RowReplicas, ScriptedBehavior};
pub use service_discovery::{ServiceDiscovery, member, membership};

/// The longest wait for a single event. A rig, which runs several processes, waits for a multiple of it.
pub const EVENT_TIMEOUT: Duration = Duration::from_secs(10);

/// Waits for the next event, and panics with `description` if none arrives within [`EVENT_TIMEOUT`].
fn wait<T>(events: &Receiver<T>, description: &str) -> T {
    events
        .recv_timeout(EVENT_TIMEOUT)
        .unwrap_or_else(|_| panic!("{description} did not arrive within {EVENT_TIMEOUT:?}"))
}
