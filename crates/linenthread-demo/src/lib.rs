//! Runs the whole system on loopback, for demonstration and for tests with real processes, sockets, signals and disks.
//!
//! A [`Cluster`] starts control nodes and ingress nodes, each at its own address in 127.0.0.0/8, and stub [`Replica`]s
//! that record the requests they run and fail on demand. [`client`] sends calls as clients and operators do;
//! [`scenarios`] inject faults and check what callers see.
//!
//! This package must not depend on the daemon's code: it starts the program, reads its log and calls its ports.
//!
//! Start reading at [`Cluster`], then at [`scenarios::Scenario`].

pub mod client;
mod cluster;
mod error;
mod log_lines;
mod machine;
mod order;
mod platform_settings;
mod replica;
pub mod scenarios;
mod transcript;
mod writer;

pub use cluster::Cluster;
pub use error::DemoError;
pub use machine::Signal;
pub use order::{Order, STEADY_KEY, Tenant, key_of_revision};
pub use platform_settings::PlatformSettings;
pub use replica::{ReceivedRequest, Replica, ReplicaFaults, records};
