//! The settings file of each process, and the configuration that operators replace while the system runs.
//!
//! Both are validated against a JSON schema that is part of this crate, then against the rules that a schema can't
//! express. Every error names the line, the field or the JSON path that is invalid.
//!
//! This crate does no I/O and is independent of the wire protocol and of the scheduling of requests. Start reading at
//! [`Configuration`], then [`RoutingTable`], which matches requests to routes. The keys of both file formats are fixed
//! by the operators' documentation; where a Rust name differs from a key, `serde` maps it.

mod client;
mod configuration;
mod error;
mod ignored_fields;
mod platform_settings;
mod routing_table;
mod schema;
mod settings;
mod tenants;

pub use client::{Client, Key};
pub use configuration::{Backend, Configuration, Mode, RequestLimits, Route, WeightedBackend};
pub use error::{ConfigurationError, SettingsError};
pub use ignored_fields::ignored_fields;
pub use platform_settings::PlatformSettings;
pub use routing_table::{Destination, ResolvedRoute, RoutingTable, WeightedDestination};
pub use settings::Settings;
pub use tenants::{Credentials, Tenant, UnknownKey};
