//! The driver's part in routing between zones: reports observations to the fleet, and passes the fleet's routing tables
//! to the coordinator.

use linenthread_core::interface::{AttemptOutcome, ReplicaIndex, TenthMillis};
use linenthread_zones::RoutingTable;
use tracing::warn;

use super::CoordinatorDriver;
use crate::zone_routing::{ZoneReport, ZoneRouting};

impl CoordinatorDriver {
    /// Passes the routes between zones to the coordinator, if there are zones.
    pub(super) fn update_zone_routes(&self) {
        let state = self.0.state.borrow();
        let routes = state.zones.as_ref().map(ZoneRouting::routes);
        drop(state);
        if let Some(routes) = routes {
            self.add_input(|inputs| inputs.zone_routes = Some(routes));
        }
    }

    /// Applies the fleet's routing table; returns whether it fits this program's zones.
    pub(crate) fn apply_routing_table(&self, table: RoutingTable) -> bool {
        let now = self.0.clock.now();
        let mut state = self.0.state.borrow_mut();
        let zones = state.zones.as_mut();
        let is_applied = zones.is_some_and(|zones| zones.accept_table(table, now));
        drop(state);
        if is_applied {
            self.update_zone_routes();
        }
        is_applied
    }

    /// Returns the observations since the last report and the current topology; `None` if there are no zones. An
    /// expired routing table is dropped first.
    pub(crate) fn report_zones(&self) -> Option<ZoneReport> {
        let now = self.0.clock.now();
        if self.0.state.borrow_mut().zones.as_mut()?.expire_table(now) {
            warn!("routing table expired, all routes are open, the nearest zone first");
            self.update_zone_routes();
        }
        Some(self.0.state.borrow_mut().zones.as_mut()?.report())
    }

    /// Counts the outcome of an attempt or a probe for the zones' report.
    pub(crate) fn observe_outcome(
        &self,
        replica: ReplicaIndex,
        outcome: AttemptOutcome,
        elapsed: TenthMillis,
    ) {
        if let Some(zones) = &mut self.0.state.borrow_mut().zones {
            zones.on_outcome(replica, outcome, elapsed);
        }
    }
}
