//! Requests that go to the first of several control nodes that can serve them.

use std::net::SocketAddr;
use std::time::Duration;

use crate::control_api::{FIRST_SERVER_ERROR, REQUEST_TIMEOUT, TOO_MANY_REQUESTS};
use crate::request::{Request, RequestError, Response};

/// The addresses of the control nodes.
#[derive(Clone, Debug)]
pub struct Client {
    /// Addresses, in the order in which they are tried.
    pub addresses: Vec<SocketAddr>,
    /// How long one address may take.
    pub timeout: Duration,
}

impl Client {
    /// Sends a request to one address after another, up to `rounds` times through the list, until one of them gives
    /// a final response. A failure to get a response is not final, nor is a server error or a status that may pass.
    ///
    /// # Errors
    /// What the last address failed at; a last response that isn't final is returned as it is.
    pub fn send(&self, request: &Request<'_>, rounds: usize) -> Result<Response, RequestError> {
        let mut last = Err(RequestError::NoAddress);
        for _ in 0..rounds.max(1) {
            for address in &self.addresses {
                last = request.send_to(*address, self.timeout);
                if last.as_ref().is_ok_and(is_final) {
                    return last;
                }
            }
        }
        last
    }
}

/// Whether another control node would not respond any better.
fn is_final(response: &Response) -> bool {
    let may_pass = matches!(response.status, REQUEST_TIMEOUT | TOO_MANY_REQUESTS);
    response.status < FIRST_SERVER_ERROR && !may_pass
}
