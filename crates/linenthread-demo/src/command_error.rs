//! Why a command failed.

use std::io;

use linenthread_ctl::NoFinalResponse;
use linenthread_demo::DemoError;
use snafu::Snafu;

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum CommandError {
    #[snafu(context(false), display("{source}"))]
    Cluster { source: DemoError },
    #[snafu(display("sending configuration {revision}: {source}"))]
    Configure {
        revision: u64,
        source: NoFinalResponse,
    },
    #[snafu(display("configuration {revision} has the response {status}"))]
    Rejected { revision: u64, status: u16 },
    #[snafu(display("{machine} did not log {event} in time"))]
    NotLogged {
        machine: String,
        event: &'static str,
    },
    #[snafu(display("{machine} gave no complete response"))]
    Incomplete { machine: String },
    #[snafu(display("there were {count} violations"))]
    Violations { count: usize },
    #[snafu(context(false), display("printing: {source}"))]
    Print { source: io::Error },
}
