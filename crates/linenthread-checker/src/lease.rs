//! The model of the leader lease: [`LeaseScenario`].
//!
//! `action` defines the actions; `state` defines the nodes, their disks and the network, and how an action changes
//! them.

mod action;
mod state;

use std::fmt;

use crate::fingerprint::Fingerprint;
use crate::model::Model;

pub use action::LeaseAction;
pub use state::LeaseState;

/// A bounded scenario of three voters, two of which may request the lease at any time. Each field limits how often one
/// kind of event occurs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseScenario {
    /// Steps by which all clocks advance together.
    pub steps: u8,
    /// Requests for the lease or its renewal.
    pub requests: u8,
    /// Restarts of a node.
    pub crashes: u8,
    /// Releases of the lease.
    pub releases: u8,
}

impl LeaseScenario {
    /// Returns the scenarios that are explored by default. Each of them is small enough to be explored completely.
    pub fn suite() -> Vec<LeaseScenario> {
        vec![
            LeaseScenario {
                steps: 3,
                requests: 3,
                crashes: 0,
                releases: 0,
            },
            LeaseScenario {
                steps: 1,
                requests: 2,
                crashes: 1,
                releases: 1,
            },
            LeaseScenario {
                steps: 1,
                requests: 3,
                crashes: 0,
                releases: 1,
            },
        ]
    }
}

impl Model for LeaseScenario {
    type State = LeaseState;
    type Action = LeaseAction;

    fn initial_state(&self) -> LeaseState {
        LeaseState::new(*self)
    }

    fn fingerprint(&self, state: &LeaseState) -> Fingerprint {
        Fingerprint::of(state)
    }

    fn enabled_actions(&self, state: &LeaseState) -> Vec<LeaseAction> {
        state.enabled_actions()
    }

    fn apply(&self, state: &LeaseState, action: LeaseAction) -> LeaseState {
        let mut next = state.clone();
        next.apply(action);
        next
    }

    fn violated_invariants(&self, state: &LeaseState) -> Vec<&'static str> {
        let all = [
            (
                "one-lease-holder-at-a-time",
                state.current_holders().count() > 1,
            ),
            (
                "one-lease-holder-per-epoch",
                state.has_epoch_with_two_holders(),
            ),
        ];
        names_of(all)
    }

    fn situations(&self, state: &LeaseState) -> Vec<&'static str> {
        let is_held = state.current_holders().next().is_some();
        let all = [
            ("held", is_held),
            ("held by two in turn", state.held_epochs() > 1),
            ("held after a release", is_held && state.was_released()),
            ("held after a restart", is_held && state.has_restarted()),
        ];
        names_of(all)
    }

    fn describe(&self, state: &LeaseState, action: LeaseAction) -> String {
        state.describe(action)
    }
}

fn names_of<const N: usize>(conditions: [(&'static str, bool); N]) -> Vec<&'static str> {
    conditions
        .into_iter()
        .filter(|(_, is_met)| *is_met)
        .map(|(name, _)| name)
        .collect()
}

impl fmt::Display for LeaseScenario {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let LeaseScenario {
            steps,
            requests,
            crashes,
            releases,
        } = self;
        write!(
            formatter,
            "lease: steps {steps}, requests {requests}, crashes {crashes}, releases {releases}"
        )
    }
}
