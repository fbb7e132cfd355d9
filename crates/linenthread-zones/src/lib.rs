//! Failover between zones: decides, once for all coordinators and from what all of them observe, which zones serve
//! which keys.
//!
//! A [`ZoneObserver`] at each coordinator counts the outcomes of its sub-requests by zone and summarizes them in a
//! [`Report`] of a few numbers at intervals. Reports are added up on their way to the fleet's leader, which feeds them
//! to its [`FailoverController`]. The controller makes a [`RoutingTable`]: for each zone of clients and each zone of
//! replicas, the share of keys for which the route between them is open. All coordinators act on the same table; the
//! policy of each uses one row.
//!
//! The steps of a failover, from the first failed sub-request to closed routes:
//!
//! | step | where |
//! | --- | --- |
//! | a coordinator counts outcomes and forms an opinion of each zone | `observer` |
//! | the opinions of all coordinators are added up on their way to the leader | `report` |
//! | majorities find the zone down, or a pair of zones partitioned | `controller/evidence.rs` |
//! | after this finding in two consecutive evaluations, the zone or pair is ejected for some time | `health` |
//! | its routes are closed, and those to other zones are narrowed to the capacity there | `controller/routes.rs`, `load` |
//! | the table is proposed, unless it only opens routes and the budget for openings is spent | `controller/adoption.rs` |
//!
//! This package must not depend on how reports and tables are transported: `linenthread-fleet` replicates the table and
//! ensures that a minority cannot change it. Start reading at [`FailoverController::decide`]; `docs/failover-design.md`
//! gives the reasons.
//!
//! Invariants, checked by the simulation of zones: *within-capacity* (a table sends no zone more than its capacity
//! beside its own clients' requests), *local-while-healthy* (while all zones are healthy every route is open, so that
//! each sub-request stays in the nearest zone with its shard), *no-flapping* (the number of changes per hour is bounded
//! whatever the evidence), *stable-placement* (the keys that move when a share falls are the ones that move back when
//! it grows).

mod config;
mod controller;
mod error;
mod health;
mod load;
mod observer;
mod report;
mod table;
mod topology;
mod zone_index;

pub use config::{ConfigError, FailoverConfig};
pub use controller::{EVALUATION_INTERVAL, FailoverController};
pub use error::{DrainError, FormatError};
pub use load::{Loads, limit_to_capacity, loads};
pub use observer::ZoneObserver;
pub use report::{Demand, Report, RouteStats};
pub use table::{Reason, Route, RoutingTable, Row};
pub use topology::{Placement, Topology, Zone};
pub use zone_index::{ZoneIndex, ZonePair};

/// The maximum number of zones.
pub const MAX_ZONES: usize = 16;
/// The share of all keys; shares are in thousandths.
pub const ALL_KEYS: u16 = 1_000;
