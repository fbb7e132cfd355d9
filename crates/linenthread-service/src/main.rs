//! `linenthread`: co-ordinates queries over replicated shards.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use linenthread_service::cli::{self, Command};
use linenthread_service::config::{Config, ConfigFileError};
use linenthread_service::installation::{InstallationError, InstallationSettings};
use linenthread_service::serve::{self, ReloadedFiles};
use linenthread_service::{demo, log, migrate, zones_command};
use snafu::{OptionExt, Snafu};

/// Exit code for invalid or unreadable files.
const EXIT_INVALID_FILES: u8 = 2;

/// The reason why a command's files cannot be used.
#[derive(Debug, Snafu)]
enum FilesError {
    #[snafu(display("EDGE_CONFIG is not set and there is no --config"))]
    NoConfig,
    #[snafu(display("{source}"), context(false))]
    Config { source: ConfigFileError },
    #[snafu(display("{source}"), context(false))]
    Installation { source: InstallationError },
}

fn main() -> ExitCode {
    match cli::command().run() {
        Command::Version => print(&format!("linenthread {}\n", env!("CARGO_PKG_VERSION"))),
        Command::Schema => print(linenthread_installation::SCHEMA),
        Command::Zones {
            installation,
            action,
        } => zones(&installation, &action),
        Command::Migrate(options) => migrate::run(&options),
        Command::Try(options) => demo::run(&options),
        Command::Check {
            config,
            installation,
        } => check(config, installation.as_deref()),
        Command::Serve {
            config,
            installation,
        } => serve(config, installation.as_deref()),
    }
}

fn print(text: &str) -> ExitCode {
    match linenthread_console::print(text) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("linenthread: cannot print: {error}");
            ExitCode::FAILURE
        }
    }
}

fn zones(installation: &Path, action: &zones_command::ZonesAction) -> ExitCode {
    match zones_command::run(installation, action) {
        Ok(text) => print(&format!("{text}\n")),
        Err(error) => {
            eprintln!("linenthread: {error}");
            ExitCode::FAILURE
        }
    }
}

fn check(config: PathBuf, installation: Option<&Path>) -> ExitCode {
    with_files(Some(config), installation, |files| {
        let config = files.config;
        let indexes = config.coordinator.indexes.len();
        let replicas = config.cached_membership.replicas.len();
        let merged = match installation {
            Some(_) => format!(", {} merged", files.settings.merging.count()),
            None => String::new(),
        };
        let name = config.name;
        print(&format!(
            "{name}: {indexes} indexes{merged}, {replicas} known replicas\n"
        ))
    })
}

fn serve(config: Option<PathBuf>, installation: Option<&Path>) -> ExitCode {
    with_files(config, installation, |files| {
        log::start();
        let reloaded = ReloadedFiles {
            config: &files.config_file,
            installation,
        };
        let served = serve::serve(files.config, files.settings, reloaded, |_| {});
        match actix_rt::System::new().block_on(served) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                tracing::error!("{error}");
                ExitCode::FAILURE
            }
        }
    })
}

/// The parsed files of a command.
struct Files {
    config_file: PathBuf,
    config: Config,
    settings: InstallationSettings,
}

/// Reads both files and runs the command. If a file cannot be used, prints the reason in one line and returns exit
/// code 2.
fn with_files(
    config: Option<PathBuf>,
    installation: Option<&Path>,
    command: impl FnOnce(Files) -> ExitCode,
) -> ExitCode {
    match read_files(config, installation) {
        Ok(files) => command(files),
        Err(error) => {
            eprintln!("linenthread: {error}");
            ExitCode::from(EXIT_INVALID_FILES)
        }
    }
}

fn read_files(config: Option<PathBuf>, installation: Option<&Path>) -> Result<Files, FilesError> {
    let config_file = config.context(NoConfigSnafu)?;
    let config = Config::read(&config_file)?;
    let settings = match installation {
        Some(installation) => InstallationSettings::read(installation, &config)?,
        None => InstallationSettings::default(),
    };
    Ok(Files {
        config_file,
        config,
        settings,
    })
}
