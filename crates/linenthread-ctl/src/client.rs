//! Requests to several control nodes in turn, until one gives a final response.

use std::collections::VecDeque;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use snafu::Snafu;

use crate::control_api::{OK, TEMPORARY_REDIRECT, is_final};
use crate::request::{Request, RequestError, Response};

/// Maximum number of redirects per round to addresses that are not in the client's list.
const MAX_UNLISTED_REDIRECTS: usize = 2;

/// A client of the control API of several control nodes.
#[derive(Clone, Debug)]
pub struct Client {
    /// Addresses of the control nodes, in the order in which they are tried.
    pub addresses: Vec<SocketAddr>,
    /// Timeout of an attempt at one address.
    pub timeout: Duration,
}

/// The error if no control node gave a final response.
#[derive(Debug, Default, Snafu)]
#[snafu(display("{}", describe_failures(failures)))]
pub struct NoFinalResponse {
    /// The last failure at each address, in the order of the attempts.
    pub failures: Vec<AddressFailure>,
    /// Whether a control node may have begun to process the request in any attempt, including earlier attempts than
    /// those in `failures`.
    pub may_have_been_processed: bool,
}

/// A failed attempt at one address.
#[derive(Debug)]
pub struct AddressFailure {
    /// The address.
    pub address: SocketAddr,
    /// Why the attempt gave no final response.
    pub reason: FailureReason,
}

/// The reason why an attempt gave no final response.
#[derive(Debug)]
pub enum FailureReason {
    /// The control node can't serve the request now, or doesn't know its outcome.
    Status {
        /// The HTTP status.
        status: u16,
        /// The body of the response.
        message: String,
    },
    /// No valid response was received.
    NoResponse(RequestError),
}

impl Client {
    /// Sends a request to one address after another until one gives a final response. Goes through the list up to
    /// `rounds` times, at least once. A missing response, a server error, a transient status or a redirect is not
    /// final; the target of a redirect is tried next.
    ///
    /// # Errors
    /// Fails if no address gave a final response.
    pub fn send(&self, request: &Request<'_>, rounds: usize) -> Result<Response, NoFinalResponse> {
        let mut failed = NoFinalResponse::default();
        for _ in 0..rounds.max(1) {
            if let Some(response) = self.send_once(request, &mut failed) {
                return Ok(response);
            }
        }
        Err(failed)
    }

    /// Sends a request to one address, without retries.
    ///
    /// # Errors
    /// Fails if no valid response was received, or its status is not 200.
    pub fn send_to_one(
        &self,
        address: SocketAddr,
        request: &Request<'_>,
    ) -> Result<Response, FailureReason> {
        match request.send_to(address, self.timeout) {
            Ok(response) if response.status == OK => Ok(response),
            Ok(response) => Err(FailureReason::from_response(&response)),
            Err(error) => Err(FailureReason::NoResponse(error)),
        }
    }

    /// Tries each address and the targets of redirects once; adds the failures to `failed`.
    fn send_once(&self, request: &Request<'_>, failed: &mut NoFinalResponse) -> Option<Response> {
        let mut untried: VecDeque<SocketAddr> = self.addresses.iter().copied().collect();
        let mut redirects_left = MAX_UNLISTED_REDIRECTS;
        while let Some(address) = untried.pop_front() {
            let reason = match request.send_to(address, self.timeout) {
                Ok(response) if is_final(response.status) => return Some(response),
                Ok(response) => {
                    if let Some(target) = response.redirect_target() {
                        prioritize(&mut untried, target, &mut redirects_left, &self.addresses);
                    }
                    FailureReason::from_response(&response)
                }
                Err(error) => FailureReason::NoResponse(error),
            };
            failed.add(AddressFailure { address, reason });
        }
        None
    }
}

/// Moves the target of a redirect to the front of the untried addresses. A target that is not in the client's list is
/// added, as long as redirects are left.
fn prioritize(
    untried: &mut VecDeque<SocketAddr>,
    target: SocketAddr,
    redirects_left: &mut usize,
    listed: &[SocketAddr],
) {
    if let Some(position) = untried.iter().position(|address| *address == target) {
        untried.remove(position);
        untried.push_front(target);
    } else if !listed.contains(&target) && *redirects_left > 0 {
        *redirects_left -= 1;
        untried.push_front(target);
    }
}

impl NoFinalResponse {
    /// Adds a failure, which replaces an earlier one at the same address.
    fn add(&mut self, failure: AddressFailure) {
        self.may_have_been_processed |= failure.reason.may_have_been_processed();
        self.failures
            .retain(|earlier| earlier.address != failure.address);
        self.failures.push(failure);
    }
}

impl FailureReason {
    fn from_response(response: &Response) -> FailureReason {
        FailureReason::Status {
            status: response.status,
            message: response.body_text(),
        }
    }

    /// Reports whether the control node may have begun to process the request. A redirect guarantees that it did not,
    /// and without a connection nothing was sent.
    fn may_have_been_processed(&self) -> bool {
        match self {
            FailureReason::Status { status, .. } => *status != TEMPORARY_REDIRECT,
            FailureReason::NoResponse(error) => error.may_have_been_sent(),
        }
    }
}

impl fmt::Display for FailureReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FailureReason::Status { status, message } if message.is_empty() => {
                write!(f, "status {status}")
            }
            FailureReason::Status { status, message } => write!(f, "status {status}: {message}"),
            FailureReason::NoResponse(error) => error.fmt(f),
        }
    }
}

/// Describes the failures, with their addresses if there are several.
fn describe_failures(failures: &[AddressFailure]) -> String {
    match failures {
        [] => RequestError::NoAddress.to_string(),
        [only] => only.reason.to_string(),
        several => {
            let texts: Vec<String> = several
                .iter()
                .map(|failure| match &failure.reason {
                    // The error's text contains the address.
                    FailureReason::NoResponse(error) => error.to_string(),
                    FailureReason::Status { .. } => {
                        format!("{}: {}", failure.address, failure.reason)
                    }
                })
                .collect();
            texts.join("; ")
        }
    }
}
