//! Errors of the commands.

use std::io;

use linenthread_ctl::NoFinalResponse;
use linenthread_demo::DemoError;
use snafu::Snafu;

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
    #[snafu(display("configuration {revision} was rejected with status {status}"))]
    Rejected { revision: u64, status: u16 },
    #[snafu(display("{machine} did not log {event} in time"))]
    NotLogged {
        machine: String,
        event: &'static str,
    },
    #[snafu(display("{machine} sent no complete response"))]
    Incomplete { machine: String },
    #[snafu(display("{count} violations"))]
    Violations { count: usize },
    #[snafu(context(false), display("writing to standard output: {source}"))]
    Print { source: io::Error },
}
