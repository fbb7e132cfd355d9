//! Evaluates by majorities what all coordinators observed in an interval.

use crate::report::{Report, RouteStats};
use crate::zone_index::{ZoneIndex, ZonePair};

/// The majority opinion of a zone among the coordinators of one zone of clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Opinion {
    Reachable,
    Down,
    /// Too few coordinators have an opinion.
    Unknown,
}

impl Opinion {
    /// Forms the opinion. `coordinators` is the number of all that report in the zone of clients: if only a minority of
    /// them find the zone down, they are assumed to be cut off themselves.
    fn new(stats: &RouteStats, coordinators: u32) -> Opinion {
        let is_down = is_majority(stats.down, stats.observers);
        if is_down && is_majority(stats.down, coordinators) {
            Opinion::Down
        } else if !is_down && stats.observers > 0 || is_majority(stats.succeeded, stats.completed) {
            // With little traffic no single observer has an opinion, but their sub-requests together allow one.
            Opinion::Reachable
        } else {
            Opinion::Unknown
        }
    }
}

fn is_majority(part: u32, all: u32) -> bool {
    all > 0 && 2 * part > all
}

/// The numbers of other zones that find a zone down or reachable.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Votes {
    pub(super) down: usize,
    pub(super) reachable: usize,
}

/// The evidence of one interval.
pub(super) struct Evidence<'a> {
    report: &'a Report,
    zone_count: usize,
}

impl<'a> Evidence<'a> {
    pub(super) fn new(report: &'a Report, zone_count: usize) -> Evidence<'a> {
        Evidence { report, zone_count }
    }

    fn zones(&self) -> impl Iterator<Item = ZoneIndex> {
        ZoneIndex::all(self.zone_count)
    }

    fn stats(&self, route: ZonePair) -> RouteStats {
        let stats = self.report.routes.get(&route);
        stats.copied().unwrap_or_default()
    }

    pub(super) fn opinion(&self, route: ZonePair) -> Opinion {
        let demand = self.report.demand.get(&route.from);
        let coordinators = demand.map_or(0, |demand| demand.observers);
        Opinion::new(&self.stats(route), coordinators)
    }

    /// Reports whether sub-requests failed on a route in the interval.
    pub(super) fn has_failures(&self, route: ZonePair) -> bool {
        let stats = self.stats(route);
        stats.succeeded < stats.completed
    }

    /// Reports whether sub-requests failed on any route to a zone in the interval.
    pub(super) fn has_failures_to(&self, to: ZoneIndex) -> bool {
        self.zones()
            .any(|from| self.has_failures(ZonePair { from, to }))
    }

    /// Reports whether a zone reaches no zone, not even itself: it is then cut off, and has no vote on others.
    fn is_isolated(&self, from: ZoneIndex) -> bool {
        let mut routes = self.zones().map(|to| ZonePair { from, to });
        !routes.any(|route| self.opinion(route) == Opinion::Reachable)
    }

    /// Counts the votes of the other zones on a zone; each zone has one, however many coordinators it has.
    pub(super) fn votes(&self, to: ZoneIndex) -> Votes {
        let mut votes = Votes::default();
        let others = self.zones().filter(|from| *from != to);
        for from in others.filter(|from| !self.is_isolated(*from)) {
            match self.opinion(ZonePair { from, to }) {
                Opinion::Down => votes.down += 1,
                Opinion::Reachable => votes.reachable += 1,
                Opinion::Unknown => {}
            }
        }
        votes
    }

    /// Reports whether a zone is down. One that its own coordinators reach is not, however many others cannot reach it:
    /// the fault then lies between the zones.
    pub(super) fn is_down(&self, zone: ZoneIndex, votes: Votes) -> bool {
        let to_itself = ZonePair {
            from: zone,
            to: zone,
        };
        match self.opinion(to_itself) {
            Opinion::Reachable => false,
            // Other zones can outvote its own coordinators; without other votes these decide.
            Opinion::Down => votes.down > votes.reachable || votes.reachable == 0,
            Opinion::Unknown => votes.down > votes.reachable,
        }
    }

    /// Reports whether a majority of all coordinators that reach a zone find it slow.
    pub(super) fn is_slow(&self, to: ZoneIndex) -> bool {
        let (mut slow, mut reaching) = (0, 0);
        for from in self.zones() {
            let stats = self.stats(ZonePair { from, to });
            slow += stats.slow;
            reaching = reaching + stats.observers - stats.down;
        }
        is_majority(slow, reaching)
    }
}
