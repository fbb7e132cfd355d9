//! Decodes the settings with which a co-ordinator is started: those for its decisions into a
//! [`CoordinatorConfig`](linenthread_core::interface::CoordinatorConfig), those for its connections into a
//! [`ClusterConfig`].
//!
//! Apart from the migration of older settings in `linenthread-service` and the fakes for tests, only this package uses
//! the names of settings. It reads no file but takes a parsed JSON value, from [`parse_settings`] or from a larger
//! document. Start reading with [`coordinator_config`].

mod cluster;
mod coordinator;
mod error;
mod load_reports;
mod reader;

use linenthread_core::conversion::to_tenth_millis;
use linenthread_core::interface::TenthMillis;

pub use cluster::{ClusterConfig, cluster_config};
pub use coordinator::coordinator_config;
pub use error::SettingsError;
pub use load_reports::queue_position;
pub use reader::parse_settings;

/// The number of [`TenthMillis`] in a millisecond.
const TENTHS_PER_MS: f64 = 10.0;

/// Converts milliseconds to the decision module's unit, rounded to the nearest tenth of a millisecond.
pub fn tenth_millis(ms: f64) -> TenthMillis {
    to_tenth_millis((ms * TENTHS_PER_MS).round())
}
