//! The context in which a scenario runs.

use std::path::Path;

use oorandom::Rand64;

use super::scale::Scale;
use crate::cluster::Cluster;
use crate::error::DemoError;
use crate::transcript::Transcript;

pub(super) struct Context<'a> {
    /// The path of the daemon's program.
    pub(super) program: &'a Path,
    pub(super) scale: &'a Scale,
    /// The source of all random numbers of the run.
    pub(super) random: &'a mut Rand64,
    /// Collects the output of all processes.
    pub(super) transcript: Transcript,
}

impl Context<'_> {
    /// Creates a cluster without starting any process.
    pub(super) fn new_cluster(&self) -> Result<Cluster, DemoError> {
        Cluster::with_transcript(self.program, self.transcript.clone())
    }
}
