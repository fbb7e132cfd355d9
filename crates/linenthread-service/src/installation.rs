//! The operators' own file, read and checked against the platform's, with the secrets that it names.

use std::path::{Path, PathBuf};
use std::rc::Rc;

use linenthread_installation::{Fleet, Gateway, Installation, KnownIndex, Peer, Zones};
use linenthread_link::Secrets;
use linenthread_merge::CursorSigner;
use tracing::{info, warn};

use crate::config::Config;
use crate::merge_responses::MergePlans;

/// What the file switches on. Nothing of it where there is none.
#[derive(Default)]
pub(crate) struct Own {
    pub merging: MergePlans,
    pub gateway: Option<(Gateway, Secrets)>,
    pub peers: Vec<(Peer, Secrets)>,
    pub fleet: Option<(Fleet, Secrets)>,
    pub zones: Option<Zones>,
}

pub(crate) fn secrets(files: &[PathBuf]) -> Result<Vec<Vec<u8>>, String> {
    let secret = |path: &PathBuf| {
        let secret = std::fs::read(path).map_err(|e| format!("{}: {e}", path.display()))?;
        let secret = secret.trim_ascii_end().to_vec();
        let shortest = linenthread_merge::MIN_SECRET_BYTES;
        match secret.len() < shortest {
            true => Err(format!(
                "{}: a secret needs {shortest} bytes or more",
                path.display()
            )),
            false => Ok(secret),
        }
    };
    files.iter().map(secret).collect()
}

impl Own {
    /// Reads the operators' file against the platform's.
    ///
    /// # Errors
    ///
    /// One line: file, line in it and cause.
    pub(crate) fn read(file: &Path, config: &Config) -> Result<Own, String> {
        let indexes = &config.surroundings.index_names;
        let known = |name: &str| {
            let at = indexes.iter().position(|index| index == name)?;
            Some(KnownIndex {
                min_share: config.deployment.indexes.get(at)?.min_share,
            })
        };
        let read = Installation::read_file(file, &known).map_err(|error| error.to_string())?;
        let plan = |name: &String| {
            read.merging
                .plans
                .iter()
                .find(|plan| plan.index == *name)
                .cloned()
        };
        let signer = match &read.merging.cursors {
            Some(cursors) => {
                let signer = CursorSigner::new(secrets(&cursors.secret_files)?, cursors.lifetime);
                Some(signer.map_err(|error| error.to_string())?)
            }
            None => None,
        };
        let merging = MergePlans::new(indexes.iter().map(plan).collect(), signer);
        let link =
            |files: &[PathBuf]| Secrets::new(secrets(files)?).map_err(|error| error.to_string());
        let gateway = match read.gateway {
            Some(gateway) => Some((gateway.clone(), link(&gateway.secret_files)?)),
            None => None,
        };
        let peer = |peer: Peer| Ok::<_, String>((peer.clone(), link(&peer.secret_files)?));
        let peers = read.peers.into_iter().map(peer).collect::<Result<_, _>>()?;
        let fleet = match read.fleet {
            Some(fleet) => Some((fleet.clone(), link(&fleet.secret_files)?)),
            None => None,
        };
        Ok(Own {
            merging,
            gateway,
            peers,
            fleet,
            zones: read.zones,
        })
    }

    /// Reads it once more for a program that runs: how indexes are merged counts at once, links from the next
    /// start on. A bad file changes nothing.
    pub(crate) fn again(file: &Path, config: &Config) -> Option<Rc<MergePlans>> {
        match Own::read(file, config) {
            Ok(new) => {
                info!(merged = new.merging.count(), "installation read again");
                Some(Rc::new(new.merging))
            }
            Err(message) => {
                warn!("installation not taken, all goes on as it was: {message}");
                None
            }
        }
    }
}
