use std::collections::hash_map::Entry;
use std::collections::{BTreeMap, HashMap};

/// States that are expanded at once, and by how many threads.
const BATCH: usize = 8_192;
const THREADS: usize = 3;

/// Something whose states can be explored.
pub trait Model: Sync {
    type State: Send + Sync;
    type Action: Copy + Send + Sync;

    /// Where it begins.
    fn start(&self) -> Self::State;

    /// 128 bits that stand for a state.
    fn fingerprint(&self, state: &Self::State) -> u128;

    /// All that may happen in a state.
    fn actions(&self, state: &Self::State) -> Vec<Self::Action>;

    /// The state after an action.
    fn apply(&self, state: &Self::State, action: Self::Action) -> Self::State;

    /// The names of the invariants that a state breaks.
    fn broken(&self, state: &Self::State) -> Vec<&'static str>;

    /// What has come about in a state, of what the instance is about: where nothing does, it says little.
    fn landmarks(&self, state: &Self::State) -> Vec<&'static str>;

    /// An action as a line of a trace.
    fn describe(&self, state: &Self::State, action: Self::Action) -> String;
}

/// A state that breaks an invariant, and a shortest way to it.
#[derive(Debug)]
pub struct Breach {
    pub invariant: &'static str,
    /// How many states were seen before.
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
    /// In how many states what has come about.
    pub landmarks: BTreeMap<&'static str, usize>,
    pub breaches: Vec<Breach>,
}

impl Report {
    /// In how many states this has come about.
    pub fn reached(&self, landmark: &str) -> usize {
        self.landmarks.get(landmark).copied().unwrap_or(0)
    }
}

/// Explores every interleaving, shortest first, until all is explored, an invariant is broken, or so many states were
/// seen.
pub fn explore<M: Model>(model: &M, most_states: usize) -> Report {
    let start = model.start();
    let mut search = Search {
        model,
        seen: HashMap::new(),
        report: Report {
            states: 1,
            ..Report::default()
        },
    };
    search.seen.insert(model.fingerprint(&start), None);
    let mut frontier = vec![start];
    while !frontier.is_empty()
        && search.report.breaches.is_empty()
        && search.report.states < most_states
    {
        frontier = search.next_depth(&frontier);
        search.report.depth += usize::from(!frontier.is_empty());
    }
    search.report.complete = frontier.is_empty() && search.report.breaches.is_empty();
    search.report
}

/// Each state that was seen, with the state before it and the action that led from there.
type Seen<A> = HashMap<u128, Option<(u128, A)>>;

struct Search<'a, M: Model> {
    model: &'a M,
    seen: Seen<M::Action>,
    report: Report,
}

/// A state that was not seen at an earlier depth.
struct Successor<M: Model> {
    state: M::State,
    fingerprint: u128,
    from: u128,
    action: M::Action,
}

impl<M: Model> Search<'_, M> {
    fn next_depth(&mut self, frontier: &[M::State]) -> Vec<M::State> {
        let mut next = Vec::new();
        for batch in frontier.chunks(BATCH) {
            for successor in self.successors(batch) {
                next.extend(self.take(successor));
                if !self.report.breaches.is_empty() {
                    return Vec::new();
                }
            }
        }
        next
    }

    /// Computed by a few threads; in the order of the batch, so that each run finds the same.
    fn successors(&mut self, batch: &[M::State]) -> Vec<Successor<M>> {
        let share = batch.len().div_ceil(THREADS).max(1);
        let (model, seen) = (self.model, &self.seen);
        let results: Vec<(Vec<Successor<M>>, usize)> = std::thread::scope(|scope| {
            let of = |part| scope.spawn(move || expand(model, part, seen));
            let threads: Vec<_> = batch.chunks(share).map(of).collect();
            threads
                .into_iter()
                .map(|thread| thread.join().expect("a thread of the search panicked"))
                .collect()
        });
        self.report.transitions += results
            .iter()
            .map(|(_, transitions)| transitions)
            .sum::<usize>();
        results
            .into_iter()
            .flat_map(|(successors, _)| successors)
            .collect()
    }

    /// Judges a state, if it is new.
    fn take(&mut self, successor: Successor<M>) -> Option<M::State> {
        let Entry::Vacant(entry) = self.seen.entry(successor.fingerprint) else {
            return None;
        };
        entry.insert(Some((successor.from, successor.action)));
        self.report.states += 1;
        for landmark in self.model.landmarks(&successor.state) {
            *self.report.landmarks.entry(landmark).or_default() += 1;
        }
        for invariant in self.model.broken(&successor.state) {
            let trace = self.trace(successor.fingerprint);
            self.report.breaches.push(Breach {
                invariant,
                states: self.report.states,
                trace,
            });
        }
        Some(successor.state)
    }

    /// The way to a state, by the actions that led there first.
    fn trace(&self, to: u128) -> Vec<String> {
        let (mut at, mut path) = (to, Vec::new());
        while let Some(Some((before, action))) = self.seen.get(&at) {
            path.push(*action);
            at = *before;
        }
        let (mut state, mut lines) = (self.model.start(), Vec::new());
        for action in path.into_iter().rev() {
            lines.push(self.model.describe(&state, action));
            state = self.model.apply(&state, action);
        }
        lines
    }
}

fn expand<M: Model>(
    model: &M,
    states: &[M::State],
    seen: &Seen<M::Action>,
) -> (Vec<Successor<M>>, usize) {
    let (mut successors, mut transitions) = (Vec::new(), 0);
    for before in states {
        let from = model.fingerprint(before);
        for action in model.actions(before) {
            transitions += 1;
            let state = model.apply(before, action);
            let fingerprint = model.fingerprint(&state);
            if !seen.contains_key(&fingerprint) {
                successors.push(Successor {
                    state,
                    fingerprint,
                    from,
                    action,
                });
            }
        }
    }
    (successors, transitions)
}
