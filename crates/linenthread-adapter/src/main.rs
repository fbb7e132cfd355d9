//! `linenthread-adapter`: hosts independent co-ordinators for the simulator, and exchanges messages with it in its
//! binary protocol over standard input and output.
//!
//! Each batch of events is answered by one reply that contains the decisions. The adapter makes no decisions itself,
//! reads no clock and keeps the instances isolated from each other. Start reading with [`host`].

mod encoder;
mod error;
mod event;
mod fields;
mod frame;
mod host;
mod ids;
mod instance;
mod reply;

use std::io::{self, BufReader, Write};
use std::process::ExitCode;

use snafu::ResultExt;

use crate::error::{AdapterError, WriteSnafu};
use crate::host::Host;

/// Size of the standard input buffer, in bytes.
const INPUT_BUFFER: usize = 1 << 16;

fn serve() -> Result<(), AdapterError> {
    let mut input = BufReader::with_capacity(INPUT_BUFFER, io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut host = Host::default();
    while let Some(batch) = frame::read(&mut input)? {
        let reply = host.on_batch(&batch)?;
        output
            .write_all(&reply)
            .and_then(|()| output.flush())
            .context(WriteSnafu)?;
    }
    Ok(())
}

fn main() -> ExitCode {
    // A panic of the decision module is reported on the wire, so its message is not printed as well.
    std::panic::set_hook(Box::new(|_| {}));
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("linenthread-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
