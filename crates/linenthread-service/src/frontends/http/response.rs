//! Responses to health checks and queries, and rejections of invalid requests.

use actix_http::body::BoxBody;
use actix_http::header::HeaderValue;
use actix_http::{ConnectionType, Method, Request, Response, StatusCode, header};
use linenthread_protocol::query as protocol;
use tokio::sync::oneshot;
use tracing::info;

use super::HttpFrontend;
use super::connection::ClientConnection;
use super::request::{self, RequestError};
use crate::query::{self, QueryOutcome, QueryRequest};

impl HttpFrontend {
    /// Returns the response to a request of any kind.
    pub(super) async fn respond(
        &self,
        request: Request,
        client: &ClientConnection,
    ) -> Response<BoxBody> {
        let is_stopping = &self.0.is_stopping;
        let mut response = match (request.path(), request.method()) {
            (protocol::HEALTH_PATH, &Method::GET) if is_stopping.get() => {
                Response::new(StatusCode::SERVICE_UNAVAILABLE)
            }
            (protocol::HEALTH_PATH, &Method::GET) => Response::ok(),
            (protocol::HEALTH_PATH, _) => Response::new(StatusCode::METHOD_NOT_ALLOWED),
            _ if client.discards_input() => Response::new(StatusCode::BAD_REQUEST),
            (_, &Method::POST) => self.respond_to_query(request, client).await,
            _ => Response::new(StatusCode::METHOD_NOT_ALLOWED),
        };
        if is_stopping.get() {
            response
                .head_mut()
                .set_connection_type(ConnectionType::Close);
        }
        response
    }

    async fn respond_to_query(
        &self,
        mut request: Request,
        client: &ClientConnection,
    ) -> Response<BoxBody> {
        let body = match request::read_body(&mut request, client.request_deadline()).await {
            Ok(body) => body,
            Err(error) => return self.respond_with_error(client, &error),
        };
        let query = match request::decode(&request, &body, &self.0.context) {
            Ok(query) => query,
            Err(error) => return self.respond_with_error(client, &error),
        };
        drop((request, body));
        client.on_request_complete();
        match self.run_query(query, client).await {
            QueryOutcome::Success(body) => success(body),
            QueryOutcome::Rejected { retry_after_ms } => rejected(retry_after_ms),
            QueryOutcome::Failed => empty(StatusCode::BAD_GATEWAY),
            QueryOutcome::DuplicateId => {
                self.respond_with_error(client, &RequestError::DuplicateId)
            }
            QueryOutcome::Invalid(error) => self.respond_with_error(client, &error.into()),
        }
    }

    /// Runs a query until it has an outcome or the client disconnects.
    async fn run_query(&self, query: QueryRequest, client: &ClientConnection) -> QueryOutcome {
        let (sender, outcome) = oneshot::channel();
        actix_rt::spawn(query::run(self.0.context.clone(), query, sender));
        tokio::select! {
            outcome = outcome => outcome.unwrap_or(QueryOutcome::Failed),
            // This outcome is not delivered. The query's task is notified by the drop of the receiver.
            () = client.client_disconnected() => QueryOutcome::Failed,
        }
    }

    /// Rejects an invalid request: sends the reason to the client and, at a limited rate, to the log. The connection
    /// is closed, and anything else that was sent on it is ignored.
    fn respond_with_error(
        &self,
        client: &ClientConnection,
        error: &RequestError,
    ) -> Response<BoxBody> {
        let status = error.status();
        let reason = error.to_string();
        if let Some(suppressed) = self.0.error_log_limit.admit() {
            info!(
                status = status.as_u16(),
                suppressed, "request rejected: {reason}"
            );
        }
        client.discard_input();
        Response::build(status)
            .force_close()
            .body(reason)
            .map_into_boxed_body()
    }
}

fn empty(status: StatusCode) -> Response<BoxBody> {
    Response::with_body(status, BoxBody::new(Vec::new()))
}

fn success(body: Vec<u8>) -> Response<BoxBody> {
    let mut response = Response::with_body(StatusCode::OK, BoxBody::new(body));
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    response
}

fn rejected(retry_after_ms: Option<f64>) -> Response<BoxBody> {
    let mut response = empty(StatusCode::SERVICE_UNAVAILABLE);
    let retry_after = retry_after_ms
        .and_then(|ms| HeaderValue::from_str(&protocol::retry_after_seconds(ms)).ok());
    if let Some(retry_after) = retry_after {
        response
            .headers_mut()
            .insert(header::RETRY_AFTER, retry_after);
    }
    response
}
