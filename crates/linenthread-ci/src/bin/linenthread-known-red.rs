//! `linenthread-known-red`: judges a run of `cargo test` against `KNOWN-RED.txt`. Exit codes: 0 only listed
//! tests failed, and all of them; 1 anything else; 2 a file can't be read.

use std::path::Path;
use std::process::ExitCode;

use linenthread_ci::{Report, judge, read_known, read_output, read_programs};

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Judges a run of `cargo test` against the list of tests that are known to fail.
        cmd linenthread-known-red {
            /// The list, `package::target::test | cause | issue` a line; it may be absent.
            required --known path: PathBuf
            /// Messages of `cargo test --no-run --message-format json-render-diagnostics`.
            required --programs path: PathBuf
            /// Standard output and error of `cargo test --no-fail-fast`.
            required --output path: PathBuf
            /// Its exit status.
            required --status status: i32
        }
    }
}

fn read(path: &Path) -> Result<String, String> {
    let bytes = std::fs::read(path).map_err(|e| format!("{}: {e}", path.display()))?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

/// The list's text; none if there is no such file.
fn read_list(path: &Path) -> Result<String, String> {
    match std::fs::read_to_string(path) {
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => Ok(String::new()),
        Err(e) => Err(format!("{}: {e}", path.display())),
        Ok(text) => Ok(text),
    }
}

fn run(flags: &flags::LinenthreadKnownRed) -> Result<Report, String> {
    let known = read_known(&read_list(&flags.known)?);
    let known = known.map_err(|e| format!("{}: {e}", flags.known.display()))?;
    let programs = read_programs(&read(&flags.programs)?).map_err(|e| e.to_string())?;
    let output = read_output(&read(&flags.output)?);
    Ok(judge(&known, &programs, &output, flags.status))
}

fn print(report: &Report) {
    for line in &report.summaries {
        println!("{line}");
    }
    for entry in &report.known {
        println!(
            "known red: {} | {} | {}",
            entry.test, entry.cause, entry.issue
        );
    }
    for fault in &report.faults {
        println!("fault: {fault}");
    }
    let total = report.total;
    let word = match (report.faults.is_empty(), report.known.is_empty()) {
        (true, true) => "ok",
        (true, false) => "known red only",
        (false, _) => "FAILED",
    };
    println!(
        "all tests: {word}. {} passed; {} failed; {} ignored; {} known red",
        total.passed,
        total.failed,
        total.ignored,
        report.known.len()
    );
}

fn main() -> ExitCode {
    let flags = match flags::LinenthreadKnownRed::from_env() {
        Ok(flags) => flags,
        Err(e) => e.exit(),
    };
    match run(&flags) {
        Ok(report) => {
            print(&report);
            if report.faults.is_empty() {
                ExitCode::SUCCESS
            } else {
                ExitCode::from(1)
            }
        }
        Err(e) => {
            eprintln!("linenthread-known-red: {e}");
            ExitCode::from(2)
        }
    }
}
