//! The inputs of one step.

use super::{
    AttemptResult, MembershipUpdate, NewQuery, NewSubRequest, ProbeResult, QueryIndex,
    SubRequestIndex, TenthMillis, ZoneRoute,
};

/// A sub-request that has succeeded and is wanted once more, since its response brought less than its query needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Continuation {
    /// The query it belongs to.
    pub query: QueryIndex,
    /// The sub-request, by its number within the query.
    pub sub_request: SubRequestIndex,
}

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
    /// Sub-requests that are wanted once more. The module decides whether that is possible; the response at hand
    /// remains valid.
    pub continuations: Vec<Continuation>,
    /// Probes that ended.
    pub probes: Vec<ProbeResult>,
    /// Queries whose client has left: it is not waiting for the response any more.
    pub cancelled: Vec<QueryIndex>,
}
