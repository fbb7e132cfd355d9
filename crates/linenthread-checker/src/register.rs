//! The model of the register: [`Scenario`].
//!
//! | module | job |
//! | --- | --- |
//! | `scenario` | the calls, and the limits on other events |
//! | `state` | the state of all nodes, their disks and the network |
//! | `history` | past events that the invariants refer to |
//! | `action` | the actions, and which of them are enabled in a state |
//! | `transition` | applies actions to states |
//! | `obsolete` | discards messages that can no longer have an effect |
//! | `invariants` | the invariants of each state |

mod action;
mod history;
mod invariants;
mod obsolete;
mod scenario;
mod state;
mod transition;

use crate::fingerprint::Fingerprint;
use crate::model::Model;

pub use action::Action;
pub use scenario::{Call, EventBudget, ParseCallError, Scenario, ScheduledCall};
pub use state::SystemState;

impl Model for Scenario {
    type State = SystemState;
    type Action = Action;

    fn initial_state(&self) -> SystemState {
        SystemState::new(self)
    }

    fn fingerprint(&self, state: &SystemState) -> Fingerprint {
        Fingerprint::of(state)
    }

    fn enabled_actions(&self, state: &SystemState) -> Vec<Action> {
        action::enabled_actions(state, self)
    }

    fn apply(&self, state: &SystemState, action: Action) -> SystemState {
        transition::apply(state, self, action)
    }

    fn violated_invariants(&self, state: &SystemState) -> Vec<&'static str> {
        invariants::violated_invariants(state).collect()
    }

    fn situations(&self, state: &SystemState) -> Vec<&'static str> {
        let history = state.history();
        let all = [
            ("acknowledged", !history.acknowledged().is_empty()),
            ("rejected", !history.rejected().is_empty()),
            ("voter replaced", history.has_voter_change()),
            ("read", history.completed_reads() > 0),
        ];
        all.into_iter()
            .filter(|(_, is_met)| *is_met)
            .map(|(name, _)| name)
            .collect()
    }

    fn describe(&self, state: &SystemState, action: Action) -> String {
        action::describe(state, self, action)
    }
}
