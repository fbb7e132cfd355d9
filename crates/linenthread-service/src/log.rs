//! Log lines: where they go, and how many of a kind there may be.

use std::cell::Cell;
use std::time::{Duration, Instant};

use tracing::level_filters::LevelFilter;
use tracing_subscriber::filter::Targets;
use tracing_subscriber::prelude::*;

/// Lines of one kind in any second; the rest are counted.
const MOST: u32 = 5;

/// Starts the log. One that nobody reads any more must not bring the program down, and of the libraries' own
/// lines, which bad input could bring about without bound, there are none.
pub(crate) fn start() {
    let lines = tracing_subscriber::fmt::layer()
        .with_ansi(false)
        .with_target(false)
        .with_writer(std::io::stderr);
    let own = Targets::new().with_target(env!("CARGO_CRATE_NAME"), LevelFilter::INFO);
    tracing_subscriber::registry()
        .with(lines.log_internal_errors(false).with_filter(own))
        .init();
}

/// Keeps one kind of line to a bounded rate.
pub(crate) struct Sparing {
    since: Cell<Instant>,
    lines: Cell<u32>,
}

impl Default for Sparing {
    fn default() -> Self {
        Sparing {
            since: Cell::new(Instant::now()),
            lines: Cell::new(0),
        }
    }
}

impl Sparing {
    /// Whether a line may be written now, and how many were left out before it.
    pub(crate) fn line(&self) -> Option<u32> {
        let mut left_out = 0;
        if self.since.get().elapsed() >= Duration::from_secs(1) {
            left_out = self.lines.get().saturating_sub(MOST);
            self.since.set(Instant::now());
            self.lines.set(0);
        }
        self.lines.set(self.lines.get().saturating_add(1));
        (self.lines.get() <= MOST).then_some(left_out)
    }
}
