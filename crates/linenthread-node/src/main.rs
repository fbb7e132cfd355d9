//! The daemon of the search front: one program for all machines. What its settings bind decides what it
//! serves: `bind.ingress` the traffic, `bind.control_plane` replicas and operators, with the state on its
//! disk.

mod control;
mod control_client;
mod disk;
mod errors;
mod ingress;
mod links;
mod logs;
mod signals;

use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use linenthread_config::{Configuration, Settings};
use linenthread_dataplane::clock;
use tokio::task::LocalSet;

use crate::errors::Error;

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// The daemon of the search front.
        cmd linenthread-node {
            /// Serves what the settings bind, until SIGTERM. This is what it does without any word.
            default cmd serve {
                /// The settings file; else the variable LINENTHREAD_BOOT names it.
                optional --settings path: PathBuf
                /// Passes requests on with no decision: only to measure beside.
                optional --pass-through
            }
            /// Judges a configuration as a control call would; exit 2 and one line if it is bad.
            cmd check {
                required configuration: PathBuf
            }
            /// Judges a settings file; exit 2 and one line if it is bad.
            cmd check-settings {
                required settings: PathBuf
            }
            /// Prints the version.
            cmd version {}
        }
    }
}

/// So long before the end of its grace a control node stops waiting for others.
const LEAVE_MARGIN: Duration = Duration::from_secs(1);

fn main() -> ExitCode {
    let flags = match flags::LinenthreadNode::from_env() {
        Ok(flags) => flags,
        Err(e) => e.exit(),
    };
    let done = match flags.subcommand {
        flags::LinenthreadNodeCmd::Serve(serve) => run(serve.settings, serve.pass_through),
        flags::LinenthreadNodeCmd::Check(check) => {
            errors::read(&check.configuration).and_then(|bytes| {
                Configuration::parse(&bytes)
                    .map(drop)
                    .map_err(|source| Error::Configuration {
                        file: check.configuration.display().to_string(),
                        source,
                    })
            })
        }
        flags::LinenthreadNodeCmd::CheckSettings(check) => settings(&check.settings).map(drop),
        flags::LinenthreadNodeCmd::Version(_) => {
            println!("linenthread-node {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("linenthread-node: {e}");
            ExitCode::from(2)
        }
    }
}

pub(crate) fn settings(path: &std::path::Path) -> Result<Settings, Error> {
    let bytes = errors::read(path)?;
    let text = String::from_utf8_lossy(&bytes);
    Settings::parse(&text).map_err(|source| Error::Settings {
        file: path.display().to_string(),
        source,
    })
}

fn run(path: Option<std::path::PathBuf>, pass_through: bool) -> Result<(), Error> {
    let path = path
        .or_else(|| std::env::var_os("LINENTHREAD_BOOT").map(Into::into))
        .ok_or(Error::NoSettings)?;
    let settings = Rc::new(Settings {
        pass_through,
        ..settings(&path)?
    });
    logs::start();
    log::info!(node = settings.node_name, zone = settings.zone; "event=started");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_io()
        .enable_time()
        .event_interval(31)
        .build()
        .map_err(|source| Error::Step {
            step: "start of the runtime",
            peer: String::new(),
            source,
        })?;
    let local = LocalSet::new();
    local.block_on(&runtime, serve(settings, path))
}

/// How long a control node may take to leave: what is left of the grace is for its end.
fn leave_within(grace: Duration) -> Duration {
    grace.saturating_sub(LEAVE_MARGIN).max(grace / 2)
}

async fn serve(settings: Rc<Settings>, path: std::path::PathBuf) -> Result<(), Error> {
    let ends = signals::listen(path)?;
    let control = match settings.control_bind {
        Some(address) => Some(control::start(&settings, address).await?),
        None => None,
    };
    let plane = match settings.ingress_bind {
        Some(address) => Some(ingress::start(&settings, address, &ends).await?),
        None => None,
    };
    ends.asked().await;
    log::info!(node = settings.node_name; "event=stopping");
    let ingress_stops = async {
        if let Some(plane) = &plane {
            ingress::stop(plane, settings.shutdown_grace).await;
        }
    };
    let control_leaves = async {
        if let Some(control) = &control {
            control.leave(leave_within(settings.shutdown_grace)).await;
        }
    };
    tokio::join!(ingress_stops, control_leaves);
    if let Some(control) = control {
        control.stop().await;
    }
    log::info!(node = settings.node_name; "event=stopped");
    Ok(())
}
