//! Sets up the log, and limits the rate of log lines that clients or peers can cause.

use std::cell::Cell;
use std::time::{Duration, Instant};

use tracing::level_filters::LevelFilter;
use tracing_subscriber::filter::Targets;
use tracing_subscriber::prelude::*;

/// Lines of one kind that are written in a second; further lines are only counted.
const MAX_LINES_PER_SECOND: u32 = 5;

/// Common prefix of the names of this project's crates.
const CRATE_PREFIX: &str = "linenthread";

/// Starts logging to standard error. Write errors are ignored, so that the process survives when the reader of its log
/// is gone. Lines from third-party crates are dropped: invalid input could cause an unlimited number of them.
pub fn start() {
    let lines = tracing_subscriber::fmt::layer()
        .with_ansi(false)
        .with_target(false)
        .with_writer(std::io::stderr);
    let own_crates = Targets::new().with_target(CRATE_PREFIX, LevelFilter::INFO);
    tracing_subscriber::registry()
        .with(lines.log_internal_errors(false).with_filter(own_crates))
        .init();
}

/// Limits the rate of one kind of log line.
pub(crate) struct LogRateLimit {
    /// Start of the current period of one second.
    since: Cell<Instant>,
    /// Lines in the current period, written or suppressed.
    lines: Cell<u32>,
}

impl Default for LogRateLimit {
    fn default() -> Self {
        LogRateLimit {
            since: Cell::new(Instant::now()),
            lines: Cell::new(0),
        }
    }
}

impl LogRateLimit {
    /// Counts a line. Returns `None` if it must be suppressed. If it may be written, returns the number of lines that
    /// were suppressed in the last period, which only the first line of a new period reports.
    pub(crate) fn admit(&self) -> Option<u32> {
        let mut suppressed = 0;
        if self.since.get().elapsed() >= Duration::from_secs(1) {
            suppressed = self.lines.get().saturating_sub(MAX_LINES_PER_SECOND);
            self.since.set(Instant::now());
            self.lines.set(0);
        }
        self.lines.set(self.lines.get().saturating_add(1));
        (self.lines.get() <= MAX_LINES_PER_SECOND).then_some(suppressed)
    }
}
