//! The HTTP/1.1 API for replicas and operators.

use std::net::SocketAddr;
use std::time::Duration;

use linenthread_config::{Configuration, ignored_fields};
use linenthread_control::{Order, ReplicaHeartbeat, Revision};
use linenthread_dataplane::connection::{ConnectionError, HttpConnection};
use linenthread_http::{Head, ParseError, request_framing};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::Instant;

use super::api_response::{ApiResponse, Status};
use super::command::{Call, Command, ControlHandle};
use crate::{accept, peer_connection};

/// The maximum length of a request head, in bytes.
const MAX_HEAD_BYTES: usize = 16_384;

/// The maximum length of a request body, in bytes: enough for the largest configuration.
const MAX_BODY_BYTES: usize = 12 << 20;

/// How many of the ignored fields of a configuration are logged.
const MAX_LOGGED_FIELDS: usize = 16;
/// The maximum length of a replica's id, in bytes.
const MAX_REPLICA_ID_BYTES: usize = 256;

/// How long a connection may be idle between calls.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// The timeout for a request head, for each chunk of a body, and for writing a response.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(5);

/// Accepts and serves connections for as long as the process runs.
pub(super) async fn accept_calls(listener: TcpListener, handle: ControlHandle) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                peer_connection::configure(&stream);
                let caller = CallerConnection {
                    peer,
                    connection: HttpConnection::new(stream),
                    handle: handle.clone(),
                };
                spawn_local(caller.run());
            }
            Err(error) => accept::back_off(&error).await,
        }
    }
}

/// Whether a connection stays open after a call.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Persistence {
    KeepAlive,
    Close,
}

/// A connection on which a caller makes one call after another.
struct CallerConnection {
    peer: SocketAddr,
    connection: HttpConnection<TcpStream>,
    handle: ControlHandle,
}

impl CallerConnection {
    async fn run(mut self) {
        while let Some(head) = self.read_head().await {
            if self.serve(&head).await == Persistence::Close {
                return;
            }
        }
    }

    /// Reads the head of the next call; `None` if there is none or it is invalid.
    async fn read_head(&mut self) -> Option<Head> {
        let read = self
            .connection
            .read_request_head(MAX_HEAD_BYTES, IDLE_TIMEOUT, TRANSFER_TIMEOUT)
            .await;
        match read {
            Ok(head) => Some(head),
            Err(ConnectionError::Invalid { source }) => {
                self.reject(
                    "reading a call's head",
                    Status::BadRequest,
                    "not an HTTP request",
                    source,
                )
                .await;
                None
            }
            Err(_) => None,
        }
    }

    async fn serve(&mut self, head: &Head) -> Persistence {
        let Some(body) = self.read_body(head).await else {
            return Persistence::Close;
        };
        let response = dispatch(head, body, &self.handle).await;
        if let Some(status) = response.rejected_status() {
            let cause = format_args!("{status} {} {response}", head.path());
            linenthread_dataplane::log_rejected_input("taking a call", self.peer, cause);
        }
        self.respond(head, &response).await
    }

    /// Reads the body of a call; `None` if it was rejected or did not arrive.
    async fn read_body(&mut self, head: &Head) -> Option<Vec<u8>> {
        let framing = match request_framing(head, MAX_BODY_BYTES) {
            Ok(framing) => framing,
            Err(error) => {
                self.reject_framing(error).await;
                return None;
            }
        };
        if head.has_token("expect", "100-continue") && !self.write_continue().await {
            return None;
        }
        self.connection
            .read_body(framing, MAX_BODY_BYTES, TRANSFER_TIMEOUT, None)
            .await
            .ok()
    }

    async fn reject_framing(&mut self, error: ParseError) {
        let status = if error == ParseError::BodyTooLong {
            Status::ContentTooLarge
        } else {
            Status::BadRequest
        };
        let message = "invalid framing, or body too long";
        self.reject("validating a call's head", status, message, error)
            .await;
    }

    async fn respond(&mut self, head: &Head, response: &ApiResponse) -> Persistence {
        let keep_alive = head.keeps_alive();
        let bytes = response.encode(head.target(), keep_alive);
        if self.write(&bytes).await.is_err() {
            log::info!(peer = self.peer.to_string(); "event=client_disconnected");
            return Persistence::Close;
        }
        if keep_alive {
            Persistence::KeepAlive
        } else {
            Persistence::Close
        }
    }

    /// Asks the caller to send the body. Returns whether the response could be written.
    async fn write_continue(&mut self) -> bool {
        self.write(b"HTTP/1.1 100 Continue\r\n\r\n").await.is_ok()
    }

    /// Logs and rejects an invalid request. The connection must be closed afterwards.
    async fn reject(
        &mut self,
        step: &'static str,
        status: Status,
        message: &str,
        cause: ParseError,
    ) {
        linenthread_dataplane::log_rejected_input(step, self.peer, cause);
        let bytes = ApiResponse::error(status, message).encode("", false);
        let _ = self.write(&bytes).await;
    }

    async fn write(&mut self, bytes: &[u8]) -> Result<(), ConnectionError> {
        let deadline = Instant::now() + TRANSFER_TIMEOUT;
        self.connection.write(bytes, deadline).await
    }
}

/// Executes a call, selected by method and path.
async fn dispatch(head: &Head, body: Vec<u8>, handle: &ControlHandle) -> ApiResponse {
    let path = head.path().to_owned();
    let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
    match (head.method(), segments.as_slice()) {
        ("POST", ["Replicas.Heartbeat", id]) if is_replica_id(id) => {
            on_heartbeat(id, &body, handle).await
        }
        ("POST", ["Replicas.Departure", id]) if is_replica_id(id) => {
            let replica_id = (*id).to_owned();
            handle.call(Call::Departure { replica_id }).await.into()
        }
        ("POST", ["Configuration.Replace"]) => replace_configuration(head, body, handle).await,
        ("GET", ["Configuration.Read"]) => handle.call(Call::ReadConfiguration).await.into(),
        ("GET", ["Members.Read"]) => handle.query(Command::MembersStatus).await.into(),
        ("GET", ["Duties.Read"]) => handle.query(Command::DutiesStatus).await.into(),
        ("GET", ["Replicas.Read"]) => handle.query(Command::ReplicasStatus).await.into(),
        (
            _,
            ["Replicas.Heartbeat" | "Replicas.Departure", _]
            | [
                "Configuration.Replace"
                | "Configuration.Read"
                | "Members.Read"
                | "Replicas.Read"
                | "Duties.Read",
            ],
        ) => ApiResponse::error(Status::MethodNotAllowed, "method not allowed for this path"),
        _ => ApiResponse::error(Status::NotFound, "no such path"),
    }
}

fn is_replica_id(id: &str) -> bool {
    (1..=MAX_REPLICA_ID_BYTES).contains(&id.len())
}

async fn on_heartbeat(id: &str, body: &[u8], handle: &ControlHandle) -> ApiResponse {
    let heartbeat: ReplicaHeartbeat = match serde_json::from_slice(body) {
        Ok(heartbeat) => heartbeat,
        Err(error) => return ApiResponse::error(Status::BadRequest, error),
    };
    if heartbeat.address.parse::<SocketAddr>().is_err() {
        let message = format!("{} is not an IP:PORT address", heartbeat.address);
        return ApiResponse::error(Status::BadRequest, message);
    }
    let replica_id = id.to_owned();
    let call = Call::Heartbeat {
        replica_id,
        heartbeat,
    };
    handle.call(call).await.into()
}

async fn replace_configuration(
    head: &Head,
    document: Vec<u8>,
    handle: &ControlHandle,
) -> ApiResponse {
    let base = head
        .header("x-base-revision")
        .map_or(Ok(Revision::NONE), |text| text.parse().map(Revision::new));
    let Ok(base) = base else {
        return ApiResponse::error(Status::BadRequest, "X-Base-Revision is not a number");
    };
    let revision = match Configuration::parse(&document) {
        Ok(configuration) => Revision::new(configuration.revision),
        Err(error) => return ApiResponse::error(Status::BadRequest, error),
    };
    log_ignored_fields(revision, &document);
    let call = Call::ReplaceConfiguration(Order {
        base,
        revision,
        document,
    });
    handle.call(call).await.into()
}

/// Logs the fields of a configuration that have no effect.
fn log_ignored_fields(revision: Revision, document: &[u8]) {
    let ignored = serde_json::from_slice(document)
        .map(|document| ignored_fields(&document))
        .unwrap_or_default();
    if !ignored.is_empty() {
        let fields: Vec<String> = ignored.into_iter().take(MAX_LOGGED_FIELDS).collect();
        let fields = fields.join(",");
        log::warn!(revision = revision.get(), fields = fields; "event=configuration_fields_ignored");
    }
}
