//! Maps zones to the indices that the decision module uses for them.

use std::cell::RefCell;

use linenthread_core::interface::ZoneRoute;

/// The share of keys for which each zone may be used, per mille: all of them.
const OPEN_PER_MILLE: u16 = 1_000;

/// The names of the zones seen so far; a zone's index is its position.
pub(crate) struct ZoneIndices(RefCell<Vec<String>>);

impl ZoneIndices {
    /// Creates a table with the zone of this process at index 0.
    pub(crate) fn new(local: &str) -> ZoneIndices {
        ZoneIndices(RefCell::new(vec![local.to_owned()]))
    }

    /// Returns the index of a zone, and assigns the next one to a new zone.
    pub(crate) fn index_of(&self, zone: &str) -> usize {
        let mut zones = self.0.borrow_mut();
        zones
            .iter()
            .position(|known| known == zone)
            .unwrap_or_else(|| {
                zones.push(zone.to_owned());
                zones.len() - 1
            })
    }

    /// Returns the routes from this process to each zone, by index: the local zone first.
    pub(crate) fn routes(&self) -> Vec<ZoneRoute> {
        let route = |(index, zone): (usize, &String)| ZoneRoute {
            id: linenthread_hash::fnv1a_64(zone.as_bytes()),
            distance: u8::from(index > 0),
            open_per_mille: OPEN_PER_MILLE,
        };
        self.0.borrow().iter().enumerate().map(route).collect()
    }
}
