//! The protocols that clients speak, one file each. A front reads a question, hands it to a lookup's life and
//! writes its answer; it knows nothing of how part calls travel.

pub(crate) mod http;
pub(crate) mod link;
