//! Attributes that several sections have.

use std::net::SocketAddr;
use std::path::PathBuf;

use crate::InstallationError;
use crate::xml::Element;

/// The socket address of an attribute.
///
/// # Errors
///
/// It is none, at the line of the element.
pub(crate) fn parse_address(
    text: &str,
    element: &Element,
) -> Result<SocketAddr, InstallationError> {
    text.parse()
        .map_err(|_| element.error(format!("{text} is not an address with its port")))
}

/// The file of the secret that is used, then that of the previous one.
pub(crate) fn secret_files(secret: PathBuf, previous: Option<PathBuf>) -> Vec<PathBuf> {
    std::iter::once(secret).chain(previous).collect()
}
