//! The inputs of one step.

use super::{
    AttemptResult, MembershipUpdate, NewQuery, NewSubRequest, ProbeResult, TenthMillis, ZoneRoute,
};

/// All that arrived for one co-ordinator since its last step.
#[derive(Clone, Debug, Default)]
pub struct Inputs {
    /// The time of this step.
    pub now: TenthMillis,
    /// Updates from service discovery, in the order they came.
    pub membership: Vec<MembershipUpdate>,
    /// A new table of routes by zone, empty where there is none any more. A zone that it lacks is farthest.
    pub zone_routes: Option<Vec<ZoneRoute>>,
    /// Queries that arrived.
    pub queries: Vec<NewQuery>,
    /// Sub-requests that arrived, of these queries or of the fetch phase of earlier ones.
    pub sub_requests: Vec<NewSubRequest>,
    /// Attempts that ended.
    pub results: Vec<AttemptResult>,
    /// Queries and their sub-requests that have succeeded and are wanted once more, since their response
    /// brought less than the query needs. The module decides whether that is possible; the response at hand
    /// remains valid.
    pub continuations: Vec<(usize, usize)>,
    /// Probes that ended.
    pub probes: Vec<ProbeResult>,
    /// Queries whose client has left.
    pub abandoned: Vec<usize>,
}
