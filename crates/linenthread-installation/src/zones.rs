//! `<zones>`: how the fleet distributes traffic among zones.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::document::ZonesSection;
use crate::xml::Element;
use crate::{Fleet, InstallationError};

/// The parameters for deciding which zone serves which zone's traffic.
#[derive(Clone, Debug, PartialEq)]
pub struct Zones {
    /// How long the last table is used without contact with the voters.
    pub table_lifetime: Duration,
    /// The share of its capacity up to which a zone accepts traffic of other zones, in thousandths.
    pub max_utilization: u16,
    /// How long a zone is evacuated the first time.
    pub min_evacuation: Duration,
    /// The maximum time for which a zone that fails repeatedly is evacuated.
    pub max_evacuation: Duration,
    /// The duration of each step of a zone's return.
    pub return_step: Duration,
    /// The zones.
    pub zones: Vec<Zone>,
}

/// A zone.
#[derive(Clone, Debug, PartialEq)]
pub struct Zone {
    /// The zone's name in the platform's settings.
    pub name: String,
    /// The zone's region.
    pub region: String,
    /// The sub-requests per second that one of the zone's replicas can handle; if `None`, the zone never counts as
    /// full.
    pub replica_capacity: Option<u32>,
}

impl Zones {
    pub(crate) fn check(
        section: ZonesSection,
        element: &Element,
        fleet: Option<&Fleet>,
    ) -> Result<Zones, InstallationError> {
        let Some(fleet) = fleet else {
            return Err(element.error("<zones> requires <fleet>"));
        };
        let mut names = BTreeSet::new();
        for (zone, element) in section.zones.iter().zip(element.children("zone")) {
            if !names.insert(zone.name.as_str()) {
                return Err(element.error(format!("the zone {} is listed twice", zone.name)));
            }
        }
        if !names.contains(fleet.zone.as_str()) {
            let cause = format!("the fleet's own zone {} is not listed", fleet.zone);
            return Err(element.error(cause));
        }
        if section.max_evacuation_ms < section.min_evacuation_ms {
            return Err(element.error("longest-hold is shorter than hold"));
        }
        let zones = section.zones.into_iter().map(|zone| Zone {
            name: zone.name,
            region: zone.region,
            replica_capacity: zone.replica_capacity,
        });
        Ok(Zones {
            table_lifetime: Duration::from_millis(section.table_lifetime_ms),
            max_utilization: section.max_utilization,
            min_evacuation: Duration::from_millis(section.min_evacuation_ms),
            max_evacuation: Duration::from_millis(section.max_evacuation_ms),
            return_step: Duration::from_millis(section.return_step_ms),
            zones: zones.collect(),
        })
    }
}
