//! The simulated world: zones, their coordinators, and the leader's controller.

use std::collections::{BTreeMap, BTreeSet};

use linenthread_core::interface::TenthMillis;
use linenthread_zones::{
    ALL_KEYS, FailoverConfig, FailoverController, Placement, RoutingTable, Topology, Zone,
    ZoneObserver,
};
use oorandom::Rand64;

use super::fault::Fault;
use super::{Outcome, SECOND, START, STEP, TENTHS_PER_SECOND};

/// A new leader takes over once in so many steps.
const LEADER_CHANGE_STEPS: u64 = 60;
/// Steps before the fault.
const QUIET_STEPS: usize = 40;
/// A schedule ends after so many breaches.
const MAX_BREACHES: usize = 3;
/// A fault must be handled within so long.
const MAX_REACTION_TIME: TenthMillis = 8 * SECOND;
/// The work that a replica does in a second, in milliseconds: two requests at once.
const REPLICA_MS_PER_SECOND: f64 = 2_000.0;
/// Set in the environment, it has all tables printed.
const SHOW_VARIABLE: &str = "SHOW";

/// One coordinator.
pub(super) struct Coordinator {
    pub(super) zone: usize,
    pub(super) observer: ZoneObserver,
    /// Tables on their way, with the time of their arrival.
    arriving: Vec<(TenthMillis, RoutingTable)>,
    /// The table that it acts on.
    pub(super) table: RoutingTable,
}

/// One schedule.
pub(super) struct World {
    pub(super) now: TenthMillis,
    seed: u64,
    pub(super) rng: Rand64,
    pub(super) topology: Topology,
    /// By zone, requests a second that its replicas can process.
    pub(super) capacity: Vec<f64>,
    /// By zone, requests a second that its clients need.
    pub(super) demand: Vec<f64>,
    pub(super) service_ms: f64,
    pub(super) coordinators: Vec<Coordinator>,
    /// The replicated table.
    pub(super) table: Option<RoutingTable>,
    controller: FailoverController,
    pub(super) fault: Fault,
    pub(super) fault_is_active: bool,
    /// Zones that operators drain.
    drained: BTreeSet<String>,
    breaches: Vec<String>,
    pub(super) openings: u32,
    pub(super) leaders: u32,
    tables: u32,
    /// How long after the fault's start it was handled.
    handled_after: Option<TenthMillis>,
}

fn config() -> FailoverConfig {
    FailoverConfig {
        capacity_margin: 0.8,
        hold: 5 * SECOND,
        max_hold: 60 * SECOND,
        return_step: 3 * SECOND,
    }
}

/// Shards on a ring of replica groups: each shard is in several consecutive groups, and these go round the zones.
fn placements(zones: usize, groups: usize, copies: usize) -> Vec<Placement> {
    let mut shares: BTreeMap<Vec<u16>, f64> = BTreeMap::new();
    for shard in 0..groups {
        let mut replicas = vec![0; zones];
        for copy in 0..copies {
            replicas[(shard + copy) % groups % zones] += 1;
        }
        *shares.entry(replicas).or_default() += 1.0 / groups as f64;
    }
    let shares = shares.into_iter();
    shares
        .map(|(replicas, share)| Placement { replicas, share })
        .collect()
}

impl World {
    pub(super) fn new(seed: u64) -> World {
        let mut rng = Rand64::new(u128::from(seed));
        let count = 2 + rng.rand_range(0..4) as usize;
        let regions = 1 + rng.rand_range(0..2) as usize;
        let replicas = 2 + rng.rand_range(0..6) as usize;
        let service_ms = 5.0 + 40.0 * rng.rand_float();
        let is_configured = rng.rand_range(0..2) == 0;
        let replica_capacity = REPLICA_MS_PER_SECOND / service_ms;
        let zone = |n: usize| Zone {
            name: format!("z{n}"),
            region: format!("r{}", n % regions),
            replica_capacity: is_configured.then_some(replica_capacity),
        };
        let copies = 2 + rng.rand_range(0..2) as usize;
        let topology = Topology {
            zones: (0..count).map(zone).collect(),
            replicas: vec![replicas as u32; count],
            placements: placements(count, replicas * count, copies),
        };
        let capacity = vec![replica_capacity * replicas as f64; count];
        // From idle to nearly full.
        let utilization = 0.15 + 0.45 * rng.rand_float();
        let demand = capacity
            .iter()
            .map(|capacity| capacity * utilization * (0.8 + 0.4 * rng.rand_float()))
            .collect();
        let fault = Fault::random(count, &mut rng);
        let observers = 3 + rng.rand_range(0..8) as usize;
        let names = topology
            .zones
            .iter()
            .map(|zone| zone.name.clone())
            .collect();
        let open = RoutingTable::open(names);
        let coordinator = |n: usize| Coordinator {
            zone: n % count,
            observer: ZoneObserver::new((n % count) as u8),
            arriving: Vec::new(),
            table: open.clone(),
        };
        World {
            now: START,
            seed,
            controller: FailoverController::new(config(), topology.zones.clone(), None, START),
            coordinators: (0..count * observers).map(coordinator).collect(),
            table: None,
            rng,
            topology,
            capacity,
            demand,
            service_ms,
            fault,
            fault_is_active: false,
            drained: BTreeSet::new(),
            breaches: Vec::new(),
            openings: 0,
            leaders: 1,
            tables: 0,
            handled_after: None,
        }
    }

    pub(super) fn breach(&mut self, cause: String) {
        let seconds = self.now as f64 / TENTHS_PER_SECOND;
        let (schedule, fault) = (self.seed, self.fault);
        self.breaches.push(format!(
            "schedule {schedule}, {fault:?}, {seconds:.1} s: {cause}"
        ));
    }

    /// Whether requests of a coordinator to a zone fail now.
    pub(super) fn is_broken(&self, coordinator: usize, to: usize) -> bool {
        let from = self.coordinators[coordinator].zone;
        // The first of each zone.
        let is_isolated = coordinator < self.topology.zones.len();
        self.fault_is_active && self.fault.breaks(from, to, is_isolated)
    }

    fn step(&mut self) {
        self.now += STEP;
        self.deliver_tables();
        self.run_traffic();
        let mut report = self.collect_reports();
        if self.fault == Fault::HostileReports {
            report.add(&self.hostile_report());
        }
        self.controller.add_report(&report);
        if self.rng.rand_range(0..LEADER_CHANGE_STEPS) == 0 {
            self.change_leader();
        }
        self.controller.set_drained(&self.drained, self.now);
        if let Some(table) = self.controller.decide(self.now, 0, &self.topology) {
            self.on_table(&table);
        }
    }

    /// Tables arrive at each coordinator in their order, some late.
    fn deliver_tables(&mut self) {
        for coordinator in &mut self.coordinators {
            let arriving = &mut coordinator.arriving;
            while arriving.first().is_some_and(|(at, _)| *at <= self.now) {
                coordinator.table = arriving.remove(0).1;
            }
        }
    }

    /// A new leader goes on from the replicated table alone.
    fn change_leader(&mut self) {
        self.leaders += 1;
        self.controller = FailoverController::new(
            config(),
            self.topology.zones.clone(),
            self.table.as_ref(),
            self.now,
        );
    }

    /// A table was made.
    fn on_table(&mut self, table: &RoutingTable) {
        let table = RoutingTable::decode(&table.encode()).expect("a table of ours");
        let before: Vec<u16> = match &self.table {
            Some(table) => table.routes().map(|route| route.share).collect(),
            None => vec![ALL_KEYS; self.topology.zones.len().pow(2)],
        };
        let opens = table
            .routes()
            .zip(before)
            .any(|(new, before)| new.share > before);
        self.openings += u32::from(opens);
        self.tables += 1;
        if std::env::var_os(SHOW_VARIABLE).is_some() {
            println!(
                "{:.1} {:?}",
                self.now as f64 / TENTHS_PER_SECOND,
                table.rows
            );
        }
        self.send_table(&table);
        self.table = Some(table.clone());
        self.check_table(&table);
    }

    fn send_table(&mut self, table: &RoutingTable) {
        for coordinator in &mut self.coordinators {
            if self.fault_is_active && self.fault.cuts_off(coordinator.zone) {
                continue;
            }
            let lag = self.rng.rand_range(0..9_000) as TenthMillis;
            let last = coordinator.arriving.last();
            let arrival = last.map_or(0, |(at, _)| *at).max(self.now + lag);
            coordinator.arriving.push((arrival, table.clone()));
        }
    }

    /// Runs the schedule.
    pub(super) fn run(mut self) -> Outcome {
        for _ in 0..QUIET_STEPS {
            self.step();
        }
        if self.tables > 0 && self.fault != Fault::HostileReports {
            self.breach("near-while-safe: a table before anything is wrong".into());
        }
        let drain_accepted = self.run_fault();
        let must_be_noticed = self.must_be_noticed(drain_accepted);
        let is_late = |after: TenthMillis| after > MAX_REACTION_TIME;
        if must_be_noticed && self.handled_after.is_none_or(is_late) {
            let after = self.handled_after;
            self.breach(format!("not left in time: {after:?}"));
        }
        self.run_recovery();
        self.check_openings();
        Outcome {
            breaches: self.breaches,
            handled_after: self.handled_after.filter(|_| must_be_noticed),
        }
    }

    /// Runs with the fault; whether the drain was accepted, if that is the fault.
    fn run_fault(&mut self) -> bool {
        self.fault_is_active = true;
        let started_at = self.now;
        let mut drain_accepted = true;
        if let Fault::Drain(zone) = self.fault {
            // Where shards are placed there alone it is refused.
            let name = format!("z{zone}");
            drain_accepted = self.topology.may_drain(&name, &self.drained).is_ok();
            self.drained.extend(drain_accepted.then_some(name));
        }
        let steps = 40 + self.rng.rand_range(0..120) as usize;
        for _ in 0..steps {
            self.step();
            if self.handled_after.is_none() && self.is_handled() {
                self.handled_after = Some(self.now - started_at);
            }
            if self.breaches.len() > MAX_BREACHES {
                break;
            }
        }
        drain_accepted
    }

    /// After the fault: after the longest hold and all steps, with some time for noise, all is open.
    fn run_recovery(&mut self) {
        self.fault_is_active = false;
        self.drained.clear();
        if self.fault == Fault::HostileReports || !self.breaches.is_empty() {
            return;
        }
        let config = config();
        let recovery = 2 * (config.max_hold + 6 * config.return_step) + 20 * SECOND;
        let end = self.now + recovery;
        while self.now < end && !self.is_open() {
            self.step();
        }
        if !self.is_open() {
            let rows = self.table.as_ref().map(|table| table.rows.clone());
            self.breach(format!("not all open again: {rows:?}"));
        }
    }
}
