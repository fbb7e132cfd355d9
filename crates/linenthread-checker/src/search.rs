use std::collections::HashMap;
use std::collections::hash_map::Entry;

use crate::instance::Instance;
use crate::invariants;
use crate::step::{Action, Described, actions, apply};
use crate::world::World;

/// The search ends at the first depth where so many breaches were found.
const MOST_BREACHES: usize = 1;

/// A state that breaks an invariant, and a shortest way to it.
#[derive(Debug)]
pub struct Breach {
    pub invariant: &'static str,
    pub states: usize,
    pub trace: Vec<String>,
}

/// What was found.
#[derive(Debug, Default)]
pub struct Report {
    pub states: usize,
    pub transitions: usize,
    pub depth: usize,
    /// Nothing is left to explore.
    pub complete: bool,
    /// States in which an order was acknowledged, one was refused, other disks count, a read was answered: an instance
    /// in which one of them never comes about says little.
    pub acknowledged: usize,
    pub refused: usize,
    pub replaced: usize,
    pub read: usize,
    pub breaches: Vec<Breach>,
}

type Seen = HashMap<u128, Option<(u128, Action)>>;

/// Explores every interleaving, shortest first.
pub fn explore(instance: &Instance) -> Report {
    let start = World::new(instance);
    let mut seen: Seen = HashMap::from([(start.fingerprint(), None)]);
    let mut report = Report { states: 1, ..Report::default() };
    let mut frontier = vec![start];
    while !frontier.is_empty() && report.breaches.is_empty() && report.states < instance.most_states {
        frontier = next_depth(frontier, instance, &mut seen, &mut report);
        report.depth += usize::from(!frontier.is_empty());
    }
    report.complete = frontier.is_empty() && report.breaches.is_empty();
    report
}

fn next_depth(frontier: Vec<World>, instance: &Instance, seen: &mut Seen, report: &mut Report) -> Vec<World> {
    let mut next = Vec::new();
    for world in frontier {
        let from = world.fingerprint();
        for action in actions(&world, instance) {
            report.transitions += 1;
            let after = apply(&world, instance, action);
            let Entry::Vacant(entry) = seen.entry(after.fingerprint()) else { continue };
            entry.insert(Some((from, action)));
            report.states += 1;
            note(&after, report);
            for invariant in invariants::broken(&after) {
                let trace = trace(after.fingerprint(), instance, seen);
                report.breaches.push(Breach { invariant, states: report.states, trace });
            }
            if report.breaches.len() >= MOST_BREACHES {
                return next;
            }
            next.push(after);
        }
    }
    next
}

fn note(world: &World, report: &mut Report) {
    let history = &world.history.inner;
    report.acknowledged += usize::from(!history.acknowledged.is_empty());
    report.refused += usize::from(!history.refused.is_empty());
    report.replaced += usize::from(history.decided.values().any(|value| value.epoch > 0));
    report.read += usize::from(history.reads > 0);
}

/// The way to a state, by the actions that led there first.
fn trace(to: u128, instance: &Instance, seen: &Seen) -> Vec<String> {
    let (mut at, mut path) = (to, Vec::new());
    while let Some(Some((before, action))) = seen.get(&at) {
        path.push(*action);
        at = *before;
    }
    let (mut world, mut lines) = (World::new(instance), Vec::new());
    for action in path.into_iter().rev() {
        lines.push(Described(&world, instance, action).to_string());
        world = apply(&world, instance, action);
    }
    lines
}
