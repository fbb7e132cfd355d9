//! Serves client connections, one request at a time per connection.

mod credentials;
mod forward;
mod receive;
mod respond;

use std::net::SocketAddr;
use std::rc::Rc;

use linenthread_config::{RequestLimits, Route, Tenant, UnknownKey};
use linenthread_hash::fnv1a_64;
use linenthread_http::BodyPresence;
use tokio::io::{AsyncRead, AsyncWrite};

use self::credentials::credentials;
use self::forward::{deadline, to_replica_request};
use self::receive::{ClientRequest, ReceiveError, receive, rejection_status};
use self::respond::{Persistence, respond};
use crate::connection::HttpConnection;
use crate::data_plane::DataPlane;
use crate::dispatcher::{PendingResponse, QueryParameters};
use crate::rejected_input::log_rejected_input;
use crate::response::Response;
use crate::transport::Connector;

/// Header of the 503 while there is no configuration yet, or while a route with keys requires one that is known to be
/// current.
const RETRY_AFTER_HEADER: &[u8] = b"Retry-After: 0.5\r\n";
/// Header of the 401 for a request without a known key.
const AUTHENTICATE_HEADER: &[u8] = b"WWW-Authenticate: Bearer\r\n";

/// Serves one client connection until either side closes it.
pub async fn serve<S, C>(stream: S, peer: SocketAddr, plane: Rc<DataPlane<C>>)
where
    S: AsyncRead + AsyncWrite + Unpin,
    C: Connector,
{
    let mut http = HttpConnection::new(stream);
    let _client = plane.count_client();
    let mut shutdown = plane.watch_shutdown();
    loop {
        let limits = request_limits(&plane);
        let readable = tokio::select! {
            biased;
            readable = http.wait_for_data(limits.idle_timeout) => readable,
            () = shutdown.wait_for_closing() => return,
        };
        if readable.is_err() {
            return;
        }
        let _request = plane.count_request();
        let received = tokio::select! {
            biased;
            received = receive(&mut http, &limits) => received,
            // The request has not been read completely, so the client may send it again.
            () = shutdown.wait_for_finishing() => return,
        };
        let persistence = match received {
            Ok(request) => serve_request(&mut http, &request, &plane).await,
            Err(error) => {
                reject(&mut http, peer, &error).await;
                Persistence::Close
            }
        };
        if persistence == Persistence::Close {
            return;
        }
    }
}

/// Returns the limits of the configuration in force, or the defaults while there is none.
fn request_limits<C: Connector>(plane: &DataPlane<C>) -> RequestLimits {
    plane
        .routing_table()
        .map_or_else(RequestLimits::default, |routing_table| {
            routing_table.limits.clone()
        })
}

/// Responds to input that is not a valid request, if the client is still connected.
async fn reject<S: AsyncRead + AsyncWrite + Unpin>(
    http: &mut HttpConnection<S>,
    peer: SocketAddr,
    error: &ReceiveError,
) {
    if let ReceiveError::Rejected { step, source } = error {
        log_rejected_input(step, peer, source);
        let response = Response::empty(rejection_status(*source));
        let _ = respond(http, &response, Persistence::Close, BodyPresence::Present).await;
    }
}

/// Serves one request and returns whether the connection stays open.
async fn serve_request<S, C>(
    http: &mut HttpConnection<S>,
    request: &ClientRequest,
    plane: &DataPlane<C>,
) -> Persistence
where
    S: AsyncRead + AsyncWrite + Unpin,
    C: Connector,
{
    let response = match dispatch(request, plane) {
        Ok(mut pending) => tokio::select! {
            biased;
            response = pending.response() => response,
            () = http.wait_closed() => {
                pending.cancel();
                return Persistence::Close;
            }
        },
        Err(response) => response,
    };
    // A further request that has been read, at least in part, is served even if the node drains.
    let ends_by_shutdown = plane.is_draining() && !http.has_unread_bytes();
    let persistence = if request.head.keeps_alive() && !ends_by_shutdown {
        Persistence::KeepAlive
    } else {
        Persistence::Close
    };
    match respond(
        http,
        &response,
        persistence,
        request.head.response_body_presence(),
    )
    .await
    {
        Ok(()) => persistence,
        Err(_) => Persistence::Close,
    }
}

/// Dispatches a request along its route on behalf of the tenant whose key it carries, or returns the response that
/// rejects it. The key is looked up for every request in the configuration then in force, so that a revoked key is
/// rejected on open connections, too.
fn dispatch<C: Connector>(
    request: &ClientRequest,
    plane: &DataPlane<C>,
) -> Result<PendingResponse<C>, Response> {
    let routing_table = plane
        .routing_table()
        .ok_or_else(|| Response::with_headers(503, RETRY_AFTER_HEADER.to_vec()))?;
    let head = &request.head;
    let host = head.header("host").unwrap_or_default();
    let resolved = routing_table
        .find(host, head.path())
        .ok_or_else(|| Response::empty(404))?;
    if routing_table.needs_key(&resolved.route) && plane.may_lack_revocations() {
        let headers = RETRY_AFTER_HEADER.to_vec();
        return Err(Response::with_headers(503, headers));
    }
    let tenant = routing_table
        .authorize(&resolved.route, credentials(head))
        .map_err(|UnknownKey| Response::with_headers(401, AUTHENTICATE_HEADER.to_vec()))?;
    let replica_request =
        to_replica_request(request, host, resolved).map_err(|_| Response::empty(400))?;
    let parameters = QueryParameters {
        affinity_key: fnv1a_64(head.target().as_bytes()),
        deadline: deadline(head, resolved).map_err(|_| Response::empty(400))?,
        priority: priority(&resolved.route, tenant.as_deref()),
    };
    let replica_request = replica_request.with_tenant(tenant.map(|tenant| tenant.name.clone()));
    Ok(plane.dispatch(Rc::new(replica_request), resolved, parameters))
}

/// Returns the priority of the tenant, or else that of the route.
fn priority(route: &Route, tenant: Option<&Tenant>) -> i64 {
    tenant
        .and_then(|tenant| tenant.priority)
        .unwrap_or(route.priority)
}
