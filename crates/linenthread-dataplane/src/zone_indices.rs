//! The indices under which the decision module knows zones.

use std::cell::RefCell;

use linenthread_core::interface::ZoneRoute;

/// To how many keys of a thousand each zone is open: all of them.
const OPEN_PER_MILLE: u16 = 1_000;

/// The names of the zones met so far; a zone's index is its position.
pub(crate) struct ZoneIndices(RefCell<Vec<String>>);

impl ZoneIndices {
    /// Index 0 is the zone of this process.
    pub(crate) fn new(local: &str) -> ZoneIndices {
        ZoneIndices(RefCell::new(vec![local.to_owned()]))
    }

    /// The index of a zone, which gets the next one if it is new.
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

    /// How each zone is to be used from here, by index: the local one first.
    pub(crate) fn routes(&self) -> Vec<ZoneRoute> {
        let route = |(index, zone): (usize, &String)| ZoneRoute {
            id: linenthread_hash::fnv1a_64(zone.as_bytes()),
            distance: u8::from(index > 0),
            open_per_mille: OPEN_PER_MILLE,
        };
        self.0.borrow().iter().enumerate().map(route).collect()
    }
}
