//! Measures a system: what its machines spend, role by role.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::cost::{Cost, Traffic, Work};
use crate::number::{float, float_of_length};
use crate::report::{Measurement, Role, RoleRow, Snapshot, Times};
use crate::scale::Scale;
use crate::world::{ControlMachine, MEASURED_FROM, World};

/// Builds a system, lets it come to rest, measures it, and ends with a storm of ingress nodes that have nothing.
pub fn measure(scale: &Scale) -> Measurement {
    let mut world = World::new(scale);
    world.start();
    world.run_until(MEASURED_FROM);
    world.reset_costs();
    world.schedule_load();
    world.run_until(MEASURED_FROM + Duration::from_secs(scale.seconds));
    let mut measurement = measurement_of(scale, &world);
    world.reset_costs();
    let joined = world.storm();
    measurement.snapshot = snapshot(&world, joined);
    add_transient(&mut measurement, &world);
    measurement
}

/// What was measured until now.
fn measurement_of(scale: &Scale, world: &World) -> Measurement {
    let newest = Measurement::newest_revision(scale);
    Measurement {
        scale: scale.clone(),
        rows: rows(scale, world),
        acknowledged: Times::from(&world.acknowledged),
        in_force: Times::from(&world.in_force),
        snapshot: Snapshot::default(),
        ingress_in_force: world
            .ingress
            .iter()
            .filter(|ingress| ingress.revision == newest)
            .count(),
        table_sizes: world
            .ingress
            .iter()
            .filter_map(|ingress| Some(ingress.table.as_ref()?.len()))
            .collect(),
        voters_at_end: world
            .control
            .iter()
            .filter_map(|machine| Some(machine.process.as_ref()?.voters()))
            .max()
            .unwrap_or(0),
    }
}

// --- rows ---

fn rows(scale: &Scale, world: &World) -> Vec<RoleRow> {
    let seconds = float(scale.seconds);
    let mut rows = vec![ingress_row(world, None, seconds)];
    let ingress: Vec<&Cost> = world.ingress.iter().map(|node| &node.cost).collect();
    let kinds = kinds(&ingress).into_iter();
    rows.extend(kinds.map(|work| ingress_row(world, Some(work), seconds)));
    let replicas = [&world.replica_cost];
    rows.push(row(Role::Replica, None, &replicas, scale.replicas, seconds));
    for role in [Role::Voter, Role::Learner] {
        rows.extend(control_rows(world, role, seconds));
    }
    let busiest = world
        .control
        .iter()
        .map(|machine| &machine.cost)
        .max_by_key(|cost| cost.total_processor());
    rows.extend(busiest.map(|cost| row(Role::BusiestControl, None, &[cost], 1, seconds)));
    rows
}

/// The rows of the voters or of the learners; none if there is no such node.
fn control_rows(world: &World, role: Role, seconds: f64) -> Vec<RoleRow> {
    let votes = role == Role::Voter;
    let costs: Vec<&Cost> = world
        .control
        .iter()
        .filter(|machine: &&ControlMachine| machine.may_vote == votes)
        .map(|machine| &machine.cost)
        .collect();
    if costs.is_empty() {
        return Vec::new();
    }
    let all = std::iter::once(None);
    all.chain(kinds(&costs).into_iter().map(Some))
        .map(|work| row(role, work, &costs, costs.len(), seconds))
        .collect()
}

/// Traffic of all ingress nodes; processor time and heap of those that have a table.
fn ingress_row(world: &World, work: Option<Work>, seconds: f64) -> RoleRow {
    let all: Vec<&Cost> = world.ingress.iter().map(|node| &node.cost).collect();
    let tables = costs_with_tables(world, world.ingress.len());
    let measured = row(Role::Ingress, work, &tables, tables.len(), seconds);
    RoleRow {
        processor_percent: measured.processor_percent,
        heap_bytes: measured.heap_bytes,
        ..row(Role::Ingress, work, &all, all.len(), seconds)
    }
}

/// Costs of those of the first ingress nodes that have a table.
fn costs_with_tables(world: &World, first: usize) -> Vec<&Cost> {
    world
        .ingress
        .iter()
        .take(first)
        .filter(|ingress| ingress.table.is_some())
        .map(|ingress| &ingress.cost)
        .collect()
}

/// The mean over machines, of one kind of work or of all.
fn row(role: Role, work: Option<Work>, costs: &[&Cost], machines: usize, seconds: f64) -> RoleRow {
    let machine_seconds = float_of_length(machines.max(1)) * seconds;
    let sum = |part: &dyn Fn(&Cost) -> f64| costs.iter().map(|cost| part(cost)).sum::<f64>();
    let traffic = |part: fn(&Traffic) -> u64| {
        sum(&|cost| float(part(&traffic_of(cost, work)))) / machine_seconds
    };
    let heap = sum(&|cost| cost.heap as f64) / float_of_length(costs.len().max(1));
    let transient = costs.iter().map(|cost| cost.transient as f64);
    // Not measured by kind of work.
    let of_all_work = |value: f64| if work.is_none() { value } else { 0.0 };
    RoleRow {
        role,
        work,
        machines,
        messages_in: traffic(|traffic| traffic.messages_in),
        messages_out: traffic(|traffic| traffic.messages_out),
        bytes_in: traffic(|traffic| traffic.bytes_in),
        bytes_out: traffic(|traffic| traffic.bytes_out),
        processor_percent: sum(&|cost| processor_of(cost, work).as_secs_f64()) / machine_seconds
            * 100.0,
        heap_bytes: of_all_work(heap),
        transient_bytes: of_all_work(transient.fold(0.0, f64::max)),
        disk_bytes: of_all_work(sum(&|cost| float(cost.disk_bytes)) / machine_seconds),
    }
}

fn traffic_of(cost: &Cost, work: Option<Work>) -> Traffic {
    match work {
        Some(work) => cost.traffic.get(&work).copied().unwrap_or_default(),
        None => cost.total_traffic(),
    }
}

fn processor_of(cost: &Cost, work: Option<Work>) -> Duration {
    match work {
        Some(work) => cost.processor.get(&work).copied().unwrap_or_default(),
        None => cost.total_processor(),
    }
}

/// The kinds of work that there are in any of these.
fn kinds(costs: &[&Cost]) -> BTreeSet<Work> {
    costs
        .iter()
        .flat_map(|cost| cost.traffic.keys().chain(cost.processor.keys()))
        .copied()
        .collect()
}

// --- the storm ---

/// What one snapshot cost, after a storm of so many ingress nodes.
fn snapshot(world: &World, joined: usize) -> Snapshot {
    let joins = Some(Work::IngressJoins);
    let mean = |sum: f64, number: usize| sum / float_of_length(number.max(1));
    let seconds = |cost: &Cost, work| processor_of(cost, work).as_secs_f64();
    let bytes: f64 = world
        .control
        .iter()
        .map(|machine| float(traffic_of(&machine.cost, joins).bytes_out))
        .sum();
    // A read of the newest value comes back from the other nodes before the snapshot is confirmed.
    let control: f64 = world
        .control
        .iter()
        .map(|machine| {
            seconds(&machine.cost, joins) + seconds(&machine.cost, Some(Work::Configuration))
        })
        .sum();
    let tables = costs_with_tables(world, joined);
    let ingress: f64 = tables.iter().map(|cost| seconds(cost, joins)).sum();
    Snapshot {
        ingress_nodes: joined,
        bytes: mean(bytes, joined),
        control_ms: mean(control * 1e3, joined),
        ingress_ms: mean(ingress * 1e3, tables.len()),
    }
}

/// The busiest control node's row shows the most that a call allocated in the storm, too.
fn add_transient(measurement: &mut Measurement, world: &World) {
    let peak = world
        .control
        .iter()
        .map(|machine| machine.cost.transient as f64)
        .fold(0.0, f64::max);
    for row in &mut measurement.rows {
        if row.role == Role::BusiestControl {
            row.transient_bytes = row.transient_bytes.max(peak);
        }
    }
}
