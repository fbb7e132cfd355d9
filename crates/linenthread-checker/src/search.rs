use std::collections::HashMap;
use std::collections::hash_map::Entry;

use crate::instance::Instance;
use crate::invariants;
use crate::step::{Action, Described, actions, apply};
use crate::world::World;

/// States that are expanded at once, and by how many threads.
const BATCH: usize = 8_192;
const THREADS: usize = 3;

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

/// Explores every interleaving, shortest first, until all is explored or an invariant is broken.
pub fn explore(instance: &Instance) -> Report {
    let start = World::new(instance);
    let mut seen: Seen = HashMap::from([(start.fingerprint(), None)]);
    let mut report = Report { states: 1, ..Report::default() };
    let mut frontier = vec![start];
    while !frontier.is_empty() && report.breaches.is_empty() && report.states < instance.most_states {
        frontier = next_depth(&frontier, instance, &mut seen, &mut report);
        report.depth += usize::from(!frontier.is_empty());
    }
    report.complete = frontier.is_empty() && report.breaches.is_empty();
    report
}

/// A state that was not seen at an earlier depth.
struct Successor {
    world: World,
    fingerprint: u128,
    from: u128,
    action: Action,
}

fn next_depth(frontier: &[World], instance: &Instance, seen: &mut Seen, report: &mut Report) -> Vec<World> {
    let mut next = Vec::new();
    for batch in frontier.chunks(BATCH) {
        for successor in successors(batch, instance, seen, report) {
            let Entry::Vacant(entry) = seen.entry(successor.fingerprint) else { continue };
            entry.insert(Some((successor.from, successor.action)));
            report.states += 1;
            note(&successor.world, report);
            for invariant in invariants::broken(&successor.world) {
                let trace = trace(successor.fingerprint, instance, seen);
                report.breaches.push(Breach { invariant, states: report.states, trace });
            }
            if !report.breaches.is_empty() {
                return Vec::new();
            }
            next.push(successor.world);
        }
    }
    next
}

/// Computed by a few threads; in the order of the batch, so that each run finds the same.
fn successors(batch: &[World], instance: &Instance, seen: &Seen, report: &mut Report) -> Vec<Successor> {
    let share = batch.len().div_ceil(THREADS).max(1);
    let results: Vec<(Vec<Successor>, usize)> = std::thread::scope(|scope| {
        let of = |part| scope.spawn(move || expand(part, instance, seen));
        let threads: Vec<_> = batch.chunks(share).map(of).collect();
        threads.into_iter().map(|thread| thread.join().expect("a thread of the search panicked")).collect()
    });
    report.transitions += results.iter().map(|(_, transitions)| transitions).sum::<usize>();
    results.into_iter().flat_map(|(successors, _)| successors).collect()
}

fn expand(worlds: &[World], instance: &Instance, seen: &Seen) -> (Vec<Successor>, usize) {
    let (mut successors, mut transitions) = (Vec::new(), 0);
    for before in worlds {
        let from = before.fingerprint();
        for action in actions(before, instance) {
            transitions += 1;
            let world = apply(before, instance, action);
            let fingerprint = world.fingerprint();
            if !seen.contains_key(&fingerprint) {
                successors.push(Successor { world, fingerprint, from, action });
            }
        }
    }
    (successors, transitions)
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
