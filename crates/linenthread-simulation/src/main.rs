//! `linenthread-simulation`: long checks and measurements of each subsystem. A command takes a seed and a count, prints
//! each violation with what is needed to run it again, ends with `N checked, B violations`, and exits with 1 where B
//! is not 0.
//!
//! Start reading at [`commands`], which has a module for each command. What they run:
//!
//! | command | module | |
//! | --- | --- | --- |
//! | `system` | [`system`] | control nodes, ingress nodes and operators |
//! | `fleet` | [`fleet`] | membership and the replicated state of co-ordinators |
//! | `zones` | [`zones`] | which zone serves whose requests |
//! | `link` | [`link`] | both ends of a link between sites |
//! | `merged` | [`merged`] | merged responses through the decision module |
//! | `dataplane` | [`dataplane`] | the data plane, of `linenthread-dataplane-sim` |
//! | `failover` | [`failover`] | compares policies of failover between zones |
//! | `members` | [`members`] | measures what membership costs |
//! | `merging-speed`, `link-speed` | [`merging_speed`], [`link_speed`] | measure merging, and a link on loopback |
//! | `link-bytes`, `processes` | [`commands`] | scenarios of `linenthread-fakes` with real processes |
//!
//! `system`, `fleet`, `zones`, `link`, `merged` and `failover` run in simulated time: everything random comes from the
//! seed, so the same command prints the same numbers. Each says in its module's documentation what its faults are,
//! which invariants it checks under which name, and how one schedule is run again. They are laid out alike:
//!
//! | file | |
//! | --- | --- |
//! | `mod.rs` | the options, and the run of all schedules |
//! | `simulation.rs` | one schedule from its start to its end, event by event |
//! | `faults.rs`, `fault.rs` | what is done to the system; the kinds of it |
//! | `traffic.rs` | what clients do, and what becomes of it |
//! | `invariants.rs`, `invariant.rs` | the checks; the names of the invariants |
//! | `statistics.rs` | what is counted and printed |
//! | `world.rs` | all state |
//! | `event.rs` | what can happen at a moment |
//!
//! In `system` some of these are folders or have further files; its own table lists them.

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
