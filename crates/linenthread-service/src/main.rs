//! `linenthread`: a co-ordinator of lookups over replicated shards, on sockets.

mod config;
mod desk;
mod front;
mod log;
mod lookup;
mod replicas;
mod roster;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use bpaf::{Parser, construct, long, positional, pure};

use config::Config;

#[derive(Clone)]
enum Command {
    Serve(Option<PathBuf>),
    Check(PathBuf),
    Version,
}

fn command() -> bpaf::OptionParser<Command> {
    let file = long("config")
        .env("EDGE_CONFIG")
        .help("The configuration, as JSON")
        .argument::<PathBuf>("FILE")
        .optional();
    let serve = construct!(Command::Serve(file))
        .to_options()
        .descr(
            "Serves lookups until SIGTERM or SIGINT, then answers what it has taken; SIGHUP reads the file",
        )
        .command("serve")
        .help("Serve lookups");
    let file = positional::<PathBuf>("FILE").help("The configuration to read");
    let check = construct!(Command::Check(file))
        .to_options()
        .descr(
            "Reads a configuration as serve would; says in one line what is wrong with it, and exits with 2",
        )
        .command("check")
        .help("Check a configuration");
    let version = pure(Command::Version)
        .to_options()
        .descr("Prints the version")
        .command("version")
        .help("Print the version");
    construct!([serve, check, version])
        .to_options()
        .descr("linenthread co-ordinates lookups over replicated shards")
        .footer("Start with: EDGE_CONFIG=/run/balancer/config.json linenthread serve")
}

fn with_config(file: Option<PathBuf>, use_it: impl FnOnce(Config, &Path) -> ExitCode) -> ExitCode {
    let read = file.ok_or_else(|| "EDGE_CONFIG is not set and there is no --config".to_owned());
    match read.and_then(|file| Config::read(&file).map(|config| (config, file))) {
        Ok((config, file)) => use_it(config, &file),
        Err(message) => {
            eprintln!("linenthread: {message}");
            ExitCode::from(2)
        }
    }
}

fn main() -> ExitCode {
    match command().run() {
        Command::Version => {
            println!("linenthread {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        Command::Check(file) => with_config(Some(file), |config, _| {
            let (indexes, replicas) = (config.deployment.indexes.len(), config.remembered.replicas.len());
            println!("{}: {indexes} indexes, {replicas} replicas remembered", config.name);
            ExitCode::SUCCESS
        }),
        Command::Serve(file) => with_config(file, |config, file| {
            log::start();
            match actix_rt::System::new().block_on(front::serve(config, file)) {
                Ok(()) => ExitCode::SUCCESS,
                Err(message) => {
                    tracing::error!("{message}");
                    ExitCode::FAILURE
                }
            }
        }),
    }
}
