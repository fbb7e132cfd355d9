//! A voter's progress, as reported to the other voters.

use linenthread_frames::{Decoder, Encoder};
use snafu::OptionExt;

use crate::error::{RecordError, UnknownProgressSnafu};

/// A voter's progress towards participating in Raft.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Its disk is empty, and it has no identity yet.
    Empty,
    /// It is a founder of the fleet and waits until all other voters are founders too.
    Founded,
    /// It participates in Raft.
    Active,
    /// Its disk has failed, so the disk's contents are unknown.
    Stopped,
}

/// The values by their code in a frame.
const PROGRESSES: [Progress; 4] = [
    Progress::Empty,
    Progress::Founded,
    Progress::Active,
    Progress::Stopped,
];

impl Progress {
    pub(super) fn encode(self, encoder: &mut Encoder) {
        encoder.u8(self.code());
    }

    pub(super) fn decode(decoder: &mut Decoder) -> Result<Progress, RecordError> {
        let code = decoder.u8()?;
        let progress = PROGRESSES.get(usize::from(code));
        progress.copied().context(UnknownProgressSnafu { code })
    }

    fn code(self) -> u8 {
        match self {
            Progress::Empty => 0,
            Progress::Founded => 1,
            Progress::Active => 2,
            Progress::Stopped => 3,
        }
    }
}
