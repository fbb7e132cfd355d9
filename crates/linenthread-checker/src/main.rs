//! Explores a small instance of the agreement and prints what it found; ends with 1 if an invariant was broken.

use std::fmt;
use std::process::ExitCode;
use std::time::Instant;

use linenthread_checker::{CallFault, Instance, LeaseInstance, Model, Report, explore};

/// A state takes about 2 KB while it waits to be expanded.
const MOST_STATES: usize = 1_500_000;

mod flags {
    xflags::xflags! {
        /// Explores every interleaving of a small instance of the agreement
        cmd linenthread-checker {
            /// Calls as NODE:CALL,...; call is a, b, c, replace or read. Without them the whole suite is explored
            optional --calls calls: String
            /// How many ticks there are, of any nodes
            optional --ticks count: u8
            /// How many messages are delivered twice
            optional --duplicates count: u8
            /// How many nodes start anew from their disk
            optional --crashes count: u8
            /// How many nodes lose their disk, 0 or 1
            optional --lost-disks count: u8
            /// Records are synced some time after they were handed over
            optional --slow-disks
            /// The search ends when so many states were seen
            optional --most-states count: usize
        }
    }
}

fn instances(flags: &flags::LinenthreadChecker) -> Result<Vec<Instance>, CallFault> {
    let Some(calls) = &flags.calls else {
        return Ok(Instance::suite());
    };
    Ok(vec![Instance {
        calls: Instance::parse_calls(calls)?,
        ticks: flags.ticks.unwrap_or(0),
        duplicates: flags.duplicates.unwrap_or(0),
        crashes: flags.crashes.unwrap_or(0),
        lost_disks: flags.lost_disks.unwrap_or(0).min(1),
        slow_disks: flags.slow_disks,
    }])
}

fn print(report: &Report) {
    println!(
        "  depth {}, transitions {}",
        report.depth, report.transitions
    );
    let landmarks = report
        .landmarks
        .iter()
        .map(|(name, states)| format!("{name} in {states}"));
    println!(
        "  states reached: {}",
        landmarks.collect::<Vec<_>>().join(", ")
    );
    for breach in &report.breaches {
        println!(
            "  {} is broken after {} states:",
            breach.invariant, breach.states
        );
        breach.trace.iter().for_each(|line| println!("    {line}"));
    }
    if !report.complete {
        println!("  not complete: the search ended before all states were seen");
    }
}

fn main() -> ExitCode {
    let flags = flags::LinenthreadChecker::from_env_or_exit();
    let instances = match instances(&flags) {
        Ok(instances) => instances,
        Err(fault) => {
            eprintln!("{fault}");
            return ExitCode::from(2);
        }
    };
    let most_states = flags.most_states.unwrap_or(MOST_STATES);
    let mut sums = (0, 0);
    instances
        .iter()
        .for_each(|instance| run(instance, most_states, &mut sums));
    if flags.calls.is_none() {
        LeaseInstance::suite()
            .iter()
            .for_each(|instance| run(instance, most_states, &mut sums));
    }
    let (states, breaches) = sums;
    println!("{states} states, {breaches} breaches");
    ExitCode::from(u8::from(breaches > 0))
}

/// Explores an instance; adds its states and breaches to the sums.
fn run<M: Model + fmt::Display>(instance: &M, most_states: usize, sums: &mut (usize, usize)) {
    println!("{instance}");
    let began = Instant::now();
    let report = explore(instance, most_states);
    println!(
        "  {} states in {:.1} s",
        report.states,
        began.elapsed().as_secs_f64()
    );
    print(&report);
    *sums = (sums.0 + report.states, sums.1 + report.breaches.len());
}
