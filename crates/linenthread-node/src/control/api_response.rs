//! Responses to calls of replicas and operators, and their encoding.

use std::fmt;

use linenthread_control::{Response, Revision};
use serde_json::{Value as Json, json};

use super::command::CallError;

/// The status codes of the control API.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Status {
    Ok,
    BadRequest,
    NotFound,
    MethodNotAllowed,
    PreconditionFailed,
    ContentTooLarge,
    ServiceUnavailable,
}

impl Status {
    fn code(self) -> u16 {
        match self {
            Status::Ok => 200,
            Status::BadRequest => 400,
            Status::NotFound => 404,
            Status::MethodNotAllowed => 405,
            Status::PreconditionFailed => 412,
            Status::ContentTooLarge => 413,
            Status::ServiceUnavailable => 503,
        }
    }

    fn reason(self) -> &'static str {
        match self {
            Status::Ok => "OK",
            Status::BadRequest => "Bad Request",
            Status::NotFound => "Not Found",
            Status::MethodNotAllowed => "Method Not Allowed",
            Status::PreconditionFailed => "Precondition Failed",
            Status::ContentTooLarge => "Content Too Large",
            Status::ServiceUnavailable => "Service Unavailable",
        }
    }
}

impl fmt::Display for Status {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.code().fmt(formatter)
    }
}

/// The response to one call.
#[derive(Debug)]
pub(super) enum ApiResponse {
    Json(Status, Json),
    /// A configuration, byte for byte as an operator submitted it.
    Document(Vec<u8>),
    /// Redirects the caller to the control node at this address.
    Redirect(String),
}

impl ApiResponse {
    /// Creates a JSON response with an error message.
    pub(super) fn error(status: Status, message: impl fmt::Display) -> ApiResponse {
        ApiResponse::Json(status, json!({"error": message.to_string()}))
    }

    /// Returns the status if it reports an invalid call.
    pub(super) fn rejected_status(&self) -> Option<Status> {
        match self {
            ApiResponse::Json(
                status @ (Status::BadRequest | Status::NotFound | Status::MethodNotAllowed),
                _,
            ) => Some(*status),
            _ => None,
        }
    }

    /// Encodes the response. `target` is the request target, which a redirect repeats.
    pub(super) fn encode(&self, target: &str, keep_alive: bool) -> Vec<u8> {
        let close = if keep_alive {
            ""
        } else {
            "Connection: close\r\n"
        };
        match self {
            ApiResponse::Json(status, body) => {
                encode_with_body(*status, body.to_string().as_bytes(), close)
            }
            ApiResponse::Document(document) => encode_with_body(Status::Ok, document, close),
            ApiResponse::Redirect(address) => format!(
                "HTTP/1.1 307 Temporary Redirect\r\nLocation: http://{address}{target}\r\n\
                 Content-Length: 0\r\n{close}\r\n"
            )
            .into_bytes(),
        }
    }
}

fn encode_with_body(status: Status, body: &[u8], close: &str) -> Vec<u8> {
    let mut bytes = format!(
        "HTTP/1.1 {status} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n{close}\r\n",
        status.reason(),
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Formats the content for the log: the body of a JSON response, the length of a document, or the redirect address.
impl fmt::Display for ApiResponse {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ApiResponse::Json(_, body) => body.fmt(formatter),
            ApiResponse::Document(document) => write!(formatter, "{} bytes", document.len()),
            ApiResponse::Redirect(address) => formatter.write_str(address),
        }
    }
}

impl From<CallError> for ApiResponse {
    fn from(error: CallError) -> ApiResponse {
        ApiResponse::error(Status::ServiceUnavailable, error)
    }
}

/// Converts the result of a status call.
impl From<Result<Json, CallError>> for ApiResponse {
    fn from(result: Result<Json, CallError>) -> ApiResponse {
        result.map_or_else(ApiResponse::from, |status| {
            ApiResponse::Json(Status::Ok, status)
        })
    }
}

impl From<Result<Response, CallError>> for ApiResponse {
    fn from(result: Result<Response, CallError>) -> ApiResponse {
        result.map_or_else(ApiResponse::from, ApiResponse::from)
    }
}

impl From<Response> for ApiResponse {
    fn from(response: Response) -> ApiResponse {
        match response {
            Response::Acknowledged {
                report_to: Some(report_to),
            } => ApiResponse::Json(Status::Ok, json!({"report_to": report_to})),
            Response::Acknowledged { report_to: None } => ApiResponse::Json(Status::Ok, json!({})),
            Response::Committed(revision) => {
                ApiResponse::Json(Status::Ok, json!({"revision": revision.get()}))
            }
            Response::Document(value) if Revision::of(&value) == Revision::NONE => {
                ApiResponse::error(Status::NotFound, "no configuration is in force yet")
            }
            Response::Document(value) => ApiResponse::Document(value.document.to_vec()),
            Response::Conflict(revision) => ApiResponse::Json(
                Status::PreconditionFailed,
                json!({"error": "another revision is in force", "revision": revision.get()}),
            ),
            Response::Unavailable(reason) => ApiResponse::error(Status::ServiceUnavailable, reason),
            Response::Redirect(address) => ApiResponse::Redirect(address),
        }
    }
}
