//! What can be explored.

use std::fmt;

use crate::fingerprint::Fingerprint;

/// A bounded model: an initial state, and the actions that lead from one state to the next.
///
/// Its `Display` form is one line that says which model it is.
pub trait Model: fmt::Display + Sync {
    /// One state of everything that the model contains.
    type State: Send + Sync;
    /// One thing that may happen next. Small, since the search keeps one for each state that it has visited.
    type Action: Copy + Send + Sync;

    /// The state in which each run begins.
    fn initial_state(&self) -> Self::State;

    /// What stands for a state in the set of the visited ones.
    fn fingerprint(&self, state: &Self::State) -> Fingerprint;

    /// All actions that are enabled in a state, in a fixed order.
    fn enabled_actions(&self, state: &Self::State) -> Vec<Self::Action>;

    /// The state after an enabled action.
    fn apply(&self, state: &Self::State, action: Self::Action) -> Self::State;

    /// The names of the invariants that a state violates.
    fn violated_invariants(&self, state: &Self::State) -> Vec<&'static str>;

    /// The names of the interesting situations that a state is in. A search that reaches none of them checks little.
    fn situations(&self, state: &Self::State) -> Vec<&'static str>;

    /// An action as a line of a trace.
    fn describe(&self, state: &Self::State, action: Self::Action) -> String;
}
