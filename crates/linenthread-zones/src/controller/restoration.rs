//! Restores the health of zones and pairs at a new leader, as the routes of the former leader's last table imply it.

use linenthread_core::interface::TenthMillis;

use super::FailoverController;
use crate::config::FailoverConfig;
use crate::health::{Health, RETURN_SHARES, State};
use crate::table::{Reason, Route};
use crate::zone_index::{ZoneIndex, ZonePair};

impl FailoverController {
    /// Restores the health of zones and pairs from the current rows, which are those of the former leader's table.
    pub(super) fn restore_health(&mut self, now: TenthMillis) {
        let count = self.zone_names.len();
        for from in ZoneIndex::all(count) {
            for to in ZoneIndex::all(count) {
                let route = self.rows[from.position()].routes[to.position()];
                let health = restored_health(route, now, &self.config);
                if self.applies_to_zone(to, route.reason) {
                    self.health[to.position()] = health;
                } else if matches!(route.reason, Reason::Partitioned | Reason::Returning) {
                    self.pairs.insert(ZonePair { from, to }, health);
                }
            }
        }
    }

    /// Reports whether a route's reason lies with the zone rather than the pair: all zones of clients then have it.
    fn applies_to_zone(&self, to: ZoneIndex, reason: Reason) -> bool {
        let mut reasons = self.rows.iter().map(|row| row.routes[to.position()].reason);
        reason != Reason::Partitioned && reasons.all(|other| other == reason)
    }
}

/// Returns the health that a route of the former leader's table implies.
fn restored_health(route: Route, now: TenthMillis, config: &FailoverConfig) -> Health {
    let state = match route.reason {
        Reason::ZoneDown | Reason::Partitioned => State::Ejected {
            until: now + config.ejection_time,
        },
        Reason::Drained => State::Drained,
        Reason::Returning => {
            let mut shares = RETURN_SHARES.iter();
            let step = shares.position(|share| *share >= route.share);
            State::returning_at(step.unwrap_or(RETURN_SHARES.len() - 1), now, config)
        }
        Reason::Healthy | Reason::Capacity | Reason::Slow => State::Healthy,
    };
    let was_ejected = matches!(
        route.reason,
        Reason::ZoneDown | Reason::Partitioned | Reason::Returning
    );
    Health::restored(state, was_ejected, now)
}
