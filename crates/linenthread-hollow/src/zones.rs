//! Zones and regions, and how long a message takes between them.

use std::time::Duration;

/// Zones of all regions together.
pub(crate) const ZONES: usize = 21;
/// Regions: zones are assigned to them in turn.
const REGIONS: usize = 7;

/// One way between two machines of a zone.
const SAME_ZONE: Duration = Duration::from_millis(1);
/// One way between two zones of a region.
const SAME_REGION: Duration = Duration::from_millis(2);
/// One way between two regions.
const OTHER_REGION: Duration = Duration::from_millis(40);

/// A zone, by its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Zone(usize);

impl Zone {
    /// The zone of the operator's client.
    pub(crate) const OPERATOR: Zone = Zone(0);

    /// The zone of the nth machine of a kind: machines are assigned to zones in turn.
    pub(crate) fn of_machine(index: usize) -> Zone {
        Zone(index % ZONES)
    }

    pub(crate) fn name(self) -> String {
        format!("zone-{:02}", self.0)
    }

    /// One way to another zone.
    pub(crate) fn latency_to(self, other: Zone) -> Duration {
        if self == other {
            SAME_ZONE
        } else if self.0 % REGIONS == other.0 % REGIONS {
            SAME_REGION
        } else {
            OTHER_REGION
        }
    }
}
