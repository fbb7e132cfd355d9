//! Client protocols, one module each. A frontend decodes a request, runs its query and encodes the outcome,
//! independent of how sub-requests are sent to replicas.

pub(crate) mod http;
pub(crate) mod link;
pub(crate) mod listener;
