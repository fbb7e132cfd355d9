//! Attributes shared by several sections.

use std::net::SocketAddr;
use std::path::PathBuf;

use crate::InstallationError;
use crate::xml::Element;

/// Parses an attribute's value as a socket address.
///
/// # Errors
///
/// Fails at the line of the element if the value is not a socket address.
pub(crate) fn parse_address(
    text: &str,
    element: &Element,
) -> Result<SocketAddr, InstallationError> {
    text.parse()
        .map_err(|_| element.error(format!("{text} is not an address with a port")))
}

/// Returns the file of the secret in use, then that of the previous one.
pub(crate) fn secret_files(secret: PathBuf, previous: Option<PathBuf>) -> Vec<PathBuf> {
    std::iter::once(secret).chain(previous).collect()
}
