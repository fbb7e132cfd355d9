//! The installation file, which is the operators' own: read and checked against the platform's configuration, with
//! the secrets that it names.

use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use linenthread_installation::{
    Fleet, Gateway, Installation, KnownIndex, Peer, ReadFileError, Zones,
};
use linenthread_link::Secrets;
use linenthread_merge::{CursorSigner, MIN_SECRET_BYTES};
use snafu::{ResultExt, Snafu, ensure};
use tracing::{info, warn};

use crate::config::Config;
use crate::merge_responses::MergePlans;

/// Why the installation file, or a secret that it names, cannot be used. Each message is one line.
#[derive(Debug, Snafu)]
pub enum InstallationError {
    /// The file cannot be read, or its text is not valid.
    #[snafu(display("{source}"))]
    File {
        /// The file, the line and the cause.
        source: ReadFileError,
    },
    /// A secret's file cannot be read.
    #[snafu(display("{}: {source}", file.display()))]
    ReadSecret {
        /// The file.
        file: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// A secret is too short.
    #[snafu(display("{}: a secret needs {MIN_SECRET_BYTES} bytes or more", file.display()))]
    SecretTooShort {
        /// Its file.
        file: PathBuf,
    },
    /// The secrets of cursors cannot be used.
    #[snafu(display("{source}"))]
    CursorSecrets {
        /// What is wrong with them.
        source: linenthread_merge::SecretError,
    },
    /// The secrets between processes cannot be used.
    #[snafu(display("{source}"))]
    LinkSecrets {
        /// What is wrong with them.
        source: linenthread_frames::SecretError,
    },
}

/// A section of the installation file with the secrets that it names.
pub struct WithSecrets<T> {
    /// The section.
    pub section: T,
    /// The secrets of its connections.
    pub secrets: Secrets,
}

impl<T> WithSecrets<T> {
    fn read(section: T, files: impl Fn(&T) -> &[PathBuf]) -> Result<Self, InstallationError> {
        let secrets = link_secrets(files(&section))?;
        Ok(WithSecrets { section, secrets })
    }
}

/// What the installation file switches on; nothing without one.
#[derive(Default)]
pub struct InstallationSettings {
    /// The indexes whose responses are merged.
    pub merging: MergePlans,
    /// This process as a gateway for other sites.
    pub gateway: Option<WithSecrets<Gateway>>,
    /// Gateways in other sites.
    pub peers: Vec<WithSecrets<Peer>>,
    /// This process's membership in the fleet.
    pub fleet: Option<WithSecrets<Fleet>>,
    /// How the fleet distributes traffic over zones.
    pub zones: Option<Zones>,
}

/// Reads files of one secret each.
fn read_secrets(files: &[PathBuf]) -> Result<Vec<Vec<u8>>, InstallationError> {
    let read = |file: &PathBuf| {
        let secret = std::fs::read(file).context(ReadSecretSnafu { file })?;
        let secret = secret.trim_ascii_end().to_vec();
        ensure!(
            secret.len() >= MIN_SECRET_BYTES,
            SecretTooShortSnafu { file }
        );
        Ok(secret)
    };
    files.iter().map(read).collect()
}

/// Reads the secrets between processes.
///
/// # Errors
///
/// A file cannot be read, or its secret is too short.
pub(crate) fn link_secrets(files: &[PathBuf]) -> Result<Secrets, InstallationError> {
    Secrets::new(read_secrets(files)?).context(LinkSecretsSnafu)
}

impl InstallationSettings {
    /// Reads the installation file against the platform's configuration.
    ///
    /// # Errors
    ///
    /// One line: file, line in it and cause.
    pub fn read(file: &Path, config: &Config) -> Result<InstallationSettings, InstallationError> {
        let index_names = &config.cluster.index_names;
        let known = |name: &str| {
            let position = index_names.iter().position(|index| index == name)?;
            let index = config.coordinator.indexes.get(position)?;
            Some(KnownIndex {
                min_share: index.min_share,
            })
        };
        let read = Installation::read_file(file, &known).context(FileSnafu)?;
        let merging = merge_plans(&read, index_names)?;
        let gateway = read
            .gateway
            .map(|gateway| WithSecrets::read(gateway, |gateway| &gateway.secret_files));
        let gateway = gateway.transpose()?;
        let peers = read.peers.into_iter();
        let peers = peers.map(|peer| WithSecrets::read(peer, |peer| &peer.secret_files));
        let peers = peers.collect::<Result<_, _>>()?;
        let fleet = read
            .fleet
            .map(|fleet| WithSecrets::read(fleet, |fleet| &fleet.secret_files));
        Ok(InstallationSettings {
            merging,
            gateway,
            peers,
            fleet: fleet.transpose()?,
            zones: read.zones,
        })
    }

    /// Reads the file again for a process that runs. The plans to merge responses apply at once, all else from the
    /// next start on. A file that cannot be used changes nothing.
    pub(crate) fn reload(file: &Path, config: &Config) -> Option<Rc<MergePlans>> {
        match InstallationSettings::read(file, config) {
            Ok(new) => {
                info!(
                    merged_indexes = new.merging.count(),
                    "installation reloaded"
                );
                Some(Rc::new(new.merging))
            }
            Err(error) => {
                warn!("installation rejected, keeping the one in use: {error}");
                None
            }
        }
    }
}

/// The plan of each index, in the order of the configuration, and the signer of cursors.
fn merge_plans(
    read: &Installation,
    index_names: &[String],
) -> Result<MergePlans, InstallationError> {
    let plan = |name: &String| {
        let plans = &read.merging.plans;
        plans.iter().find(|plan| plan.index == *name).cloned()
    };
    let signer = read.merging.cursors.as_ref().map(|cursors| {
        let secrets = read_secrets(&cursors.secret_files)?;
        CursorSigner::new(secrets, cursors.lifetime).context(CursorSecretsSnafu)
    });
    let signer = signer.transpose()?;
    Ok(MergePlans::new(
        index_names.iter().map(plan).collect(),
        signer,
    ))
}
