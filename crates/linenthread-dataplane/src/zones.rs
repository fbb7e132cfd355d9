//! Zones by number, as the decision module knows them.

use std::cell::RefCell;

use linenthread_core::interface::ZoneRoute;

/// To how many keys of a thousand each zone is open.
const OPEN: u16 = 1_000;

/// Zones by number, in the order they were met; this machine's own is the first.
#[derive(Default)]
pub struct Zones(RefCell<Vec<String>>);

impl Zones {
    /// The number of a zone, which is given one if it is new.
    pub fn number_of(&self, zone: &str) -> usize {
        let mut zones = self.0.borrow_mut();
        zones.iter().position(|z| z == zone).unwrap_or_else(|| {
            zones.push(zone.to_owned());
            zones.len() - 1
        })
    }

    /// Near ones first.
    pub fn ways(&self) -> Vec<ZoneRoute> {
        let way = |(number, zone): (usize, &String)| ZoneRoute {
            id: linenthread_consensus::fnv1a_64(zone.as_bytes()),
            distance: u8::from(number > 0),
            open_per_mille: OPEN,
        };
        self.0.borrow().iter().enumerate().map(way).collect()
    }
}
