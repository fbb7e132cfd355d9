//! Zones by their position, and pairs of them.

use std::fmt;

use linenthread_frames::{Decoder, Encoder};
use snafu::OptionExt;

use crate::MAX_ZONES;
use crate::error::{FormatError, UnknownZoneSnafu};

/// A zone, by its position among the zones of the topology: below [`MAX_ZONES`].
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ZoneIndex(u8);

impl ZoneIndex {
    /// The zone at a position; `None` where no zone can be.
    pub fn new(position: usize) -> Option<ZoneIndex> {
        let index = u8::try_from(position).ok()?;
        (position < MAX_ZONES).then_some(ZoneIndex(index))
    }

    /// The first so many zones.
    pub(crate) fn all(count: usize) -> impl Iterator<Item = ZoneIndex> {
        (0..).map(ZoneIndex).take(count.min(MAX_ZONES))
    }

    /// Its position.
    pub fn position(self) -> usize {
        self.0.into()
    }

    pub(crate) fn encode(self, encoder: &mut Encoder) {
        encoder.u8(self.0);
    }

    pub(crate) fn decode(decoder: &mut Decoder) -> Result<ZoneIndex, FormatError> {
        let zone = decoder.u8()?;
        ZoneIndex::new(zone.into()).context(UnknownZoneSnafu { zone })
    }
}

/// The number alone: reports are written to the log.
impl fmt::Debug for ZoneIndex {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The route from a zone of clients to a zone of replicas.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ZonePair {
    /// The zone of clients.
    pub from: ZoneIndex,
    /// The zone of replicas.
    pub to: ZoneIndex,
}

/// The numbers alone: reports are written to the log.
impl fmt::Debug for ZonePair {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        (self.from, self.to).fmt(f)
    }
}
