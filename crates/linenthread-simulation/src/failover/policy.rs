//! The failover policies that are compared.

use std::fmt;

/// How routes between zones are determined.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Policy {
    /// No routes between zones: each coordinator selects replicas by its own measurements only.
    SelectionAlone,
    /// A fixed preference for the local zone.
    FixedPreference,
    /// Each coordinator runs its own controller on its own observations.
    EachAlone,
    /// One controller decides for all coordinators, on the observations of all.
    Common,
    /// Routes are computed from the true state of zones and replicas.
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

/// Formats the heading of the policy's column.
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
