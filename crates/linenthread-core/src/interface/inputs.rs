//! The inputs of one step.

use super::{
    AttemptResult, MembershipUpdate, NewQuery, NewSubRequest, ProbeResult, QueryIndex,
    SubRequestIndex, TenthMillis, ZoneRoute,
};

/// A request to repeat a sub-request that has succeeded, because its response contained less than the query needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Continuation {
    /// The query that the sub-request belongs to.
    pub query: QueryIndex,
    /// The sub-request, by its number within the query.
    pub sub_request: SubRequestIndex,
}

/// Everything that arrived for one co-ordinator since its previous step.
#[derive(Clone, Debug, Default)]
pub struct Inputs {
    /// The time of this step.
    pub now: TenthMillis,
    /// Updates from service discovery, in order of arrival.
    pub membership: Vec<MembershipUpdate>,
    /// A new table of routes by zone; an empty table removes the current one. Zones missing from the table count as the
    /// farthest.
    pub zone_routes: Option<Vec<ZoneRoute>>,
    /// Queries that arrived.
    pub queries: Vec<NewQuery>,
    /// Sub-requests that arrived, either of these queries or of the fetch phase of earlier ones.
    pub sub_requests: Vec<NewSubRequest>,
    /// Attempts that ended.
    pub results: Vec<AttemptResult>,
    /// Sub-requests to repeat. The co-ordinator decides whether that is possible; the response already received remains
    /// valid.
    pub continuations: Vec<Continuation>,
    /// Probes that ended.
    pub probes: Vec<ProbeResult>,
    /// Queries whose client no longer waits for a response.
    pub cancelled: Vec<QueryIndex>,
    /// The process has begun to shut down: all queries, also those that arrive from now on, must have ended by this
    /// time. `None` in later steps changes nothing.
    pub shutdown_at: Option<TenthMillis>,
}
