//! Routes between zones, as processes log them.

/// The complete share of a zone's keys, in thousandths.
const COMPLETE_SHARE: u16 = 1_000;

/// Two zones, by their numbers, in the direction of queries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ZonePair {
    /// The zone of the coordinator.
    pub from: usize,
    /// The zone of the replica.
    pub to: usize,
}

impl ZonePair {
    /// The same zones in the other direction.
    pub fn reversed(self) -> ZonePair {
        ZonePair {
            from: self.to,
            to: self.from,
        }
    }
}

/// The route from one zone to another, as a process logs it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The share of keys that go there, in thousandths.
    pub share: u16,
    /// Why.
    pub reason: String,
}

impl Route {
    /// All keys go there, as the zone is healthy.
    pub fn is_healthy(&self) -> bool {
        self.share == COMPLETE_SHARE && self.reason == "Healthy"
    }

    /// No keys go there, for this reason.
    pub fn is_left_for(&self, reason: &str) -> bool {
        self.share == 0 && self.reason == reason
    }
}

/// The route between two zones in a log line that shows a routing table.
pub(super) fn route(line: &str, zones: ZonePair) -> Option<Route> {
    let row = line.split("Row { routes: [").skip(1).nth(zones.from)?;
    let route = row.split("Route { share: ").nth(zones.to + 1)?;
    let (share, reason) = route.split_once(", reason: ")?;
    let (reason, _) = reason.split_once(' ')?;
    Some(Route {
        share: share.parse().ok()?,
        reason: reason.to_owned(),
    })
}
