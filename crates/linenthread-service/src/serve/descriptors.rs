//! How the descriptors that the process may use are divided among replicas, links, the fleet and clients.

use super::{fleet_member, links};
use crate::config::Config;
use crate::installation::InstallationSettings;

/// Descriptors that are neither a client's nor a replica's: standard streams, the listener, service discovery's
/// and the runtime's own.
const OWN_DESCRIPTORS: usize = 24;

/// Connections of clients that the descriptors leave room for.
pub(super) fn max_clients(config: &Config, settings: &InstallationSettings) -> usize {
    let fleet = settings.fleet.as_ref();
    let for_fleet = fleet.map_or(0, |fleet| fleet_member::descriptors(&fleet.section));
    let gateway = settings.gateway.as_ref().map(|gateway| &gateway.section);
    let for_links = links::descriptors(settings.peers.len(), gateway);
    let reserved = replica_descriptors(config) + for_fleet + for_links + OWN_DESCRIPTORS;
    config.sockets.saturating_sub(reserved).max(1)
}

/// Connections of clients that may stay although they send no further request: a sixth of all descriptors.
pub(super) fn max_spent_clients(config: &Config) -> usize {
    config.sockets / 6
}

/// Descriptors reserved for replicas, before those for clients: a quarter of all, or two a replica. More replicas may
/// be discovered later, so at most half is reserved.
pub(super) fn replica_descriptors(config: &Config) -> usize {
    (config.sockets / 4)
        .max(config.cached_membership.replicas.len() * 2)
        .min(config.sockets / 2)
}
