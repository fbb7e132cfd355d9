//! `linenthread-adapter`: the simulator's wire on standard input and output.

mod frame;
mod host;

use std::io::{self, BufReader, Write};
use std::process::ExitCode;

fn serve() -> Result<(), String> {
    let mut input = BufReader::with_capacity(1 << 16, io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut host = host::Host::default();
    while let Some(frame) = frame::read_frame(&mut input)? {
        let reply = host.batch(&frame)?;
        output
            .write_all(&reply)
            .and_then(|()| output.flush())
            .map_err(|e| format!("cannot write standard output: {e}"))?;
    }
    Ok(())
}

fn main() -> ExitCode {
    // A panic of the decision module goes out on the wire; its trace would only repeat it.
    std::panic::set_hook(Box::new(|_| {}));
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("linenthread-adapter: {message}");
            ExitCode::FAILURE
        }
    }
}
