//! What a scenario is run with.

use std::path::Path;

use oorandom::Rand64;

use super::scale::Scale;

pub(super) struct Context<'a> {
    /// The daemon.
    pub(super) program: &'a Path,
    pub(super) scale: &'a Scale,
    /// Where all random numbers of the run come from.
    pub(super) random: &'a mut Rand64,
}
