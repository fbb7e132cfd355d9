//! Errors in the set-up of a cluster.

use std::io;
use std::path::PathBuf;

use snafu::Snafu;

/// An error in the set-up of a cluster.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DemoError {
    /// The folder for the cluster's files can't be created.
    #[snafu(display("creating a folder for the cluster: {source}"))]
    CreateFolder {
        /// The error of the operating system.
        source: io::Error,
    },
    /// The settings file of a machine can't be written.
    #[snafu(display("writing the settings {}: {source}", path.display()))]
    WriteSettings {
        /// The settings file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A process can't be started.
    #[snafu(display("starting {machine} with {}: {source}", program.display()))]
    StartProcess {
        /// The name of the machine.
        machine: String,
        /// The program.
        program: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The state folder of a machine can't be removed.
    #[snafu(display("erasing {}: {source}", path.display()))]
    EraseDisk {
        /// The state folder.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A stub replica can't listen.
    #[snafu(display("listening for the replica {replica}: {source}"))]
    StartReplica {
        /// The id of the replica.
        replica: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The cluster was not ready in time.
    #[snafu(display("the cluster was not ready in time: {what}"))]
    NotReady {
        /// The condition that was not met.
        what: String,
    },
}
