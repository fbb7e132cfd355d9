//! The program on loopback sockets, against stub replicas and stub service discovery.

mod client_connections;
mod cluster;
mod configuration;
mod queries;
mod replica_connections;

const EXE: &str = env!("CARGO_BIN_EXE_linenthread");
