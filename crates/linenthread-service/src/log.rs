//! The log: where its lines go, and the rate limit of lines that clients or peers can bring about.

use std::cell::Cell;
use std::time::{Duration, Instant};

use tracing::level_filters::LevelFilter;
use tracing_subscriber::filter::Targets;
use tracing_subscriber::prelude::*;

/// Lines of one kind that are written in a second; the rest are counted.
const MAX_LINES_PER_SECOND: u32 = 5;

/// The names of the program and of this project's libraries begin so.
const OWN_CRATES: &str = "linenthread";

/// Starts the log on standard error. Failures to write it are ignored, as a log that nobody reads any more must not end
/// the process. Lines of libraries are left out: bad input could bring them about without bound.
pub fn start() {
    let lines = tracing_subscriber::fmt::layer()
        .with_ansi(false)
        .with_target(false)
        .with_writer(std::io::stderr);
    let own = Targets::new().with_target(OWN_CRATES, LevelFilter::INFO);
    tracing_subscriber::registry()
        .with(lines.log_internal_errors(false).with_filter(own))
        .init();
}

/// Limits the rate of one kind of log line.
pub(crate) struct LogRateLimit {
    /// Start of the current second.
    since: Cell<Instant>,
    /// Lines in the current second, written or suppressed.
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
    /// Whether a line may be written now; if so, how many were suppressed before it.
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
