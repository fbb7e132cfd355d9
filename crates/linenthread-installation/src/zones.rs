//! `<zones>`: how the fleet distributes traffic over zones.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::document::ZonesSection;
use crate::xml::Element;
use crate::{Fleet, InstallationError};

/// How it is decided which zone serves which zone's traffic.
#[derive(Clone, Debug, PartialEq)]
pub struct Zones {
    /// How long the last table is used without contact to the voters.
    pub table_lifetime: Duration,
    /// The share of its capacity up to which a zone accepts traffic of others, in thousandths.
    pub max_utilization: u16,
    /// How long a zone is evacuated at first.
    pub min_evacuation: Duration,
    /// How long a zone that fails again and again is evacuated at most.
    pub max_evacuation: Duration,
    /// How long each step of a zone's return takes.
    pub return_step: Duration,
    /// The zones.
    pub zones: Vec<Zone>,
}

/// A zone.
#[derive(Clone, Debug, PartialEq)]
pub struct Zone {
    /// Its name in the platform's settings.
    pub name: String,
    /// Its region.
    pub region: String,
    /// Sub-requests a second that one of its replicas handles; `None` if unknown, so that it never counts as full.
    pub replica_capacity: Option<u32>,
}

impl Zones {
    pub(crate) fn check(
        section: ZonesSection,
        element: &Element,
        fleet: Option<&Fleet>,
    ) -> Result<Zones, InstallationError> {
        let Some(fleet) = fleet else {
            return Err(element.error("<zones> needs a <fleet>, and there is none"));
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
