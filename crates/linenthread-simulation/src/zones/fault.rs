//! The fault of a schedule, and whom it concerns.

use oorandom::Rand64;

use crate::random;

/// What goes wrong in a schedule.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Fault {
    /// Nothing, or things that a zone must not be ejected for.
    Noise,
    ZoneLost(usize),
    PairPartitioned(usize, usize),
    ZoneSlow(usize),
    /// Fewer than half of a zone's coordinators reach nothing.
    ObserversIsolated(usize),
    Drain(usize),
    TwoZonesLost(usize, usize),
    /// Reports of any content.
    HostileReports,
}

impl Fault {
    /// A random fault among so many zones.
    pub(super) fn random(zones: usize, rng: &mut Rand64) -> Fault {
        let a = random::index(rng, zones);
        let b = (a + 1 + random::index(rng, zones - 1)) % zones;
        match rng.rand_range(0..10) {
            0..3 => Fault::Noise,
            3..5 => Fault::ZoneLost(a),
            5 => Fault::PairPartitioned(a, b),
            6 => Fault::ZoneSlow(a),
            7 => Fault::ObserversIsolated(a),
            8 if zones > 2 => [Fault::Drain(a), Fault::TwoZonesLost(a, b)][random::index(rng, 2)],
            _ => Fault::HostileReports,
        }
    }

    /// Whether requests from one zone to another fail. `is_isolated` says whether the coordinator is one of those
    /// that [`Fault::ObserversIsolated`] concerns.
    pub(super) fn breaks(self, from: usize, to: usize, is_isolated: bool) -> bool {
        match self {
            Fault::ZoneLost(zone) => to == zone || from == zone,
            Fault::TwoZonesLost(a, b) => to == a || to == b || from == a || from == b,
            Fault::PairPartitioned(a, b) => from == a && to == b || from == b && to == a,
            Fault::ObserversIsolated(zone) => from == zone && is_isolated,
            _ => false,
        }
    }

    /// Whether a table may close a route as down or partitioned.
    pub(super) fn may_eject(self, from: usize, to: usize) -> bool {
        match self {
            Fault::Noise | Fault::ObserversIsolated(_) | Fault::Drain(_) => false,
            // One that is so slow may fail most of its requests.
            Fault::ZoneSlow(zone) => to == zone,
            Fault::ZoneLost(zone) => to == zone || from == zone,
            Fault::TwoZonesLost(a, b) => to == a || to == b || from == a || from == b,
            Fault::PairPartitioned(a, b) => (from, to) == (a, b) || (from, to) == (b, a),
            Fault::HostileReports => true,
        }
    }

    /// Whether no table reaches a zone, and no report leaves it.
    pub(super) fn isolates(self, zone: usize) -> bool {
        self == Fault::ZoneLost(zone)
    }

    /// Whether a zone is slow.
    pub(super) fn is_slow(self, zone: usize) -> bool {
        self == Fault::ZoneSlow(zone)
    }
}
