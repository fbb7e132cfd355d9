//! A quiet end when whoever reads standard output, as in `linenthread-simulation ... | head`, has closed it.

use std::io::{self, ErrorKind};
use std::panic;
use std::process;

/// What `println!` panics with if it can't write.
const PRINT_FAILED: &str = "failed printing to stdout";

/// From now on a `println!` to a pipe that is closed ends the process with success, without a message.
pub(crate) fn exit_quietly() {
    let broken_pipe = io::Error::from(ErrorKind::BrokenPipe).to_string();
    let report = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        let is_closed_output = info.payload_as_str().is_some_and(|message| {
            let message = message.to_lowercase();
            message.starts_with(PRINT_FAILED) && message.contains(&broken_pipe)
        });
        if is_closed_output {
            process::exit(0);
        }
        report(info);
    }));
}
