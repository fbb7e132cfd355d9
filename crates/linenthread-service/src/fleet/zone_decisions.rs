//! Decisions on zones: members report observations and operators' orders to the leader, which proposes routing tables.

use linenthread_core::interface::TenthMillis;
use linenthread_fleet::{CommittedValue, ConditionalWrite, NumberedValue};
use linenthread_installation as file;
use linenthread_zones::{
    FailoverConfig, FailoverController, Report, RouteStats, RoutingTable, Topology, ZonePair,
};
use tracing::{info, warn};

use super::member::{Member, REPORT_INTERVAL, unix_ms};
use super::orders::{OBSERVATIONS, ORDER, Order, Orders, ZoneChange};
use super::{FleetUpdate, ORDERS_TOPIC, TABLE_TOPIC};
use crate::clock::to_tenths;

/// Maximum number of orders that wait for the leader's next decision. Further orders are dropped; their senders retry.
const MAX_PENDING_ORDERS: usize = 64;
/// Milliseconds between the proposal of a table and its validity, in which all members should receive it.
const TABLE_LEAD_MS: u64 = 300;

/// The committed value of a topic. If none is committed, the number is 0 and the value is the default.
#[derive(Default)]
struct Committed<T> {
    /// The value's number in the fleet's log.
    number: u64,
    value: T,
}

fn failover_config(zones: &file::Zones) -> FailoverConfig {
    FailoverConfig {
        capacity_margin: f64::from(zones.max_utilization) / 1_000.0,
        ejection_time: to_tenths(zones.min_evacuation),
        max_ejection_time: to_tenths(zones.max_evacuation),
        return_step: to_tenths(zones.return_step),
    }
}

/// Applies an operator's order, or records why it is rejected.
fn apply_order(topology: &Topology, orders: &mut Orders, order: Order) {
    orders.last_order = order.number;
    orders.rejection.clear();
    let zone = order.zone;
    match order.change {
        ZoneChange::Drain => match topology.check_drain(&zone, &orders.drained) {
            Ok(()) => drop(orders.drained.insert(zone)),
            Err(error) => orders.rejection = error.to_string(),
        },
        ZoneChange::Return => {
            if !orders.drained.remove(&zone) {
                orders.rejection = format!("zone {zone} is not drained");
            }
        }
    }
}

impl Member {
    /// Passes a committed routing table to the coordinator driver, and logs committed orders.
    pub(super) fn on_committed(&self, committed: CommittedValue) {
        let CommittedValue {
            topic,
            number,
            value,
        } = committed;
        match topic.as_str() {
            TABLE_TOPIC => match RoutingTable::decode(&value) {
                Ok(table) => drop(self.0.from_fleet.send(FleetUpdate::Table { number, table })),
                Err(error) => warn!("committed routing table does not decode: {error}"),
            },
            ORDERS_TOPIC => {
                if let Ok(orders) = Orders::decode(&value) {
                    info!(number, drained = ?orders.drained, rejected = orders.rejection, "zone orders committed");
                }
            }
            _ => {}
        }
    }

    /// Handles a report with a member's observations or an operator's order. A follower forwards orders to the leader.
    pub(super) fn on_report(&self, from: &str, bytes: Vec<u8>) {
        match bytes.first() {
            Some(&OBSERVATIONS) => match Report::decode(&bytes[1..]) {
                Ok(report) => self.0.observations.borrow_mut().add(&report),
                Err(error) => {
                    if let Some(suppressed) = self.0.log_limit.admit() {
                        warn!(from, suppressed, "report rejected: {error}");
                    }
                }
            },
            Some(&ORDER) => {
                let now = self.0.clock.now();
                if self.0.fleet.borrow().is_leader(now) {
                    let mut pending = self.0.pending_orders.borrow_mut();
                    if pending.len() < MAX_PENDING_ORDERS {
                        pending.push(bytes);
                    }
                } else if from != self.0.config.name {
                    self.step(|fleet, _, actions| fleet.report(bytes, actions));
                }
            }
            _ => {}
        }
    }

    /// As a follower, reports this member's observations to the leader. As the leader, applies pending orders and
    /// proposes a routing table, if a decision is due. Does nothing if no zones are configured.
    pub(super) fn decide_on_zones(&self) {
        let now = self.0.clock.now();
        let Some(zones) = &self.0.config.zones else {
            return;
        };
        let is_leader = self.0.fleet.borrow().is_leader(now);
        if !is_leader {
            self.0.failover.take();
            self.0.pending_orders.borrow_mut().clear();
            self.report_observations(now);
            return;
        }
        if !self.decision_is_due(now) {
            return;
        }
        let Some(topology) = self.0.topology.borrow().clone() else {
            return;
        };
        self.apply_pending_orders(&topology);
        self.propose_table(zones, &topology, now);
    }

    /// Reports this member's observations to the leader every [`REPORT_INTERVAL`].
    fn report_observations(&self, now: TenthMillis) {
        if now < self.0.reported_at.get() + REPORT_INTERVAL {
            return;
        }
        self.0.reported_at.set(now);
        let observations = self.0.observations.take();
        if !observations.is_empty() {
            let bytes = [vec![OBSERVATIONS], observations.encode()].concat();
            self.step(|fleet, _, actions| fleet.report(bytes, actions));
        }
    }

    /// Reports whether the leader has to decide now: at the controller's intervals, and at once if an order is pending.
    fn decision_is_due(&self, now: TenthMillis) -> bool {
        let failover = self.0.failover.borrow();
        let is_early = failover
            .as_ref()
            .is_some_and(|failover| now < failover.wake_at());
        !is_early || !self.0.pending_orders.borrow().is_empty()
    }

    /// Returns the committed orders, or the default if none are committed or they cannot be decoded.
    fn committed_orders(&self) -> Committed<Orders> {
        self.committed(ORDERS_TOPIC, |value| {
            Orders::decode(value).unwrap_or_default()
        })
    }

    /// Returns the committed routing table, if there is one and it can be decoded.
    fn committed_table(&self) -> Committed<Option<RoutingTable>> {
        self.committed(TABLE_TOPIC, |value| RoutingTable::decode(value).ok())
    }

    fn committed<T: Default>(&self, topic: &str, decode: impl Fn(&[u8]) -> T) -> Committed<T> {
        let fleet = self.0.fleet.borrow();
        let committed = fleet.table().value(topic);
        committed.map_or_else(Committed::default, |NumberedValue { number, value }| {
            Committed {
                number: *number,
                value: decode(value),
            }
        })
    }

    /// Applies the latest of the pending orders and drops the others, which operators' commands send again.
    fn apply_pending_orders(&self, topology: &Topology) {
        let Committed {
            number,
            value: mut orders,
        } = self.committed_orders();
        let pending = self.0.pending_orders.take();
        let Some(latest) = pending.last() else {
            return;
        };
        if let Ok(order) = Order::decode(&latest[1..]) {
            apply_order(topology, &mut orders, order);
        }
        let write = ConditionalWrite {
            topic: ORDERS_TOPIC.to_owned(),
            expected_number: number,
            value: orders.encode(),
        };
        self.step(|fleet, now, actions| {
            let proposed = fleet.propose(now, &write, actions);
            proposed.ok();
        });
    }

    /// Proposes the controller's routing table, if there is one to propose.
    fn propose_table(&self, zones: &file::Zones, topology: &Topology, now: TenthMillis) {
        let Committed {
            number,
            value: committed,
        } = self.committed_table();
        let Some(table) = self.decide_table(zones, topology, committed.as_ref(), now) else {
            return;
        };
        self.0.proposed_at.set(now);
        let is_new = committed
            .as_ref()
            .is_none_or(|committed| table.routes_differently(committed));
        if is_new {
            info!(number = number + 1, rows = ?table.rows, "proposing a routing table");
        }
        let write = ConditionalWrite {
            topic: TABLE_TOPIC.to_owned(),
            expected_number: number,
            value: table.encode(),
        };
        self.step(|fleet, now, actions| {
            if let Err(error) = fleet.propose(now, &write, actions) {
                warn!("cannot propose a routing table: {error}");
            }
        });
    }

    /// Returns the table to propose now, if any.
    fn decide_table(
        &self,
        zones: &file::Zones,
        topology: &Topology,
        committed: Option<&RoutingTable>,
        now: TenthMillis,
    ) -> Option<RoutingTable> {
        let mut failover = self.0.failover.borrow_mut();
        if failover.is_none() {
            let known_zones = topology.zones.clone();
            let config = failover_config(zones);
            // This does not fail: limits that the controller rejects are rejected when the file is read.
            *failover = FailoverController::new(config, known_zones, committed, now).ok();
        }
        let failover = failover.as_mut()?;
        let observations = self.0.observations.take();
        self.log_faults(&observations);
        failover.add_report(&observations);
        failover.set_drained(&self.committed_orders().value.drained, now);
        let valid_from_ms = unix_ms() + TABLE_LEAD_MS;
        let table = failover.decide(now, valid_from_ms, topology);
        // An unchanged table is proposed again well before it expires at the members.
        let renew_at = self.0.proposed_at.get() + to_tenths(zones.table_lifetime) / 3;
        if table.is_none() && now >= renew_at {
            return Some(failover.table(valid_from_ms));
        }
        table
    }

    /// Logs the routes on which sub-requests failed or were slow, at a limited rate.
    fn log_faults(&self, observations: &Report) {
        let has_faults = |(_, stats): &(&ZonePair, &RouteStats)| stats.down + stats.slow > 0;
        let routes: Vec<_> = observations.routes.iter().filter(has_faults).collect();
        if !routes.is_empty()
            && let Some(suppressed) = self.0.observation_log_limit.admit()
        {
            info!(?routes, observers = ?observations.demand, suppressed, "faults reported between zones");
        }
    }
}
