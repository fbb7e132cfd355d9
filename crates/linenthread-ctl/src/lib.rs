//! The library of `linenthread-ctl`, the operators' command-line client: HTTP calls to control nodes, decoding of their
//! reports, and differences between configurations.
//!
//! The client is stateless and makes no decisions of its own. It uses the HTTP control API and is independent of the
//! protocol between nodes. Start reading at [`Client`].

mod client;
pub mod control_api;
mod difference;
mod duties;
mod request;
mod status;
mod tenant_difference;

pub use client::{AddressFailure, Client, FailureReason, NoFinalResponse};
pub use difference::{Change, Section, configuration_changes};
pub use duties::{
    DutiesStatus, DutyHolder, DutyReport, DutyStatus, UnreachableNode, control_node_addresses,
};
pub use request::{Connection, Request, RequestError, Response};
pub use status::{
    ControlNodeStatus, IngressStatus, MembersStatus, ReplicaPhase, ReplicaStatus, Summary,
};
pub use tenant_difference::TenantChange;
