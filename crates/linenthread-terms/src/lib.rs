//! Decodes the settings that a co-ordinator is started with: what its decisions need into a
//! [`CoordinatorConfig`](linenthread_core::interface::CoordinatorConfig), what its connections need into a
//! [`ClusterConfig`].
//!
//! The names of settings are known here and nowhere else. The package reads no file; it takes the parsed JSON
//! value, from [`parse_settings`] or from a larger document. Start reading with [`coordinator_config`].

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

/// Units of the decision module in a millisecond.
const TENTHS_PER_MS: f64 = 10.0;

/// Converts milliseconds, rounded to the nearest tenth of one.
pub fn tenth_millis(ms: f64) -> TenthMillis {
    to_tenth_millis((ms * TENTHS_PER_MS).round())
}
