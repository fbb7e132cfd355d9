//! The fault of a schedule, and the zones that it affects.

use oorandom::Rand64;

use crate::random;

/// The fault that is injected into a schedule.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Fault {
    /// No fault, only noise, for which no zone must be ejected.
    Noise,
    ZoneLost(usize),
    PairPartitioned(usize, usize),
    ZoneSlow(usize),
    /// Fewer than half of a zone's coordinators cannot reach any zone.
    ObserversIsolated(usize),
    Drain(usize),
    TwoZonesLost(usize, usize),
    /// Reports with random content arrive.
    HostileReports,
}

impl Fault {
    /// Draws a fault for a number of zones.
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

    /// Reports whether requests from one zone to another fail. `is_isolated` is true for the coordinators that
    /// [`Fault::ObserversIsolated`] affects.
    pub(super) fn breaks_route(self, from: usize, to: usize, is_isolated: bool) -> bool {
        match self {
            Fault::ZoneLost(zone) => to == zone || from == zone,
            Fault::TwoZonesLost(a, b) => to == a || to == b || from == a || from == b,
            Fault::PairPartitioned(a, b) => from == a && to == b || from == b && to == a,
            Fault::ObserversIsolated(zone) => from == zone && is_isolated,
            _ => false,
        }
    }

    /// Reports whether a table may close a route as down or partitioned.
    pub(super) fn may_eject(self, from: usize, to: usize) -> bool {
        match self {
            Fault::Noise | Fault::ObserversIsolated(_) | Fault::Drain(_) => false,
            // A slow zone can be overloaded, so that most of its requests fail.
            Fault::ZoneSlow(zone) => to == zone,
            Fault::ZoneLost(zone) => to == zone || from == zone,
            Fault::TwoZonesLost(a, b) => to == a || to == b || from == a || from == b,
            Fault::PairPartitioned(a, b) => (from, to) == (a, b) || (from, to) == (b, a),
            Fault::HostileReports => true,
        }
    }

    /// Reports whether a zone is cut off from the leader: it receives no tables, and its reports don't arrive.
    pub(super) fn isolates(self, zone: usize) -> bool {
        self == Fault::ZoneLost(zone)
    }

    /// Reports whether a zone is slow.
    pub(super) fn is_slow(self, zone: usize) -> bool {
        self == Fault::ZoneSlow(zone)
    }
}
