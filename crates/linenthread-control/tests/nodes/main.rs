//! Tests of several control nodes in one simulated cluster: loss of contact, pauses, shutdowns, replacement of voters,
//! departures of replicas, and usage reports.

mod cluster;
mod contact;
mod departures;
mod orders_under_load;
mod platform;
mod shutdown;
mod usage_reports;
