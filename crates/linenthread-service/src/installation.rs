//! Reads the installation file, which the operators maintain, and its secrets, and validates it against the platform's
//! configuration.

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

/// The reason why the installation file, or a secret that it names, cannot be used. Each message is one line.
#[derive(Debug, Snafu)]
pub enum InstallationError {
    /// The file cannot be read, or its contents are invalid.
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
        /// The operating system's error.
        source: io::Error,
    },
    /// A secret is too short.
    #[snafu(display("{}: a secret needs {MIN_SECRET_BYTES} bytes or more", file.display()))]
    SecretTooShort {
        /// The secret's file.
        file: PathBuf,
    },
    /// The secrets that sign cursors cannot be used.
    #[snafu(display("{source}"))]
    CursorSecrets {
        /// The reason.
        source: linenthread_merge::SecretError,
    },
    /// The secrets that authenticate connections between processes cannot be used.
    #[snafu(display("{source}"))]
    LinkSecrets {
        /// The reason.
        source: linenthread_frames::SecretError,
    },
}

/// A section of the installation file, with its secrets.
pub struct WithSecrets<T> {
    /// The section.
    pub section: T,
    /// The secrets that authenticate the section's connections.
    pub secrets: Secrets,
}

impl<T> WithSecrets<T> {
    fn read(section: T, files: impl Fn(&T) -> &[PathBuf]) -> Result<Self, InstallationError> {
        let secrets = link_secrets(files(&section))?;
        Ok(WithSecrets { section, secrets })
    }
}

/// The features that the installation file enables. The default, without a file, enables none.
#[derive(Default)]
pub struct InstallationSettings {
    /// The merge plans of the indexes whose responses are merged.
    pub merging: MergePlans,
    /// Set if this process is a gateway for other sites.
    pub gateway: Option<WithSecrets<Gateway>>,
    /// The gateways of other sites that this process connects to.
    pub peers: Vec<WithSecrets<Peer>>,
    /// Set if this process is a member of a fleet.
    pub fleet: Option<WithSecrets<Fleet>>,
    /// How the fleet distributes traffic over zones.
    pub zones: Option<Zones>,
}

/// Reads one secret from each file, without trailing whitespace.
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

/// Reads the secrets that authenticate connections between processes.
///
/// # Errors
///
/// Returns an error if a file cannot be read or the secrets cannot be used, such as one that is too short.
pub(crate) fn link_secrets(files: &[PathBuf]) -> Result<Secrets, InstallationError> {
    Secrets::new(read_secrets(files)?).context(LinkSecretsSnafu)
}

impl InstallationSettings {
    /// Reads the installation file and validates it against the platform's configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if the file is invalid or a secret cannot be used.
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

    /// Reads the file again while the process runs, and returns the merge plans, which apply at once; other changes
    /// apply at the next start. Returns `None` if the file cannot be used; the current settings stay in use then.
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

/// Collects the plan of each index, in the order of the configuration, and creates the signer of cursors.
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
