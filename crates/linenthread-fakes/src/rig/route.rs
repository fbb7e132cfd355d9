//! Parses the routes between zones from log lines.

/// The share of all keys, in thousandths.
const FULL_SHARE: u16 = 1_000;

/// A directed pair of zones, by number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ZonePair {
    /// The zone of the coordinators.
    pub from: usize,
    /// The zone of the replicas.
    pub to: usize,
}

impl ZonePair {
    /// Returns the pair in the opposite direction.
    pub fn reversed(self) -> ZonePair {
        ZonePair {
            from: self.to,
            to: self.from,
        }
    }
}

/// The logged route from one zone to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The share of keys that is routed to the target zone, in thousandths.
    pub share: u16,
    /// The reason for the share.
    pub reason: String,
}

impl Route {
    /// Reports whether all keys are routed to the target zone because it is healthy.
    pub fn is_healthy(&self) -> bool {
        self.share == FULL_SHARE && self.reason == "Healthy"
    }

    /// Reports whether no keys are routed to the target zone, for this reason.
    pub fn is_excluded_for(&self, reason: &str) -> bool {
        self.share == 0 && self.reason == reason
    }
}

/// Parses the route between two zones from a log line that contains a routing table.
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
