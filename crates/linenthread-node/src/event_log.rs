//! The process's log on standard output: one line per event, as `key=value` pairs.

use std::fmt::Write;

use logforth::append::Stdout;
use logforth::kv::{KeyView, ValueView, Visitor};
use logforth::layout::Layout;
use logforth::record::Record;
use logforth::{Diagnostic, Error};

/// Formats a record as `at=SECONDS level=LEVEL MESSAGE KEY=VALUE...`. `at` is the wall-clock time in seconds since
/// 1970; the message begins with `event=`.
#[derive(Debug)]
struct KeyValueLayout;

/// A log line to which key-value pairs are appended.
struct LogLine(String);

impl Visitor for LogLine {
    fn visit(&mut self, key: KeyView, value: ValueView) -> Result<(), Error> {
        let value = value.to_string();
        let needs_quotes = value.is_empty() || value.contains([' ', '=', '"', '\n']);
        let written = if needs_quotes {
            write!(self.0, " {}=\"{}\"", key.as_str(), value.escape_debug())
        } else {
            write!(self.0, " {}={value}", key.as_str())
        };
        written.map_err(|error| Error::new(error.to_string()))
    }
}

impl Layout for KeyValueLayout {
    fn format(&self, record: &Record, _: &[Box<dyn Diagnostic>]) -> Result<Vec<u8>, Error> {
        let at = record
            .time()
            .duration_since(std::time::UNIX_EPOCH)
            .map_or(0.0, |since_epoch| since_epoch.as_secs_f64());
        let level = record.level().name().to_ascii_lowercase();
        let mut line = LogLine(format!("at={at:.3} level={level} {}", record.payload()));
        record.key_values().visit(&mut line)?;
        Ok(line.0.into_bytes())
    }
}

/// Installs the logger. A second call has no effect.
pub(crate) fn start() {
    let logger = logforth::core::builder()
        .dispatch(|dispatch| dispatch.append(Stdout::default().with_layout(KeyValueLayout)))
        .build();
    if log::set_boxed_logger(Box::new(logforth::bridge::log::LogBridge::new(logger))).is_ok() {
        log::set_max_level(log::LevelFilter::Info);
    }
}
