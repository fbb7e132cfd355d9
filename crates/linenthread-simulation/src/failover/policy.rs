//! The policies that are compared.

use std::fmt;

/// How routes between zones are decided.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Policy {
    /// Not at all: each coordinator selects replicas by its own measurements alone.
    SelectionAlone,
    /// A fixed preference for the local zone.
    FixedPreference,
    /// Each coordinator runs a controller on its own observations.
    EachAlone,
    /// One controller for all, on the observations of all.
    Common,
    /// One that knows the true state.
    TrueState,
}

impl Policy {
    pub(super) const ALL: [Policy; 5] = [
        Policy::SelectionAlone,
        Policy::FixedPreference,
        Policy::EachAlone,
        Policy::Common,
        Policy::TrueState,
    ];
}

/// The heading of a policy's column.
impl fmt::Display for Policy {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.pad(match self {
            Policy::SelectionAlone => "selection alone",
            Policy::FixedPreference => "local, fixed",
            Policy::EachAlone => "each alone",
            Policy::Common => "in common",
            Policy::TrueState => "true state",
        })
    }
}
