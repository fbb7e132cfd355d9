//! Stand-ins for what is round a co-ordinator: replicas, the roster, a client, and ledgers that hold real rows.
//! They use threads and blocking sockets on loopback, wait for what happens, and for at most [`PATIENCE`].
#![expect(
    missing_docs,
    reason = "public items of this package are not all documented yet"
)]

pub mod checker;
mod client;
mod fleet;
mod http;
pub mod ledger;
mod net;
mod program;
pub mod proxy;
pub mod rig;
mod roster;
pub mod scenarios;
pub mod sites;

use std::sync::mpsc::Receiver;
use std::time::Duration;

pub use client::{Client, request, request_with};
pub use fleet::{Fleet, Part};
pub use program::{Class, Service, config, config_of, program};
pub use roster::{Roster, entry, list};

pub const PATIENCE: Duration = Duration::from_secs(10);

fn wait<T>(from: &Receiver<T>, for_what: &str) -> T {
    from.recv_timeout(PATIENCE)
        .unwrap_or_else(|_| panic!("{for_what} did not come"))
}
