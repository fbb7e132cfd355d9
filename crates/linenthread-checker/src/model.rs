//! The trait of models that [`explore`](crate::explore) can search.

use std::fmt;

use crate::fingerprint::Fingerprint;

/// A bounded model: an initial state and the actions that lead from one state to the next.
///
/// Its `Display` form is a single line that identifies the model.
pub trait Model: fmt::Display + Sync {
    /// A state of the complete model.
    type State: Send + Sync;
    /// A transition from one state to the next. It should be small, because the search stores one per visited state.
    type Action: Copy + Send + Sync;

    /// Returns the state in which every execution starts.
    fn initial_state(&self) -> Self::State;

    /// Returns the fingerprint that represents a state in the set of visited states.
    fn fingerprint(&self, state: &Self::State) -> Fingerprint;

    /// Returns all actions that are enabled in a state, in a fixed order.
    fn enabled_actions(&self, state: &Self::State) -> Vec<Self::Action>;

    /// Returns the state after an enabled action.
    fn apply(&self, state: &Self::State, action: Self::Action) -> Self::State;

    /// Returns the names of the invariants that a state violates.
    fn violated_invariants(&self, state: &Self::State) -> Vec<&'static str>;

    /// Returns the names of the situations of interest that hold in a state. They show coverage: a search that reaches
    /// none of them checks little.
    fn situations(&self, state: &Self::State) -> Vec<&'static str>;

    /// Formats an action that is enabled in a state as a line of a trace.
    fn describe(&self, state: &Self::State, action: Self::Action) -> String;
}
