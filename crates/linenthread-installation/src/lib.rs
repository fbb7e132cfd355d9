//! The installation file: the operators' configuration of an installation, as XML that is validated against a schema
//! and read into checked values.
//!
//! [`Installation::read`] takes the file's text, and a lookup of the indexes in the platform's settings. It returns
//! typed values, or an [`InstallationError`] with the line and the cause. A file is read in four steps, see
//! [`ReadStep`]. Each subsystem has its own section and module; the names in the XML are mapped in `document`.
//!
//! The crate does not depend on how the values are used, and does not read the files that they name. Start reading at
//! [`Installation`].

mod attributes;
mod document;
mod error;
mod fleet;
mod gateway;
mod merging;
mod schema;
mod xml;
mod zones;

use std::path::{Path, PathBuf};

use snafu::ResultExt;

use document::Document;
pub use error::{InstallationError, ReadFileError, ReadStep};
use error::{InvalidSnafu, IoSnafu};
pub use fleet::{Fleet, Voter};
pub use gateway::{Gateway, Peer};
pub use merging::{CursorConfig, Merging};
use schema::Schema;
pub use zones::{Zone, Zones};

/// The XML schema of the file.
pub const SCHEMA: &str = include_str!("../schema/installation.xsd");

/// The platform's settings for an index that the file names.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KnownIndex {
    /// The lowest share of the total weight that a response may cover, from 0 to 1.
    pub min_share: f64,
}

/// The checked contents of a file; each section may be absent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Installation {
    /// The indexes whose responses are merged.
    pub merging: Merging,
    /// The configuration of this program as a gateway for other sites.
    pub gateway: Option<Gateway>,
    /// Gateways in other sites.
    pub peers: Vec<Peer>,
    /// This program's membership in the fleet.
    pub fleet: Option<Fleet>,
    /// How traffic is distributed over zones.
    pub zones: Option<Zones>,
}

impl Installation {
    /// Reads and checks a file's text. `known` returns the settings for an index; `None` if they don't have it.
    ///
    /// # Errors
    ///
    /// Fails at the first error found, and returns it with its line.
    pub fn read(
        text: &str,
        known: &dyn Fn(&str) -> Option<KnownIndex>,
    ) -> Result<Installation, InstallationError> {
        let schema = Schema::read(&xml::parse(SCHEMA)?)?;
        let root = xml::parse(text)?;
        schema.validate(&root)?;
        let document: Document = quick_xml::de::from_str(text).map_err(|error| {
            InstallationError::new(ReadStep::Decode, root.line, error.to_string())
        })?;
        // Each check takes a section and the element that it was decoded from, whose line an error reports.
        let merging = document
            .merging
            .zip(root.child("merging"))
            .map(|(section, element)| Merging::check(section, element, known))
            .transpose()?
            .unwrap_or_default();
        let gateway = document
            .gateway
            .zip(root.child("gateway"))
            .map(|(section, element)| Gateway::check(section, element))
            .transpose()?;
        let peers = document
            .peers
            .zip(root.child("peers"))
            .map(|(section, element)| Peer::check_all(section, element))
            .transpose()?
            .unwrap_or_default();
        let fleet = document
            .fleet
            .zip(root.child("fleet"))
            .map(|(section, element)| Fleet::check(section, element))
            .transpose()?;
        let zones = document
            .zones
            .zip(root.child("zones"))
            .map(|(section, element)| Zones::check(section, element, fleet.as_ref()))
            .transpose()?;
        Ok(Installation {
            merging,
            gateway,
            peers,
            fleet,
            zones,
        })
    }

    /// Reads a file; see [`Installation::read`]. Paths in it are relative to its directory.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or its text is not valid.
    pub fn read_file(
        file: &Path,
        known: &dyn Fn(&str) -> Option<KnownIndex>,
    ) -> Result<Self, ReadFileError> {
        let text = std::fs::read_to_string(file).context(IoSnafu { file })?;
        let mut installation = Self::read(&text, known).context(InvalidSnafu { file })?;
        let directory = file.parent().unwrap_or(Path::new(""));
        for path in installation.paths_mut() {
            *path = directory.join(&*path);
        }
        Ok(installation)
    }

    /// Returns all paths that the file names.
    fn paths_mut(&mut self) -> impl Iterator<Item = &mut PathBuf> {
        let cursors = self.merging.cursors.iter_mut();
        let gateway = self.gateway.iter_mut();
        let peers = self.peers.iter_mut();
        let fleet = self.fleet.iter_mut();
        cursors
            .flat_map(|cursors| &mut cursors.secret_files)
            .chain(gateway.flat_map(|gateway| &mut gateway.secret_files))
            .chain(peers.flat_map(|peer| &mut peer.secret_files))
            .chain(fleet.flat_map(|fleet| fleet.secret_files.iter_mut().chain(&mut fleet.folder)))
    }
}
