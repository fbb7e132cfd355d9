//! Zones and regions, and how long a message takes between them.

pub(crate) const ZONES: usize = 21;
pub(crate) const REGIONS: usize = 7;

const SAME_ZONE_MS: u64 = 1;
const SAME_REGION_MS: u64 = 2;
const OTHER_REGION_MS: u64 = 40;

/// The zone of the nth machine of a kind: machines are dealt to zones in turn.
pub(crate) fn zone_of(machine: usize) -> usize {
    machine % ZONES
}

pub(crate) fn zone_name(zone: usize) -> String {
    format!("zone-{zone:02}")
}

/// One way between two zones.
pub(crate) fn latency_ms(a: usize, b: usize) -> u64 {
    if a == b {
        SAME_ZONE_MS
    } else if a % REGIONS == b % REGIONS {
        SAME_REGION_MS
    } else {
        OTHER_REGION_MS
    }
}
