//! Why a cluster could not be set up.

use std::io;
use std::path::PathBuf;

use snafu::Snafu;

/// A step in the set-up of a cluster that failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DemoError {
    /// There is no folder for the cluster's files.
    #[snafu(display("creating a folder for the cluster: {source}"))]
    CreateFolder {
        /// What the operating system reports.
        source: io::Error,
    },
    /// The settings of a machine were not written.
    #[snafu(display("writing the settings {}: {source}", path.display()))]
    WriteSettings {
        /// The settings file.
        path: PathBuf,
        /// What the operating system reports.
        source: io::Error,
    },
    /// A process was not started.
    #[snafu(display("starting {machine} by {}: {source}", program.display()))]
    StartProcess {
        /// The machine.
        machine: String,
        /// The program.
        program: PathBuf,
        /// What the operating system reports.
        source: io::Error,
    },
    /// The disk of a machine was not erased.
    #[snafu(display("erasing {}: {source}", path.display()))]
    EraseDisk {
        /// The state folder.
        path: PathBuf,
        /// What the operating system reports.
        source: io::Error,
    },
    /// A stub replica has no port.
    #[snafu(display("listening for the replica {replica}: {source}"))]
    StartReplica {
        /// The id of the replica.
        replica: String,
        /// What the operating system reports.
        source: io::Error,
    },
    /// The cluster did not get ready in time.
    #[snafu(display("{what} in time"))]
    NotReady {
        /// What did not happen.
        what: String,
    },
}
