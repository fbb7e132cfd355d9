//! `linenthread-simulation`: long-running checks and measurements of each subsystem. A command takes a seed and a
//! count, prints each violation with what is needed to repeat it, ends with the line `N checked, B violations`, and
//! exits with 1 if B is not 0.
//!
//! Start reading at [`commands`], which has a module for each command:
//!
//! | command | module | what it runs |
//! | --- | --- | --- |
//! | `system` | [`system`] | control nodes, ingress nodes and operators |
//! | `fleet` | [`fleet`] | membership and the replicated state of co-ordinators |
//! | `zones` | [`zones`] | failover between zones by routing tables |
//! | `link` | [`link`] | both ends of a link between sites |
//! | `merged` | [`merged`] | merged responses through the decision module |
//! | `dataplane` | [`dataplane`] | the data plane, with the simulation of `linenthread-dataplane-sim` |
//! | `failover` | [`failover`] | a comparison of policies for failover between zones |
//! | `members` | [`members`] | a benchmark of fleet membership |
//! | `merging-speed`, `link-speed` | [`merging_speed`], [`link_speed`] | benchmarks of merging and of a loopback link |
//! | `link-bytes`, `processes` | [`commands`] | scenarios of `linenthread-fakes` with real processes |
//!
//! `system`, `fleet`, `zones`, `link`, `merged` and `failover` run in simulated time: everything random derives from
//! the seed, so the same command prints the same numbers. The documentation of each module lists its faults, the
//! invariants with their names, and how to repeat one schedule. These modules have the same layout:
//!
//! | file | contents |
//! | --- | --- |
//! | `mod.rs` | the options, and the loop over all schedules |
//! | `simulation.rs` | one schedule from start to end, event by event |
//! | `faults.rs`, `fault.rs` | fault injection; the kinds of faults |
//! | `traffic.rs` | requests of clients and their outcomes |
//! | `invariants.rs`, `invariant.rs` | the checks; the names of the invariants |
//! | `statistics.rs` | counters and the printed summary |
//! | `world.rs` | the state of a run |
//! | `event.rs` | the events in simulated time |
//!
//! In `system` some of these are folders or are split into more files; its module documentation lists them.

mod commands;
mod dataplane;
mod event_queue;
mod failover;
mod failover_config;
mod fleet;
mod link;
mod link_speed;
mod members;
mod merged;
mod merging_speed;
mod number;
mod random;
mod run_summary;
mod schedules;
mod system;
mod violation;
mod zones;

use std::process::ExitCode;

fn main() -> ExitCode {
    linenthread_console::exit_on_closed_output();
    commands::parser().run().run()
}
