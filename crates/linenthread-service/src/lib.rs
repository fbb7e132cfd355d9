//! The linenthread co-ordinator: a process that accepts clients' queries and sends them to replicated shards.
//!
//! A query passes through these modules: `frontends` decodes it, `query` runs it, `coordinator_driver` passes its
//! events to the decision module (`linenthread-core`), [`transports`] sends its sub-requests to replicas, and
//! `merge_responses` builds the body of its response. [`serve`] connects these modules; `fleet` and `zone_routing`
//! implement this process's part in the decisions that several co-ordinators make together.
//!
//! Start reading at [`serve::serve`], which starts every task of the process; then follow one query from
//! `frontends/http/response.rs` (`respond_to_query`) to `query/task.rs` (`QueryTask::run`).
//!
//! The program `linenthread` is `main.rs`. It runs the commands of [`cli`]; each has a module in this crate.

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
