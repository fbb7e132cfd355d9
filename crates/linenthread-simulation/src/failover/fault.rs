//! The fault of a run, and the zones that it affects.

use std::fmt;

/// The fault that is injected into a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Fault {
    None,
    ZoneLost,
    ZoneSlow,
    PairPartitioned,
    /// A zone is lost for a short time; its replicas then restart and have to warm up.
    ShortLoss,
    /// One zone is lost and another is slow.
    LostAndSlow,
}

/// The zone that is lost or slow, and one of the partitioned pair.
const FAULTY_ZONE: usize = 2;
/// The other zone of the partitioned pair, and the slow zone of [`Fault::LostAndSlow`].
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

    /// Reports whether a zone is lost with all its replicas.
    pub(super) fn loses(self, zone: usize) -> bool {
        let loses_zone = matches!(
            self,
            Fault::ZoneLost | Fault::ShortLoss | Fault::LostAndSlow
        );
        loses_zone && zone == FAULTY_ZONE
    }

    /// Reports whether a zone is lost; the leader is in that zone.
    pub(super) fn loses_leader(self) -> bool {
        self.loses(FAULTY_ZONE)
    }

    /// Reports whether the replicas of a zone are slow.
    pub(super) fn slows(self, zone: usize) -> bool {
        self == Fault::ZoneSlow && zone == FAULTY_ZONE
            || self == Fault::LostAndSlow && zone == OTHER_ZONE
    }

    /// Reports whether two zones cannot reach each other.
    pub(super) fn partitions(self, a: usize, b: usize) -> bool {
        let pair = (a.min(b), a.max(b));
        self == Fault::PairPartitioned && pair == (OTHER_ZONE, FAULTY_ZONE)
    }
}

/// Formats the first column of the fault's table line.
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
