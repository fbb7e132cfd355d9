//! The delivery of routing tables from the leader to the coordinators.

use linenthread_zones::{ALL_KEYS, RoutingTable};

use super::world::{ArrivingTable, World, controller};
use crate::number;
use crate::random;

/// The environment variable that makes the simulation print all tables.
const SHOW_VARIABLE: &str = "SHOW";

impl World {
    /// Delivers the tables that have arrived at each coordinator, in the order in which they were sent.
    pub(super) fn deliver_tables(&mut self) {
        for coordinator in &mut self.coordinators {
            let arriving = &mut coordinator.arriving;
            while let Some(arrived) = arriving.pop_front_if(|next| next.arrives_at <= self.now) {
                coordinator.table = arrived.table;
            }
        }
    }

    /// Replaces the leader. The new leader's controller starts from the replicated table only.
    pub(super) fn change_leader(&mut self) {
        self.leaders += 1;
        self.controller = controller(&self.topology, self.table.as_ref(), self.now);
    }

    /// Replicates, distributes and checks a new table.
    pub(super) fn on_new_table(&mut self, table: &RoutingTable) {
        let table = RoutingTable::decode(&table.encode()).expect("an encoded table can be decoded");
        let before: Vec<u16> = match &self.table {
            Some(table) => table.routes().map(|route| route.share).collect(),
            None => vec![ALL_KEYS; self.topology.zones.len().pow(2)],
        };
        let opens = table
            .routes()
            .zip(before)
            .any(|(new, before)| new.share > before);
        self.openings += u32::from(opens);
        self.tables += 1;
        if std::env::var_os(SHOW_VARIABLE).is_some() {
            println!("{:.1} {:?}", number::seconds(self.now), table.rows);
        }
        self.send_table(&table);
        self.table = Some(table.clone());
        self.check_table(&table);
    }

    /// Sends a table to all coordinators that the leader can reach.
    fn send_table(&mut self, table: &RoutingTable) {
        for coordinator in &mut self.coordinators {
            if self.fault_is_active && self.fault.isolates(coordinator.zone) {
                continue;
            }
            let lag = random::time_below(&mut self.rng, 9_000);
            let last = coordinator.arriving.back();
            let last_arrival = last.map_or(0, |last| last.arrives_at);
            coordinator.arriving.push_back(ArrivingTable {
                arrives_at: last_arrival.max(self.now + lag),
                table: table.clone(),
            });
        }
    }
}
