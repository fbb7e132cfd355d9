//! Deterministic simulation of the control plane.
//!
//! Control nodes run the daemon's state machine and log on simulated disks that can lose unsynced data. Connections
//! lose and delay messages, or hang. Ingress nodes request quota grants; operators send concurrent changes and retry
//! them. The [`invariant`]s are checked against what was acknowledged, decided and actually received. All random
//! choices derive from the seed.
//!
//! Start reading at [`simulation`], which runs a schedule event by event. Each layer uses only the layers below it:
//!
//! | layer | modules |
//! | --- | --- |
//! | a schedule and its events | [`simulation`] |
//! | faults, recovery and traffic | [`faults`], [`recovery`], [`recovery_time`], [`shutdown`], [`operators`], [`ingress`], [`usage_traffic`] |
//! | steps of a control node | [`execution`], [`responses`], [`platform_calls`] |
//! | checks | [`checker`] |
//! | complete state, and the limit on simultaneous losses | [`world`], [`loss_budget`] |
//! | components of the state | [`machine`], [`disk`], [`clock`], [`time_of_day`], [`network`], [`ingress_node`], [`operator`], [`replicas`], [`requests`], [`history`], [`usage`], [`platform`], [`report`], [`usage_figures`], [`plan`] |
//! | events, random numbers, kinds of faults and invariants | [`event`], [`random`], [`fault`], [`invariant`] |

mod checker;
mod clock;
mod disk;
mod event;
mod execution;
mod fault;
mod faults;
mod history;
mod ingress;
mod ingress_node;
mod invariant;
mod loss_budget;
mod machine;
mod network;
mod operator;
mod operators;
mod plan;
mod platform;
mod platform_calls;
mod random;
mod recovery;
mod recovery_time;
mod replica_calls;
mod replicas;
mod report;
mod requests;
mod responses;
mod shutdown;
mod simulation;
mod time_of_day;
mod usage;
mod usage_figures;
mod usage_traffic;
mod world;

pub(crate) use simulation::{Options, run};
