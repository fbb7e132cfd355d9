//! A client and a server joined without a socket, edge by edge.

mod draining;
mod flow_control;
mod handshake;
mod interruptions;
mod pair;
mod replicas;
