//! Breadth-first search over the states of a model.

use std::collections::hash_map::Entry;
use std::collections::{BTreeMap, HashMap};

use crate::fingerprint::Fingerprint;
use crate::model::Model;

/// States that are expanded together. It bounds how many successors wait in memory to be compared with the visited
/// states.
const BATCH_SIZE: usize = 8_192;

/// Threads that expand a batch.
const THREADS: usize = 3;

/// A state that violates an invariant, and a shortest path to it.
#[derive(Debug)]
pub struct Violation {
    /// The invariant's name.
    pub invariant: &'static str,
    /// Number of states that were visited until then.
    pub states: usize,
    /// The actions that lead to the state, one a line.
    pub trace: Vec<String>,
}

/// The result of a search.
#[derive(Debug, Default)]
pub struct Report {
    /// Number of different states that were visited.
    pub states: usize,
    /// Number of actions that were applied.
    pub transitions: usize,
    /// Length of the longest of the shortest paths to the visited states.
    pub depth: usize,
    /// Whether all reachable states were visited.
    pub complete: bool,
    /// In how many states each situation was met.
    pub situations: BTreeMap<&'static str, usize>,
    /// The violations of the first state that has any; the search ends there.
    pub violations: Vec<Violation>,
}

impl Report {
    /// In how many states a situation was met.
    pub fn reached(&self, situation: &str) -> usize {
        self.situations.get(situation).copied().unwrap_or(0)
    }
}

/// Explores every interleaving, shortest paths first, until all reachable states are visited, an invariant is violated,
/// or at least `max_states` were visited.
pub fn explore<M: Model>(model: &M, max_states: usize) -> Report {
    let initial = model.initial_state();
    let mut search = Search {
        model,
        visited: HashMap::new(),
        report: Report {
            states: 1,
            ..Report::default()
        },
    };
    search.visited.insert(model.fingerprint(&initial), None);
    let mut frontier = vec![initial];
    while !frontier.is_empty()
        && search.report.violations.is_empty()
        && search.report.states < max_states
    {
        frontier = search.next_frontier(&frontier);
        search.report.depth += usize::from(!frontier.is_empty());
    }
    search.report.complete = frontier.is_empty() && search.report.violations.is_empty();
    search.report
}

/// The visited states, each with its predecessor and the action that led from there; none for the initial state.
type Visited<A> = HashMap<Fingerprint, Option<(Fingerprint, A)>>;

struct Search<'a, M: Model> {
    model: &'a M,
    visited: Visited<M::Action>,
    report: Report,
}

/// A state that was not visited at a lower depth.
struct Successor<M: Model> {
    state: M::State,
    fingerprint: Fingerprint,
    predecessor: Fingerprint,
    action: M::Action,
}

/// What the expansion of some states led to.
struct Expansion<M: Model> {
    successors: Vec<Successor<M>>,
    transitions: usize,
}

impl<M: Model> Search<'_, M> {
    /// The states one action further; none if one of them violates an invariant.
    fn next_frontier(&mut self, frontier: &[M::State]) -> Vec<M::State> {
        let mut next = Vec::new();
        for batch in frontier.chunks(BATCH_SIZE) {
            for successor in self.successors(batch) {
                next.extend(self.visit(successor));
                if !self.report.violations.is_empty() {
                    return Vec::new();
                }
            }
        }
        next
    }

    /// Computed by several threads, and returned in the order of the batch, so that each run finds the same.
    fn successors(&mut self, batch: &[M::State]) -> Vec<Successor<M>> {
        let states_per_thread = batch.len().div_ceil(THREADS).max(1);
        let (model, visited) = (self.model, &self.visited);
        let expansions: Vec<Expansion<M>> = std::thread::scope(|scope| {
            let threads: Vec<_> = batch
                .chunks(states_per_thread)
                .map(|states| scope.spawn(move || expand(model, states, visited)))
                .collect();
            threads
                .into_iter()
                .map(|thread| thread.join().expect("a thread of the search panicked"))
                .collect()
        });
        self.report.transitions += expansions
            .iter()
            .map(|expansion| expansion.transitions)
            .sum::<usize>();
        expansions
            .into_iter()
            .flat_map(|expansion| expansion.successors)
            .collect()
    }

    /// Checks a state, and returns it if it was not visited before.
    fn visit(&mut self, successor: Successor<M>) -> Option<M::State> {
        let Entry::Vacant(entry) = self.visited.entry(successor.fingerprint) else {
            return None;
        };
        entry.insert(Some((successor.predecessor, successor.action)));
        self.report.states += 1;
        for situation in self.model.situations(&successor.state) {
            *self.report.situations.entry(situation).or_default() += 1;
        }
        for invariant in self.model.violated_invariants(&successor.state) {
            let trace = self.trace(successor.fingerprint);
            self.report.violations.push(Violation {
                invariant,
                states: self.report.states,
                trace,
            });
        }
        Some(successor.state)
    }

    /// The actions on the path by which a state was first reached.
    fn trace(&self, to: Fingerprint) -> Vec<String> {
        let (mut current, mut path) = (to, Vec::new());
        while let Some(Some((predecessor, action))) = self.visited.get(&current) {
            path.push(*action);
            current = *predecessor;
        }
        let (mut state, mut lines) = (self.model.initial_state(), Vec::new());
        for action in path.into_iter().rev() {
            lines.push(self.model.describe(&state, action));
            state = self.model.apply(&state, action);
        }
        lines
    }
}

fn expand<M: Model>(model: &M, states: &[M::State], visited: &Visited<M::Action>) -> Expansion<M> {
    let mut expansion = Expansion {
        successors: Vec::new(),
        transitions: 0,
    };
    for state in states {
        let predecessor = model.fingerprint(state);
        for action in model.enabled_actions(state) {
            expansion.transitions += 1;
            let next = model.apply(state, action);
            let fingerprint = model.fingerprint(&next);
            if !visited.contains_key(&fingerprint) {
                expansion.successors.push(Successor {
                    state: next,
                    fingerprint,
                    predecessor,
                    action,
                });
            }
        }
    }
    expansion
}
