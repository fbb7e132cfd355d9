//! The fault of a run, and which zones it concerns.

use std::fmt;

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Fault {
    None,
    ZoneLost,
    ZoneSlow,
    PairPartitioned,
    /// A zone is lost for a short time, and its replicas return and have to warm up.
    ShortLoss,
    /// One zone is lost and another is slow.
    LostAndSlow,
}

/// The zone that is lost or slow.
const FAULTY_ZONE: usize = 2;
/// The other zone of a pair, and the slow one beside a lost one.
const OTHER_ZONE: usize = 1;

impl Fault {
    pub(super) const ALL: [Fault; 6] = [
        Fault::None,
        Fault::ZoneLost,
        Fault::ZoneSlow,
        Fault::PairPartitioned,
        Fault::ShortLoss,
        Fault::LostAndSlow,
    ];

    /// Whether a zone is lost with all its replicas.
    pub(super) fn loses(self, zone: usize) -> bool {
        let loses_zone = matches!(
            self,
            Fault::ZoneLost | Fault::ShortLoss | Fault::LostAndSlow
        );
        loses_zone && zone == FAULTY_ZONE
    }

    /// Whether the leader is in the lost zone.
    pub(super) fn loses_leader(self) -> bool {
        self.loses(FAULTY_ZONE)
    }

    /// Whether replicas of a zone are slow.
    pub(super) fn slows(self, zone: usize) -> bool {
        self == Fault::ZoneSlow && zone == FAULTY_ZONE
            || self == Fault::LostAndSlow && zone == OTHER_ZONE
    }

    /// Whether two zones cannot reach each other.
    pub(super) fn partitions(self, a: usize, b: usize) -> bool {
        let pair = (a.min(b), a.max(b));
        self == Fault::PairPartitioned && pair == (OTHER_ZONE, FAULTY_ZONE)
    }
}

/// The first column of the fault's line.
impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.pad(match self {
            Fault::None => "none",
            Fault::ZoneLost => "zone lost",
            Fault::ZoneSlow => "zone slow",
            Fault::PairPartitioned => "partition",
            Fault::ShortLoss => "short loss",
            Fault::LostAndSlow => "lost, slow",
        })
    }
}
