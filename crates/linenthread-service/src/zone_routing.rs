//! What the desk keeps of zones: where replicas stand, what becomes of the parts sent there, and the table that is
//! acted on.

use std::collections::BTreeMap;

use linenthread_core::interface::{
    AttemptOutcome, MembershipEntry, MembershipUpdate, Phase, ShardLayout, TenthMillis, ZoneRoute,
};
use linenthread_protocol::hash_id;
use linenthread_zones::{ALL_KEYS, Placement, Report, RoutingTable, Topology, Zone, ZoneObserver};

/// Nearer than a site that the operators' file does not name, farther than one it does.
const UNNAMED: u8 = 3;

pub(crate) struct Near {
    zones: Vec<Zone>,
    /// Where this program's clients are.
    own: usize,
    /// By the desk's number of a site: its name, and its zone if the operators' file names one.
    sites: Vec<(String, Option<usize>)>,
    layout: ShardLayout,
    /// Shards of the layout.
    shards: usize,
    watch: ZoneObserver,
    listed: BTreeMap<usize, MembershipEntry>,
    known: BTreeMap<usize, (u64, Option<TenthMillis>)>,
    table: Option<RoutingTable>,
    /// Until then the table is acted on without further word of it.
    until: TenthMillis,
    life: TenthMillis,
}

impl Near {
    /// `sites` are the desk's, in its order; `own` is the fleet's own zone.
    pub(crate) fn new(
        zones: Vec<Zone>,
        own: &str,
        life: TenthMillis,
        sites: &[String],
        (layout, shards): (ShardLayout, usize),
    ) -> Near {
        let zone = |name: &String| (name.clone(), zones.iter().position(|z| z.name == *name));
        let own = zones.iter().position(|z| z.name == own).unwrap_or_default();
        Near {
            sites: sites.iter().map(zone).collect(),
            watch: ZoneObserver::new(own as u8),
            zones,
            own,
            layout,
            shards,
            listed: BTreeMap::new(),
            known: BTreeMap::new(),
            table: None,
            until: 0,
            life,
        }
    }

    /// The roster's news, as the module hears it.
    pub(crate) fn hear(&mut self, news: &MembershipUpdate) {
        let (listed, whole) = match news {
            MembershipUpdate::Delta(listed) => (listed, false),
            MembershipUpdate::Snapshot(listed) | MembershipUpdate::Cached(listed) => (listed, true),
            MembershipUpdate::Unavailable => return,
        };
        if whole {
            self.listed.clear();
        }
        for entry in listed {
            // Another process, or another replica under this number: what is known of it is of the one before.
            if self
                .known
                .insert(entry.replica, (entry.id, entry.started_at))
                != Some((entry.id, entry.started_at))
            {
                self.watch.on_replica_removed(entry.replica);
            }
            match entry.phase {
                Phase::Removed => {
                    self.watch.on_replica_removed(entry.replica);
                    self.listed.remove(&entry.replica);
                }
                _ => drop(self.listed.insert(entry.replica, entry.clone())),
            }
        }
    }

    fn zone(&self, replica: usize) -> Option<usize> {
        self.sites.get(self.listed.get(&replica)?.zone)?.1
    }

    pub(crate) fn asked(&mut self, parts: usize) {
        self.watch.on_query(parts);
    }

    pub(crate) fn ended(&mut self, replica: usize, ending: AttemptOutcome, took: TenthMillis) {
        if let Some(zone) = self.zone(replica) {
            self.watch.on_outcome(zone as u8, replica, ending, took);
        }
    }

    /// What was seen since the last time, and what there is.
    pub(crate) fn report(&mut self) -> (Report, Topology) {
        let count = self.zones.len();
        let mut replicas = vec![0; count];
        // By cell, replicas that take parts, by zone.
        let mut cells = vec![vec![0_u16; count]; self.layout.replica_groups];
        for (&replica, listed) in self.listed.iter().filter(|(_, l)| l.phase == Phase::Ready) {
            if let Some(zone) = self.zone(replica) {
                replicas[zone] += 1;
                if let Some(cell) = cells.get_mut(listed.replica_group) {
                    cell[zone] += 1;
                }
            }
        }
        let mut patterns: BTreeMap<Vec<u16>, f64> = BTreeMap::new();
        for shard in 0..self.shards {
            let mut holders = vec![0; count];
            for cell in
                (0..self.layout.replica_groups).filter(|&cell| self.layout.holds(cell, shard))
            {
                (0..count).for_each(|zone| holders[zone] += cells[cell][zone]);
            }
            *patterns.entry(holders).or_default() += 1.0 / self.shards.max(1) as f64;
        }
        let patterns = patterns
            .into_iter()
            .map(|(holders, share)| Placement {
                replicas: holders,
                share,
            })
            .collect();
        (
            self.watch.report(&replicas),
            Topology {
                zones: self.zones.clone(),
                replicas,
                placements: patterns,
            },
        )
    }

    /// Acts on a table from now on. One of other zones than this program's file has is not acted on.
    pub(crate) fn take(&mut self, table: RoutingTable, now: TenthMillis) -> bool {
        let same = table.zones.iter().eq(self.zones.iter().map(|z| &z.name));
        if same {
            self.table = Some(table);
            self.until = now + self.life;
        }
        same
    }

    /// Whether the table has just been without word for too long: then all ways are open again, near first.
    pub(crate) fn ends(&mut self, now: TenthMillis) -> bool {
        now >= self.until && self.table.take().is_some()
    }

    /// What the module is told.
    pub(crate) fn ways(&self) -> Vec<ZoneRoute> {
        let way = |(name, zone): &(String, Option<usize>)| {
            let Some(zone) = *zone else {
                return ZoneRoute {
                    id: hash_id(name),
                    distance: UNNAMED,
                    open_per_mille: ALL_KEYS,
                };
            };
            let distance = match (
                zone == self.own,
                self.zones[zone].region == self.zones[self.own].region,
            ) {
                (true, _) => 0,
                (_, true) => 1,
                _ => 2,
            };
            let row = self.table.as_ref().and_then(|t| t.rows.get(self.own));
            let open = row
                .and_then(|row| row.routes.get(zone))
                .map_or(ALL_KEYS, |route| route.share);
            ZoneRoute {
                id: hash_id(name),
                distance,
                open_per_mille: open,
            }
        };
        self.sites.iter().map(way).collect()
    }
}
