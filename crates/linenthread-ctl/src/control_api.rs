//! Paths, headers and statuses of the control API. Its server is in `linenthread-node` (`control/api.rs`,
//! `control/api_response.rs`).

/// Reads the nodes that the queried control node knows. It responds without contacting others.
pub const MEMBERS_PATH: &str = "/Members.Read";
/// Reads the duties at the platform that the queried control node knows. It responds without contacting others.
pub const DUTIES_PATH: &str = "/Duties.Read";
/// Reads the replicas that the queried control node knows. It responds without contacting others.
pub const REPLICAS_PATH: &str = "/Replicas.Read";
/// Reads the configuration in force, confirmed by a majority of the voters.
pub const READ_CONFIGURATION_PATH: &str = "/Configuration.Read";
/// Replaces the configuration in force.
pub const REPLACE_CONFIGURATION_PATH: &str = "/Configuration.Replace";

/// The revision on which a replacement is based; 0 for the first configuration.
pub const BASE_REVISION_HEADER: &str = "X-Base-Revision";

/// The call succeeded.
pub const OK: u16 = 200;
/// The control node is shutting down and did not begin to process the call; another one serves it.
pub const TEMPORARY_REDIRECT: u16 = 307;
/// There is no configuration yet.
pub const NOT_FOUND: u16 = 404;
/// The caller was too slow. Control nodes don't send this status, but a proxy may.
pub const REQUEST_TIMEOUT: u16 = 408;
/// The base revision of a replacement is not the one in force.
pub const PRECONDITION_FAILED: u16 = 412;
/// There were too many calls. Control nodes don't send this status, but a proxy may.
pub const TOO_MANY_REQUESTS: u16 = 429;
/// The lowest status of a server error, most often caused by lack of contact with a majority of the voters.
pub const FIRST_SERVER_ERROR: u16 = 500;

/// Reports whether a response with this status is final, so that there is no need to try another control node.
/// Redirects, transient statuses and server errors are not final.
pub fn is_final(status: u16) -> bool {
    let is_transient = matches!(
        status,
        TEMPORARY_REDIRECT | REQUEST_TIMEOUT | TOO_MANY_REQUESTS
    );
    status < FIRST_SERVER_ERROR && !is_transient
}
