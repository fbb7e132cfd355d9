//! A client's request in the form sent to replicas.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use linenthread_http::{BodyPresence, write_decimal};
use linenthread_time::whole_millis;
use smallvec::SmallVec;

use super::ConnectionId;
use crate::outcome::ResponseUse;

/// The number of attempts whose connections are recorded without a heap allocation.
const INLINE_ATTEMPTS: usize = 12;
/// Initial capacity for the headers added for each replica, in bytes, without the replica's id and the tenant's name.
const REPLICA_HEADER_BYTES: usize = 96;

/// A request to replicas. All replicas get the same bytes, except for two headers; the tenant's key is not included.
pub struct ReplicaRequest {
    /// The request line and the headers before those added for each replica.
    head: Vec<u8>,
    /// The rest of the head, and the body.
    rest: Vec<u8>,
    /// The request's id, chosen by the client.
    pub(crate) request_id: String,
    /// Whether responses to this request have a body.
    pub(crate) body_presence: BodyPresence,
    pub(crate) response_use: ResponseUse,
    /// The tenant whose key the client sent, if any.
    pub(crate) tenant: Option<Rc<str>>,
    /// The connections that carried attempts of this request. A surplus response to one attempt has the same id as the
    /// response to the next, so two attempts never share a connection.
    connections: RefCell<SmallVec<[ConnectionId; INLINE_ATTEMPTS]>>,
}

impl ReplicaRequest {
    /// Creates a request whose responses have a body. `head` and `rest` are the bytes before and after the headers
    /// added for each replica; both consist of complete lines, apart from the body.
    pub fn new(
        head: Vec<u8>,
        rest: Vec<u8>,
        request_id: String,
        response_use: ResponseUse,
    ) -> ReplicaRequest {
        ReplicaRequest {
            head,
            rest,
            request_id,
            body_presence: BodyPresence::Present,
            response_use,
            tenant: None,
            connections: RefCell::default(),
        }
    }

    /// Sets whether responses to the request have a body.
    #[must_use]
    pub fn with_body_presence(mut self, body_presence: BodyPresence) -> ReplicaRequest {
        self.body_presence = body_presence;
        self
    }

    /// Sets the tenant on whose behalf the request is sent.
    #[must_use]
    pub fn with_tenant(mut self, tenant: Option<Rc<str>>) -> ReplicaRequest {
        self.tenant = tenant;
        self
    }

    pub(super) fn was_carried_by(&self, connection: ConnectionId) -> bool {
        self.connections.borrow().contains(&connection)
    }

    pub(super) fn add_connection(&self, connection: ConnectionId) {
        self.connections.borrow_mut().push(connection);
    }

    /// Encodes an attempt at this replica, with the time that remains for it.
    pub(super) fn to_bytes(&self, replica_id: &str, remaining: Duration) -> Vec<u8> {
        let tenant = self.tenant.as_deref().unwrap_or_default();
        let variable = tenant.len() + replica_id.len();
        let length = self.head.len() + REPLICA_HEADER_BYTES + variable + self.rest.len();
        let mut bytes = Vec::with_capacity(length);
        bytes.extend_from_slice(&self.head);
        if !tenant.is_empty() {
            bytes.extend_from_slice(b"X-Client-Name: ");
            bytes.extend_from_slice(tenant.as_bytes());
            bytes.extend_from_slice(b"\r\n");
        }
        bytes.extend_from_slice(b"X-Remaining-Ms: ");
        write_decimal(&mut bytes, whole_millis(remaining).max(1));
        bytes.extend_from_slice(b"\r\nX-Target-Replica: ");
        bytes.extend_from_slice(replica_id.as_bytes());
        bytes.extend_from_slice(b"\r\n");
        bytes.extend_from_slice(&self.rest);
        bytes
    }
}
