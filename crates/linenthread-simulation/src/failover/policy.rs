//! The failover policies that are compared.

use std::fmt;

/// How routes between zones are determined.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Policy {
    /// No routes between zones: each coordinator selects replicas by its own measurements only.
    SelectionOnly,
    /// A fixed preference for the local zone.
    LocalPreference,
    /// Each coordinator runs its own controller on its own observations.
    Independent,
    /// One controller decides for all coordinators, on the observations of all.
    Shared,
    /// Routes are computed from the true state of zones and replicas.
    TrueState,
}

impl Policy {
    pub(super) const ALL: [Policy; 5] = [
        Policy::SelectionOnly,
        Policy::LocalPreference,
        Policy::Independent,
        Policy::Shared,
        Policy::TrueState,
    ];
}

/// Formats the heading of the policy's column.
impl fmt::Display for Policy {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.pad(match self {
            Policy::SelectionOnly => "selection alone",
            Policy::LocalPreference => "local, fixed",
            Policy::Independent => "each alone",
            Policy::Shared => "in common",
            Policy::TrueState => "true state",
        })
    }
}
