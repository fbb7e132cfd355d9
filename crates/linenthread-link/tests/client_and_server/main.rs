//! A client and a server connected without a socket.

mod draining;
mod flow_control;
mod handshake;
mod interruptions;
mod pair;
mod replicas;
