//! Which zone serves whose keys: decided for all coordinators together, from what all of them observe.
//!
//! A [`ZoneObserver`] at each coordinator counts the outcomes of its sub-requests by zone and makes a [`Report`] of a
//! few numbers at intervals; reports are added up on their way. The fleet's leader feeds them to its
//! [`FailoverController`], which makes a [`RoutingTable`]: for each zone of clients and each zone of replicas, for
//! what share of keys the route between them is open. All act on one table; each coordinator's policy uses one row.
//!
//! The way of a failover, from the first failed sub-request to closed routes:
//!
//! | step | where |
//! | --- | --- |
//! | a coordinator counts outcomes, and has an opinion of the zone | `observer` |
//! | opinions of all coordinators are added up on their way to the leader | `report` |
//! | majorities find the zone down, or a pair of zones partitioned | `controller/evidence.rs` |
//! | found so in two consecutive evaluations, it is ejected for some time | `health` |
//! | its routes close, and those to other zones are narrowed to their capacity | `controller/routes.rs`, `load` |
//! | the table is proposed, unless it only opens routes and the budget for that is spent | `controller/adoption.rs` |
//!
//! This package must not know how reports and tables are carried: `linenthread-fleet` replicates the table, and takes
//! care that a minority changes nothing. Start reading at [`FailoverController::decide`]; `docs/failover-design.md`
//! has the reasons.
//!
//! Invariants, checked by the simulation of zones: *within-capacity* (a table sends no zone more than its capacity
//! beside its own clients' requests), *local-while-healthy* (while all is healthy every route is open, so that each
//! sub-request stays in the nearest zone with its shard), *no-flapping* (a bound on changes an hour under any evidence),
//! *stable-placement* (a share that falls or grows moves the same keys, and moves them back).

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

/// The most zones.
pub const MAX_ZONES: usize = 16;
/// A share in thousandths: all keys.
pub const ALL_KEYS: u16 = 1_000;
