//! Divides the file descriptors that the process may use among replicas, links, the fleet and clients.

use super::{fleet_member, links};
use crate::config::Config;
use crate::installation::InstallationSettings;

/// Descriptors for everything else: standard streams, the clients' listener, service discovery and the runtime.
const BASE_DESCRIPTORS: usize = 24;

/// Returns the maximum number of client connections, which get all descriptors that are not reserved; at least one.
pub(super) fn max_clients(config: &Config, settings: &InstallationSettings) -> usize {
    let fleet = settings.fleet.as_ref();
    let for_fleet = fleet.map_or(0, |fleet| fleet_member::descriptors(&fleet.section));
    let gateway = settings.gateway.as_ref().map(|gateway| &gateway.section);
    let for_links = links::descriptors(settings.peers.len(), gateway);
    let reserved = replica_descriptors(config) + for_fleet + for_links + BASE_DESCRIPTORS;
    config.max_file_descriptors.saturating_sub(reserved).max(1)
}

/// Returns the maximum number of client connections that are kept open after a response although they send no further
/// request: a sixth of all descriptors.
pub(super) fn max_idle_clients(config: &Config) -> usize {
    config.max_file_descriptors / 6
}

/// Returns the number of descriptors reserved for connections to replicas: a quarter of all descriptors, or two for
/// each cached replica if that is more. At most half of all are reserved, as more replicas may be discovered later.
pub(super) fn replica_descriptors(config: &Config) -> usize {
    (config.max_file_descriptors / 4)
        .max(config.cached_membership.replicas.len() * 2)
        .min(config.max_file_descriptors / 2)
}
