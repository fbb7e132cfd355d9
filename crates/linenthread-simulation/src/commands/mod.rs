//! The commands of the program. Each module parses the options of one command and runs it.

mod arguments;
mod dataplane;
mod failover;
mod fleet;
mod link;
mod link_bytes;
mod link_speed;
mod members;
mod merged;
mod merging_speed;
mod outcome;
mod processes;
mod system;
mod zones;

use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct};

/// A command with its options.
#[derive(Clone)]
pub(crate) enum Command {
    Merged(merged::Options),
    Link(link::Options),
    Fleet(fleet::Options),
    Zones(zones::Options),
    System(system::Options),
    Dataplane(dataplane::Options),
    Processes(processes::Options),
    Members(members::Options),
    Failover(failover::Options),
    LinkBytes(link_bytes::Options),
    LinkSpeed(link_speed::Options),
    MergingSpeed(merging_speed::Options),
}

impl Command {
    /// Runs the command. The exit code reports whether violations were found.
    pub(crate) fn run(&self) -> ExitCode {
        match self {
            Command::Merged(options) => merged::run(options),
            Command::Link(options) => link::run(options),
            Command::Fleet(options) => fleet::run(options),
            Command::Zones(options) => zones::run(options),
            Command::System(options) => system::run(options),
            Command::Dataplane(options) => dataplane::run(options),
            Command::Processes(options) => processes::run(options),
            Command::Members(options) => members::run(options),
            Command::Failover(options) => failover::run(options),
            Command::LinkBytes(options) => link_bytes::run(options),
            Command::LinkSpeed(options) => link_speed::run(options),
            Command::MergingSpeed(options) => merging_speed::run(options),
        }
    }
}

/// Returns the parser of the command line.
pub(crate) fn parser() -> OptionParser<Command> {
    let merged = merged::parser().map(Command::Merged);
    let link = link::parser().map(Command::Link);
    let fleet = fleet::parser().map(Command::Fleet);
    let zones = zones::parser().map(Command::Zones);
    let system = system::parser().map(Command::System);
    let dataplane = dataplane::parser().map(Command::Dataplane);
    let processes = processes::parser().map(Command::Processes);
    let members = members::parser().map(Command::Members);
    let failover = failover::parser().map(Command::Failover);
    let link_bytes = link_bytes::parser().map(Command::LinkBytes);
    let link_speed = link_speed::parser().map(Command::LinkSpeed);
    let merging_speed = merging_speed::parser().map(Command::MergingSpeed);
    construct!([
        merged,
        link,
        fleet,
        zones,
        system,
        dataplane,
        processes,
        members,
        failover,
        link_bytes,
        link_speed,
        merging_speed
    ])
    .to_options()
    .descr("Long checks of linenthread's subsystems")
    .footer("Example: linenthread-simulation merged --queries 100000 --seed 7")
}
