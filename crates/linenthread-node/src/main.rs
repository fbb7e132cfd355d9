//! The daemon of the search front: one program for all machines. The settings select its roles: with `bind.ingress` it
//! serves clients (`ingress`, with `control_client` as the client of the control nodes), with `bind.control_plane` it
//! serves replicas and operators (`control`) and keeps its state on disk.
//!
//! This package contains the I/O: sockets, files, signals and clocks. The decisions are made in `linenthread-control`
//! and `linenthread-dataplane`. Start reading at `serve`.

mod accept;
mod connect_timeout;
mod control;
mod control_client;
mod error;
mod event_log;
mod incarnation;
mod ingress;
mod peer_connection;
mod signals;
mod wall_clock;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use linenthread_config::{Configuration, Settings};
use linenthread_console::print_line;
use snafu::ResultExt;
use tokio::task::LocalSet;

use crate::error::{ConfigurationSnafu, Error, IoSnafu, SettingsSnafu, io_context, read_file};

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// The daemon of the search front.
        cmd linenthread-node {
            /// Runs the roles that the settings bind, until SIGTERM. The default command.
            default cmd serve {
                /// The settings file. Default: the path in the environment variable LINENTHREAD_BOOT.
                optional --settings path: PathBuf
                /// Forwards requests without the decision module, as a baseline for measurements.
                optional --pass-through
            }
            /// Validates a configuration as a control node does. Exits with code 2 and an error line if invalid.
            cmd check {
                required configuration: PathBuf
            }
            /// Validates a settings file. Exits with code 2 and an error line if invalid.
            cmd check-settings {
                required settings: PathBuf
            }
            /// Prints the version.
            cmd version {}
        }
    }
}

/// The environment variable with the path of the settings file.
const SETTINGS_VARIABLE: &str = "LINENTHREAD_BOOT";

/// How long before the end of the grace period the control role stops waiting for other nodes, to leave time to exit.
const CONTROL_SHUTDOWN_MARGIN: Duration = Duration::from_secs(1);

/// How many tasks the runtime runs between two polls for I/O events. Low, so that events do not wait.
const EVENT_INTERVAL_TASKS: u32 = 31;

/// The exit code of a failed command.
const EXIT_FAILURE: u8 = 2;

fn main() -> ExitCode {
    let flags = match flags::LinenthreadNode::from_env() {
        Ok(flags) => flags,
        Err(error) => error.exit(),
    };
    match run(flags.subcommand) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("linenthread-node: {error}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

fn run(command: flags::LinenthreadNodeCmd) -> Result<(), Error> {
    match command {
        flags::LinenthreadNodeCmd::Serve(flags) => start(flags),
        flags::LinenthreadNodeCmd::Check(flags) => check_configuration(&flags.configuration),
        flags::LinenthreadNodeCmd::CheckSettings(flags) => read_settings(&flags.settings).map(drop),
        flags::LinenthreadNodeCmd::Version(_) => print_version(),
    }
}

fn print_version() -> Result<(), Error> {
    let version = env!("CARGO_PKG_VERSION");
    print_line(format_args!("linenthread-node {version}")).context(IoSnafu {
        step: "printing",
        target: "the version",
    })
}

fn check_configuration(path: &Path) -> Result<(), Error> {
    let bytes = read_file(path)?;
    let file = path.display().to_string();
    Configuration::parse(&bytes)
        .map(drop)
        .context(ConfigurationSnafu { file })
}

/// Reads and parses a settings file.
pub(crate) fn read_settings(path: &Path) -> Result<Settings, Error> {
    let bytes = read_file(path)?;
    let text = String::from_utf8_lossy(&bytes);
    let file = path.display().to_string();
    Settings::parse(&text).context(SettingsSnafu { file })
}

/// Runs the daemon until it has shut down.
fn start(flags: flags::Serve) -> Result<(), Error> {
    let settings_path = flags
        .settings
        .or_else(|| std::env::var_os(SETTINGS_VARIABLE).map(Into::into))
        .ok_or(Error::NoSettings)?;
    let settings = Rc::new(Settings {
        pass_through: flags.pass_through,
        ..read_settings(&settings_path)?
    });
    event_log::start();
    log::info!(node = settings.node_name, zone = settings.zone; "event=started");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_io()
        .enable_time()
        .event_interval(EVENT_INTERVAL_TASKS)
        .build()
        .map_err(io_context("starting the runtime", ""))?;
    LocalSet::new().block_on(&runtime, serve(settings, settings_path))
}

/// Returns how long the graceful shutdown of a control node may wait: the grace period minus
/// [`CONTROL_SHUTDOWN_MARGIN`], but at least half of the grace period. The rest is left for stopping and exiting.
fn control_shutdown_timeout(grace: Duration) -> Duration {
    grace.saturating_sub(CONTROL_SHUTDOWN_MARGIN).max(grace / 2)
}

/// Runs the roles that the settings bind until a shutdown is requested, then shuts them down.
async fn serve(settings: Rc<Settings>, settings_path: PathBuf) -> Result<(), Error> {
    let signals = signals::listen(settings_path)?;
    let control = match settings.control_bind {
        Some(address) => Some(control::start(&settings, address, &signals).await?),
        None => None,
    };
    let ingress = match settings.ingress_bind {
        Some(address) => Some(ingress::start(&settings, address, &signals).await?),
        None => None,
    };
    signals.shutdown_requested().await;
    log::info!(node = settings.node_name; "event=stopping");
    let ingress_shutdown = async {
        if let Some(ingress) = ingress {
            ingress::stop(ingress, settings.shutdown_grace).await;
        }
    };
    let control_shutdown = async {
        if let Some(control) = &control {
            let timeout = control_shutdown_timeout(settings.shutdown_grace);
            control.shut_down(timeout).await;
        }
    };
    tokio::join!(ingress_shutdown, control_shutdown);
    if let Some(control) = control {
        control.stop().await;
    }
    log::info!(node = settings.node_name; "event=stopped");
    Ok(())
}
