use std::fmt::Write;

use logforth::append::Stdout;
use logforth::kv::{KeyView, ValueView, Visitor};
use logforth::layout::Layout;

pub(crate) use linenthread_dataplane::log_rejected_input;
use logforth::record::Record;
use logforth::{Diagnostic, Error};

/// One line of key=value pairs an event: `at` is the time of day in seconds, the message is `event=...`.
#[derive(Debug)]
struct Pairs;

struct Line(String);

impl Visitor for Line {
    fn visit(&mut self, key: KeyView, value: ValueView) -> Result<(), Error> {
        let value = value.to_string();
        let done = if value.is_empty() || value.contains([' ', '=', '"', '\n']) {
            write!(self.0, " {}=\"{}\"", key.as_str(), value.escape_debug())
        } else {
            write!(self.0, " {}={value}", key.as_str())
        };
        done.map_err(|e| Error::new(e.to_string()))
    }
}

impl Layout for Pairs {
    fn format(&self, record: &Record, _: &[Box<dyn Diagnostic>]) -> Result<Vec<u8>, Error> {
        let at = record
            .time()
            .duration_since(std::time::UNIX_EPOCH)
            .map_or(0.0, |d| d.as_secs_f64());
        let level = record.level().name().to_ascii_lowercase();
        let mut line = Line(format!("at={at:.3} level={level} {}", record.payload()));
        record.key_values().visit(&mut line)?;
        Ok(line.0.into_bytes())
    }
}

pub(crate) fn start() {
    let logger = logforth::core::builder()
        .dispatch(|d| d.append(Stdout::default().with_layout(Pairs)))
        .build();
    if log::set_boxed_logger(Box::new(logforth::bridge::log::LogBridge::new(logger))).is_ok() {
        log::set_max_level(log::LevelFilter::Info);
    }
}
