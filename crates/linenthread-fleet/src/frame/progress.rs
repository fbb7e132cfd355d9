//! How far a voter has come, as it tells the others.

use linenthread_frames::{Decoder, Encoder};
use snafu::OptionExt;

use crate::error::{RecordError, UnknownProgressSnafu};

/// How far a voter has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Its disk is empty, and it has no identity yet.
    Empty,
    /// It is a founder of the fleet and waits until all others are founders too.
    Founded,
    /// It takes part in Raft.
    Active,
    /// Its disk has failed: what it holds is unknown.
    Stopped,
}

/// A voter's progress by its number in a frame.
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
