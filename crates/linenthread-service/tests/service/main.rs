//! Tests of the program on loopback sockets, with stub replicas and stub service discovery.

mod client_connections;
mod cluster;
mod configuration;
mod queries;
mod replica_connections;

const EXE: &str = env!("CARGO_BIN_EXE_linenthread");
