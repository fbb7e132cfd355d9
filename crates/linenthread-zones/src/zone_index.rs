//! Indices of zones, and pairs of them.

use std::fmt;

use linenthread_frames::{Decoder, Encoder};
use snafu::OptionExt;

use crate::MAX_ZONES;
use crate::error::{FormatError, UnknownZoneSnafu};

/// A zone's position among the zones of the topology, below [`MAX_ZONES`].
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ZoneIndex(u8);

impl ZoneIndex {
    /// Returns the zone at a position; `None` if the position is not below [`MAX_ZONES`].
    pub fn new(position: usize) -> Option<ZoneIndex> {
        let index = u8::try_from(position).ok()?;
        (position < MAX_ZONES).then_some(ZoneIndex(index))
    }

    /// Iterates over the first `count` zones.
    pub(crate) fn all(count: usize) -> impl Iterator<Item = ZoneIndex> {
        (0..).map(ZoneIndex).take(count.min(MAX_ZONES))
    }

    /// Returns the position, for indexing lists that are kept by zone.
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

/// Prints only the number, since reports are logged.
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

/// Prints only the two numbers, since reports are logged.
impl fmt::Debug for ZonePair {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        (self.from, self.to).fmt(f)
    }
}
