//! What was measured, as a table and as lines of CSV.

use std::collections::BTreeSet;
use std::fmt::Write;

use crate::cost::{Cost, Work};
use crate::scale::Scale;
use crate::world::{ControlNode, World};

pub const CSV_HEADER: &str = "fronts,replicas,control,voters,seconds,seed,document_bytes,role,machines,messages_in,\
messages_out,bytes_in,bytes_out,processor_percent,heap_bytes,transient_bytes,disk_bytes,ack_ms,in_force_p50_ms,\
in_force_p99_ms,in_force_last_ms,snapshot_bytes,snapshot_node_ms,snapshot_front_ms";

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    Front,
    Replica,
    /// The mean of the control nodes whose disks vote.
    Voter,
    /// The control node of most processor time.
    BusiestControl,
    /// The mean of the control nodes that do not vote.
    Learner,
}

impl Role {
    pub fn name(self) -> &'static str {
        match self {
            Role::Front => "front",
            Role::Replica => "replica",
            Role::Voter => "voter",
            Role::BusiestControl => "busiest-control",
            Role::Learner => "learner",
        }
    }
}

/// What one machine of a role spends a second.
#[derive(Clone, Debug)]
pub struct RoleRow {
    pub role: Role,
    /// Only this kind of work; all of it if none is named.
    pub work: Option<Work>,
    pub machines: usize,
    pub messages_in: f64,
    pub messages_out: f64,
    pub bytes_in: f64,
    pub bytes_out: f64,
    /// Of one core. Not measured for replicas.
    pub processor_percent: f64,
    pub heap_bytes: f64,
    pub transient_bytes: f64,
    pub disk_bytes: f64,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Times {
    pub count: u64,
    pub median_ms: u64,
    pub p99_ms: u64,
    pub last_ms: u64,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Snapshot {
    pub fronts: usize,
    pub bytes: f64,
    pub node_ms: f64,
    /// At the fronts that hold a table.
    pub front_ms: f64,
}

#[derive(Clone, Debug)]
pub struct Measurement {
    pub scale: Scale,
    pub rows: Vec<RoleRow>,
    pub acknowledged: Times,
    pub in_force: Times,
    pub snapshot: Snapshot,
    /// Fronts that have the newest configuration at the end.
    pub fronts_in_force: usize,
    /// Replicas in the table of each front that holds one.
    pub table_sizes: Vec<usize>,
    pub voters_at_end: usize,
}

fn times(histogram: &hdrhistogram::Histogram<u64>) -> Times {
    Times {
        count: histogram.len(),
        median_ms: histogram.value_at_quantile(0.5),
        p99_ms: histogram.value_at_quantile(0.99),
        last_ms: histogram.max(),
    }
}

/// The mean over machines, of one kind of work or of all.
fn row(role: Role, work: Option<Work>, costs: &[&Cost], machines: usize, seconds: f64) -> RoleRow {
    let per = machines.max(1) as f64 * seconds;
    let traffic = |cost: &Cost| match work {
        Some(work) => cost.traffic.get(&work).copied().unwrap_or_default(),
        None => cost.total_traffic(),
    };
    let processor = |cost: &Cost| match work {
        Some(work) => cost.processor.get(&work).copied().unwrap_or_default(),
        None => cost.total_processor(),
    };
    let sum = |part: &dyn Fn(&Cost) -> f64| costs.iter().map(|cost| part(cost)).sum::<f64>();
    let mean = |part: &dyn Fn(&Cost) -> f64| sum(part) / costs.len().max(1) as f64;
    let whole = |value: f64| if work.is_none() { value } else { 0.0 };
    RoleRow {
        role,
        work,
        machines,
        messages_in: sum(&|c| traffic(c).messages_in as f64) / per,
        messages_out: sum(&|c| traffic(c).messages_out as f64) / per,
        bytes_in: sum(&|c| traffic(c).bytes_in as f64) / per,
        bytes_out: sum(&|c| traffic(c).bytes_out as f64) / per,
        processor_percent: sum(&|c| processor(c).as_secs_f64()) / per * 100.0,
        heap_bytes: whole(mean(&|c| c.heap as f64)),
        transient_bytes: whole(costs.iter().map(|c| c.transient as f64).fold(0.0, f64::max)),
        disk_bytes: whole(sum(&|c| c.disk_bytes as f64) / per),
    }
}

fn kinds(costs: &[&Cost]) -> BTreeSet<Work> {
    costs
        .iter()
        .flat_map(|c| c.traffic.keys().chain(c.processor.keys()))
        .copied()
        .collect()
}

impl Measurement {
    pub fn take(scale: &Scale, world: &World) -> Measurement {
        let seconds = scale.seconds as f64;
        let mut rows = Vec::new();
        rows.push(front_row(world, None, seconds));
        let fronts: Vec<&Cost> = world.fronts.iter().map(|front| &front.cost).collect();
        rows.extend(
            kinds(&fronts)
                .into_iter()
                .map(|work| front_row(world, Some(work), seconds)),
        );
        let replicas = [&world.replica_cost];
        rows.push(row(Role::Replica, None, &replicas, scale.replicas, seconds));
        for (role, votes) in [(Role::Voter, true), (Role::Learner, false)] {
            let of_role = |node: &&ControlNode| node.votes == votes;
            let costs: Vec<&Cost> = world
                .nodes
                .iter()
                .filter(of_role)
                .map(|node| &node.cost)
                .collect();
            if costs.is_empty() {
                continue;
            }
            rows.push(row(role, None, &costs, costs.len(), seconds));
            let parts = kinds(&costs);
            rows.extend(
                parts
                    .into_iter()
                    .map(|work| row(role, Some(work), &costs, costs.len(), seconds)),
            );
        }
        let busiest = world
            .nodes
            .iter()
            .map(|node| &node.cost)
            .max_by_key(|cost| cost.total_processor());
        rows.extend(busiest.map(|cost| row(Role::BusiestControl, None, &[cost], 1, seconds)));
        let newest = scale.changes as u64 + 1;
        Measurement {
            scale: scale.clone(),
            rows,
            acknowledged: times(&world.acknowledged),
            in_force: times(&world.in_force),
            snapshot: Snapshot::default(),
            fronts_in_force: world
                .fronts
                .iter()
                .filter(|front| front.revision == newest)
                .count(),
            table_sizes: world
                .fronts
                .iter()
                .filter_map(|f| Some(f.table.as_ref()?.len()))
                .collect(),
            voters_at_end: world
                .nodes
                .iter()
                .filter_map(|n| Some(n.node.as_ref()?.voters()))
                .max()
                .unwrap_or(0),
        }
    }

    pub fn add_storm(&mut self, world: &World, fronts: usize) {
        let joined = |cost: &Cost| {
            cost.traffic
                .get(&Work::FrontJoins)
                .map_or(0, |t| t.bytes_out) as f64
        };
        let spent = |cost: &Cost| {
            cost.processor
                .get(&Work::FrontJoins)
                .map_or(0.0, std::time::Duration::as_secs_f64)
        };
        let each = |sum: f64, many: usize| sum / many.max(1) as f64;
        let tables: Vec<&Cost> = world.fronts[..fronts]
            .iter()
            .filter(|f| f.table.is_some())
            .map(|f| &f.cost)
            .collect();
        // A read of the newest value comes back from the other nodes before the snapshot is confirmed.
        let node = |cost: &Cost| {
            spent(cost)
                + cost
                    .processor
                    .get(&Work::Configuration)
                    .map_or(0.0, std::time::Duration::as_secs_f64)
        };
        self.snapshot = Snapshot {
            fronts,
            bytes: each(world.nodes.iter().map(|n| joined(&n.cost)).sum(), fronts),
            node_ms: each(
                world.nodes.iter().map(|n| node(&n.cost)).sum::<f64>() * 1e3,
                fronts,
            ),
            front_ms: each(
                tables.iter().map(|cost| spent(cost)).sum::<f64>() * 1e3,
                tables.len(),
            ),
        };
        let peak = world
            .nodes
            .iter()
            .map(|n| n.cost.transient as f64)
            .fold(0.0, f64::max);
        for row in self
            .rows
            .iter_mut()
            .filter(|row| row.role == Role::BusiestControl)
        {
            row.transient_bytes = row.transient_bytes.max(peak);
        }
    }

    pub fn row(&self, role: Role) -> Option<&RoleRow> {
        self.rows
            .iter()
            .find(|row| row.role == role && row.work.is_none())
    }

    /// The measured traffic without anything that depends on the machine: the same for the same seed.
    pub fn traffic(&self) -> Vec<String> {
        let line = |row: &RoleRow| {
            let (messages, bytes) = (
                row.messages_in + row.messages_out,
                row.bytes_in + row.bytes_out,
            );
            format!(
                "{} {:?} {messages} {bytes} {}",
                row.role.name(),
                row.work,
                row.disk_bytes
            )
        };
        self.rows
            .iter()
            .filter(|row| row.role != Role::BusiestControl)
            .map(line)
            .collect()
    }

    pub fn table(&self) -> String {
        let mut text = String::new();
        let scale = &self.scale;
        let _ = writeln!(
            text,
            "fronts {}, replicas {}, control nodes {} ({} vote), {} s measured, seed {}, document {} bytes",
            scale.fronts,
            scale.replicas,
            scale.control,
            self.voters_at_end,
            scale.seconds,
            scale.seed,
            scale.document_bytes
        );
        let _ = writeln!(
            text,
            "{:<32}{:>9}{:>10}{:>10}{:>11}{:>11}{:>9}{:>9}{:>10}{:>9}",
            "one machine of a role, a second",
            "machines",
            "msgs in",
            "msgs out",
            "KB in",
            "KB out",
            "core %",
            "heap MB",
            "call MB",
            "disk KB"
        );
        for row in &self.rows {
            let name = match row.work {
                Some(work) => format!("  {} {work:?}", row.role.name()),
                None => row.role.name().to_owned(),
            };
            let _ = writeln!(
                text,
                "{name:<32}{:>9}{:>10.1}{:>10.1}{:>11.2}{:>11.2}{:>9.3}{:>9.2}{:>10.2}{:>9.2}",
                row.machines,
                row.messages_in,
                row.messages_out,
                row.bytes_in / 1e3,
                row.bytes_out / 1e3,
                row.processor_percent,
                row.heap_bytes / 1e6,
                row.transient_bytes / 1e6,
                row.disk_bytes / 1e3
            );
        }
        let _ = writeln!(
            text,
            "changes: {} acknowledged, {} ms last; in force at {} of {} fronts, 50% {} ms, 99% {} ms, last {} ms",
            self.acknowledged.count,
            self.acknowledged.last_ms,
            self.fronts_in_force,
            scale.fronts,
            self.in_force.median_ms,
            self.in_force.p99_ms,
            self.in_force.last_ms
        );
        let _ = writeln!(
            text,
            "storm of {} fronts: {:.0} KB a snapshot, {:.2} ms at the node, {:.2} ms at the front; tables {:?}",
            self.snapshot.fronts,
            self.snapshot.bytes / 1e3,
            self.snapshot.node_ms,
            self.snapshot.front_ms,
            self.table_sizes
        );
        text
    }

    pub fn csv(&self) -> String {
        let scale = &self.scale;
        let mut text = String::new();
        for row in &self.rows {
            let role = match row.work {
                Some(work) => format!("{}/{work:?}", row.role.name()),
                None => row.role.name().to_owned(),
            };
            let _ = writeln!(
                text,
                "{},{},{},{},{},{},{},{role},{},{:.3},{:.3},{:.1},{:.1},{:.5},{:.0},{:.0},{:.1},{},{},{},{},{:.0},{:.3},\
                 {:.3}",
                scale.fronts,
                scale.replicas,
                scale.control,
                scale.voters,
                scale.seconds,
                scale.seed,
                scale.document_bytes,
                row.machines,
                row.messages_in,
                row.messages_out,
                row.bytes_in,
                row.bytes_out,
                row.processor_percent,
                row.heap_bytes,
                row.transient_bytes,
                row.disk_bytes,
                self.acknowledged.last_ms,
                self.in_force.median_ms,
                self.in_force.p99_ms,
                self.in_force.last_ms,
                self.snapshot.bytes,
                self.snapshot.node_ms,
                self.snapshot.front_ms
            );
        }
        text
    }
}

/// Traffic of all fronts; processor time and heap of those that hold a table.
fn front_row(world: &World, work: Option<Work>, seconds: f64) -> RoleRow {
    let all: Vec<&Cost> = world.fronts.iter().map(|front| &front.cost).collect();
    let tables: Vec<&Cost> = world
        .fronts
        .iter()
        .filter(|f| f.table.is_some())
        .map(|f| &f.cost)
        .collect();
    let measured = row(Role::Front, work, &tables, tables.len(), seconds);
    RoleRow {
        processor_percent: measured.processor_percent,
        heap_bytes: measured.heap_bytes,
        ..row(Role::Front, work, &all, all.len(), seconds)
    }
}
