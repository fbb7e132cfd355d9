//! The protocols that clients speak, one module each. A frontend decodes a request, runs its query and encodes the
//! outcome; it knows nothing of how sub-requests travel.

pub(crate) mod http;
pub(crate) mod link;
pub(crate) mod listener;
