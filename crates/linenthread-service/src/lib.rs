//! The linenthread co-ordinator on sockets: one process that sends clients' queries to replicated shards.
//!
//! A query passes through these modules: `frontends` decodes it, `query` runs it, `coordinator_driver` has the decision
//! module (`linenthread-core`) decide on it, [`transports`] carries its sub-requests to replicas, and `merge_responses`
//! builds the body of its response. [`serve`] puts them together; `fleet` and `zone_routing` are this process's part in
//! decisions that several co-ordinators take in common.
//!
//! Start reading at [`serve::serve`], which starts every task of the process; then follow one query from
//! `frontends/http/response.rs` (`respond_to_query`) to `query/task.rs` (`QueryTask::run`).
//!
//! The program `linenthread` is `main.rs`: the commands of [`cli`], each of which is a module here.

pub mod cli;
mod clock;
pub mod config;
mod coordinator_driver;
pub mod demo;
mod fleet;
mod frontends;
pub mod installation;
pub mod log;
pub mod merge_responses;
pub mod migrate;
mod query;
pub mod replica_indices;
pub mod serve;
mod service_discovery;
pub mod transports;
mod zone_routing;
pub mod zones_command;
