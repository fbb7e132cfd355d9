//! Hollow nodes: ingress nodes, replicas and control nodes in one process, to measure what control costs each role
//! by size.
//!
//! Control nodes are the real state machines of `linenthread-control`; every message between them and the ingress
//! nodes is encoded as on a socket and counted. Ingress nodes and replicas are hollow: they serve no traffic. The
//! network, the disks and the clock are simulated, so that a seed gives the same messages and bytes each time.
//! Processor time and heap are measured around the calls of a state machine with the coding of its messages: sockets,
//! HTTP headers and wake-ups are not part of them.
//!
//! The package must not know how the daemon runs a control node, nor what an operator's configuration means.
//!
//! Start reading at [`measure()`]; `world` is the simulated system, `control` the one place that calls the state
//! machine. [`lose_leader`] measures the time without a leader, [`fit_csv`] how figures grow with the size.

mod configuration;
mod control;
mod cost;
mod event_queue;
mod fit;
mod ingress;
mod leader_loss;
mod loss;
mod measure;
mod messages;
mod number;
mod replica;
mod report;
mod scale;
mod world;
mod zones;

pub use configuration::document;
pub use cost::Work;
pub use fit::{ColumnFit, FitError, Point, PowerFit, fit_csv, fit_power};
pub use leader_loss::{LossTimeline, TimelineStep, lose_leader};
pub use loss::Loss;
pub use measure::measure;
pub use report::{CSV_HEADER, Measurement, Role, RoleRow, Snapshot, Times};
pub use scale::Scale;
