//! Zone-aware routing of one process: tracks the placement of replicas, the outcomes of sub-requests to each zone, and
//! the routing table in use.

use std::collections::BTreeMap;

use linenthread_core::interface::{
    AttemptOutcome, MembershipEntry, MembershipUpdate, Phase, ReplicaIndex, ShardLayout,
    TenthMillis, ZoneRoute,
};
use linenthread_installation as file;
use linenthread_protocol::hash_id;
use linenthread_zones::{
    ALL_KEYS, Placement, Report, RoutingTable, Topology, Zone, ZoneIndex, ZoneObserver,
};

/// Distance of the zone of this process.
const SAME_ZONE: u8 = 0;
/// Distance of another zone of the same region.
const SAME_REGION: u8 = 1;
/// Distance of a zone of another region.
const OTHER_REGION: u8 = 2;
/// Distance of a zone that is not in the installation file: greater than that of any configured zone.
const UNCONFIGURED_ZONE: u8 = 3;

/// A zone in the coordinator driver's numbering.
struct NamedZone {
    name: String,
    /// The zone's position in the installation file, or `None` if it is not in the file.
    configured: Option<usize>,
}

/// Identity of the replica process that an index refers to; a different start time means a different process.
#[derive(Clone, Copy, PartialEq, Eq)]
struct ReplicaIdentity {
    id: u64,
    started_at: Option<TenthMillis>,
}

/// A process's report on zones to the leader of its fleet.
pub(crate) struct ZoneReport {
    /// Observations since the previous report.
    pub observations: Report,
    /// The current placement of replicas.
    pub topology: Topology,
}

/// Configuration of a process's routing between zones.
pub(crate) struct ZoneRoutingConfig {
    /// The zones of the installation file, in the file's order.
    pub zones: Vec<Zone>,
    /// The name of this process's zone.
    pub local_zone: String,
    /// A routing table expires after this time unless it is renewed.
    pub table_lifetime: TenthMillis,
    pub layout: ShardLayout,
    pub shard_count: usize,
}

/// Returns the names of all zones in the order of the driver's numbers: the zones of the settings, then those that are
/// only in the installation file.
pub(crate) fn numbered_zones(
    in_settings: &[String],
    in_installation: &[file::Zone],
) -> Vec<String> {
    let installed = in_installation.iter().map(|zone| &zone.name);
    let additional = installed.filter(|name| !in_settings.contains(name));
    in_settings.iter().chain(additional).cloned().collect()
}

/// Routing between zones from the zone of this process.
pub(crate) struct ZoneRouting {
    zones: Vec<Zone>,
    /// Position of this process's zone in `zones`.
    local_zone: usize,
    /// By the driver's zone number.
    named_zones: Vec<NamedZone>,
    layout: ShardLayout,
    shard_count: usize,
    observer: ZoneObserver,
    listed: BTreeMap<ReplicaIndex, MembershipEntry>,
    identities: BTreeMap<ReplicaIndex, ReplicaIdentity>,
    table: Option<RoutingTable>,
    /// When the table expires unless it is renewed.
    expires_at: TenthMillis,
    table_lifetime: TenthMillis,
}

impl ZoneRouting {
    /// `zone_names` are all zones in the order of the driver's numbers, as returned by [`numbered_zones`].
    pub(crate) fn new(config: ZoneRoutingConfig, zone_names: &[String]) -> ZoneRouting {
        let ZoneRoutingConfig {
            zones,
            local_zone,
            table_lifetime,
            layout,
            shard_count,
        } = config;
        let position = |name: &str| zones.iter().position(|zone| zone.name == name);
        let named_zone = |name: &String| NamedZone {
            name: name.clone(),
            configured: position(name),
        };
        let local_zone = position(&local_zone).unwrap_or_default();
        ZoneRouting {
            named_zones: zone_names.iter().map(named_zone).collect(),
            observer: ZoneObserver::new(ZoneIndex::new(local_zone).unwrap_or_default()),
            zones,
            local_zone,
            layout,
            shard_count,
            listed: BTreeMap::new(),
            identities: BTreeMap::new(),
            table: None,
            expires_at: 0,
            table_lifetime,
        }
    }

    /// Applies an update of the membership list in the same way as the decision module.
    pub(crate) fn on_membership(&mut self, update: &MembershipUpdate) {
        let (listed, is_complete) = match update {
            MembershipUpdate::Delta(listed) => (listed, false),
            MembershipUpdate::Snapshot(listed) | MembershipUpdate::Cached(listed) => (listed, true),
            MembershipUpdate::Unavailable => return,
        };
        if is_complete {
            self.listed.clear();
        }
        for entry in listed {
            self.on_entry(entry);
        }
    }

    fn on_entry(&mut self, entry: &MembershipEntry) {
        let identity = ReplicaIdentity {
            id: entry.id,
            started_at: entry.started_at,
        };
        // Observations of the replica or process that had this index before do not apply to the new one.
        if self.identities.insert(entry.replica, identity) != Some(identity) {
            self.observer.on_replica_removed(entry.replica.0);
        }
        match entry.phase {
            Phase::Removed => {
                self.observer.on_replica_removed(entry.replica.0);
                self.listed.remove(&entry.replica);
            }
            _ => drop(self.listed.insert(entry.replica, entry.clone())),
        }
    }

    /// Returns the zone of a listed replica, or `None` if the zone is not in the installation file.
    fn zone(&self, replica: ReplicaIndex) -> Option<usize> {
        let listed = self.listed.get(&replica)?;
        self.named_zones.get(listed.zone)?.configured
    }

    /// Records the start of a query with this number of sub-requests.
    pub(crate) fn on_query(&mut self, sub_requests: usize) {
        self.observer.on_query(sub_requests);
    }

    /// Records the outcome of a sub-request to a replica, which took `elapsed`.
    pub(crate) fn on_outcome(
        &mut self,
        replica: ReplicaIndex,
        outcome: AttemptOutcome,
        elapsed: TenthMillis,
    ) {
        if let Some(zone) = self.zone(replica).and_then(ZoneIndex::new) {
            self.observer.on_outcome(zone, replica.0, outcome, elapsed);
        }
    }

    /// Returns the observations since the previous call and the current placement of replicas.
    pub(crate) fn report(&mut self) -> ZoneReport {
        let zone_count = self.zones.len();
        let mut replicas = vec![0; zone_count];
        // Ready replicas by replica group, then by zone.
        let mut by_group = vec![vec![0_u16; zone_count]; self.layout.replica_groups];
        let is_ready = |entry: &&MembershipEntry| entry.phase == Phase::Ready;
        for entry in self.listed.values().filter(is_ready) {
            let Some(zone) = self.zone(entry.replica) else {
                continue;
            };
            replicas[zone] += 1;
            if let Some(group) = by_group.get_mut(entry.replica_group) {
                group[zone] += 1;
            }
        }
        let topology = Topology {
            zones: self.zones.clone(),
            replicas,
            placements: self.placements(&by_group),
        };
        ZoneReport {
            observations: self.observer.report(&topology.replicas),
            topology,
        }
    }

    /// Returns the distinct distributions of a shard's ready replicas over zones, each with its share of all shards.
    fn placements(&self, by_group: &[Vec<u16>]) -> Vec<Placement> {
        let mut shares: BTreeMap<Vec<u16>, f64> = BTreeMap::new();
        for shard in 0..self.shard_count {
            let mut replicas = vec![0; self.zones.len()];
            let groups = by_group.iter().enumerate();
            for (_, group) in groups.filter(|&(group, _)| self.layout.holds(group, shard)) {
                for (total, count) in replicas.iter_mut().zip(group) {
                    *total += count;
                }
            }
            *shares.entry(replicas).or_default() += 1.0 / self.shard_count.max(1) as f64;
        }
        let shares = shares.into_iter();
        shares
            .map(|(replicas, share)| Placement { replicas, share })
            .collect()
    }

    /// Applies a routing table. Returns `false`, and ignores the table, if its zones are not the configured ones.
    pub(crate) fn accept_table(&mut self, table: RoutingTable, now: TenthMillis) -> bool {
        let configured = self.zones.iter().map(|zone| &zone.name);
        let is_applicable = table.zones.iter().eq(configured);
        if is_applicable {
            self.table = Some(table);
            self.expires_at = now + self.table_lifetime;
        }
        is_applicable
    }

    /// Drops a table that was not renewed in time, and returns whether it did. Without a table, all routes are open,
    /// nearest zone first.
    pub(crate) fn expire_table(&mut self, now: TenthMillis) -> bool {
        now >= self.expires_at && self.table.take().is_some()
    }

    /// Returns the routes to all zones, in the order of the driver's numbers, for the decision module.
    pub(crate) fn routes(&self) -> Vec<ZoneRoute> {
        self.named_zones
            .iter()
            .map(|zone| self.route(zone))
            .collect()
    }

    fn route(&self, named_zone: &NamedZone) -> ZoneRoute {
        let id = hash_id(&named_zone.name);
        let Some(zone) = named_zone.configured else {
            return ZoneRoute {
                id,
                distance: UNCONFIGURED_ZONE,
                open_per_mille: ALL_KEYS,
            };
        };
        let rows = self.table.as_ref().map(|table| &table.rows);
        let row = rows.and_then(|rows| rows.get(self.local_zone));
        let route = row.and_then(|row| row.routes.get(zone));
        ZoneRoute {
            id,
            distance: self.distance(zone),
            open_per_mille: route.map_or(ALL_KEYS, |route| route.share),
        }
    }

    fn distance(&self, zone: usize) -> u8 {
        if zone == self.local_zone {
            SAME_ZONE
        } else if self.zones[zone].region == self.zones[self.local_zone].region {
            SAME_REGION
        } else {
            OTHER_REGION
        }
    }
}
