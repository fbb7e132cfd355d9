//! Breadth-first search over the states of a model.

use std::collections::hash_map::Entry;
use std::collections::{BTreeMap, HashMap};

use crate::fingerprint::Fingerprint;
use crate::model::Model;

/// Number of states that are expanded together. It limits the number of successors that are held in memory before they
/// are compared with the visited states.
const BATCH_SIZE: usize = 8_192;

/// Number of threads that expand a batch.
const THREADS: usize = 3;

/// An invariant violation, with a shortest path to the state that violates the invariant.
#[derive(Debug)]
pub struct Violation {
    /// Name of the invariant.
    pub invariant: &'static str,
    /// Number of states visited when the violation was found.
    pub states: usize,
    /// The actions that lead to the state, one per line.
    pub trace: Vec<String>,
}

/// The result of a search.
#[derive(Debug, Default)]
pub struct Report {
    /// Number of distinct states visited.
    pub states: usize,
    /// Number of actions applied.
    pub transitions: usize,
    /// Greatest distance of a visited state from the initial state, in actions.
    pub depth: usize,
    /// Whether all reachable states were visited.
    pub complete: bool,
    /// Number of states in which each situation held.
    pub situations: BTreeMap<&'static str, usize>,
    /// The violations in the first state that violates an invariant, where the search stops.
    pub violations: Vec<Violation>,
}

impl Report {
    /// Returns the number of states in which a situation held.
    pub fn reached(&self, situation: &str) -> usize {
        self.situations.get(situation).copied().unwrap_or(0)
    }
}

/// Explores every interleaving, breadth first, until all reachable states are visited, an invariant is violated, or at
/// least `max_states` states are visited.
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

/// The visited states, each with its predecessor and the action that led to it; `None` for the initial state.
type Visited<A> = HashMap<Fingerprint, Option<(Fingerprint, A)>>;

struct Search<'a, M: Model> {
    model: &'a M,
    visited: Visited<M::Action>,
    report: Report,
}

/// A successor state that was not yet visited when its batch was expanded.
struct Successor<M: Model> {
    state: M::State,
    fingerprint: Fingerprint,
    predecessor: Fingerprint,
    action: M::Action,
}

/// The result of expanding some states.
struct Expansion<M: Model> {
    successors: Vec<Successor<M>>,
    transitions: usize,
}

impl<M: Model> Search<'_, M> {
    /// Returns the new states that are one action away from the frontier; empty if one of them violates an invariant.
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

    /// Expands a batch on several threads. The successors are returned in the order of the batch, so that the search is
    /// deterministic.
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
                .map(|thread| thread.join().expect("a search thread panicked"))
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

    /// Marks a state as visited and checks its invariants. Returns `None` if it was visited before.
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

    /// Returns the actions on the path by which a state was first reached, formatted as lines.
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
