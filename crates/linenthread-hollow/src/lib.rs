//! Hollow fronts, replicas and control nodes in one process: what control costs each role, by size.
//!
//! Control nodes are the real state machines of `linenthread-control`; every message between them and the
//! fronts is encoded as on a socket and counted. The network, the disks and the clock are simulated, so that a
//! seed gives the same messages and bytes each time. Processor time and heap are measured around the calls of a
//! state machine with the coding of its messages: sockets, HTTP heads and wake-ups are not in them.
#![expect(
    missing_docs,
    reason = "public items of this package are not all documented yet"
)]

mod api;
mod cost;
mod document;
mod events;
mod fit;
mod front;
mod geography;
mod kill;
mod replica;
mod report;
mod scale;
mod world;

pub use cost::{Cost, Meter, Traffic, Work};
pub use document::document;
pub use fit::{FitError, PowerFit, fit_csv, power};
pub use kill::{KillTimeline, Loss, kill_timeline};
pub use report::{CSV_HEADER, Measurement, Role, RoleRow};
pub use scale::Scale;
pub use world::measure;
