//! `linenthread-hollow`: what control costs each role, by size.
//!
//! `run` measures one size and writes lines of CSV, `fit` fits powers of growth to such lines, `kill` shows the time from
//! the loss of the leader to the next acknowledgement. The same seed gives the same messages, bytes and times in the
//! simulated system; processor time and heap are measured and differ from run to run.

mod flags;

use std::fmt::Write as _;
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use linenthread_hollow::{
    CSV_HEADER, ColumnFit, FitError, Loss, Scale, fit_csv, lose_leader, measure,
};
use snafu::{ResultExt, Snafu};

/// Replicas at the target size.
const TARGET_REPLICAS: usize = 50_000;
/// Ingress nodes at the target size.
const TARGET_INGRESS_NODES: usize = 7_800;
/// Voters, if there are as many control nodes.
const DEFAULT_VOTERS: usize = 5;
/// The fewest control nodes, and voters.
const MIN_CONTROL: usize = 3;
/// The size of the configuration where the loss of the leader is measured.
const SMALL_DOCUMENT_BYTES: usize = 2_000;
/// The column with the number of ingress nodes.
const DEFAULT_SIZE_COLUMN: &str = "fronts";

/// Why a command failed.
#[derive(Debug, Snafu)]
enum CommandError {
    #[snafu(display("reading {}: {source}", path.display()))]
    Read { path: PathBuf, source: io::Error },
    #[snafu(display("writing {}: {source}", path.display()))]
    Write { path: PathBuf, source: io::Error },
    #[snafu(display("fitting {}: {source}", path.display()))]
    Fit { path: PathBuf, source: FitError },
    #[snafu(display("printing: {source}"))]
    Print { source: io::Error },
}

/// Prints a text.
fn print(text: &str) -> Result<(), CommandError> {
    linenthread_console::print(text).context(PrintSnafu)
}

// --- run ---

fn scale(flags: &flags::Run) -> Scale {
    let default = Scale::default();
    let ingress_nodes = flags.ingress_nodes.unwrap_or(default.ingress_nodes).max(1);
    let control = flags.control.unwrap_or(default.control).max(MIN_CONTROL);
    let heartbeat_interval = flags
        .heartbeat_ms
        .map(|millis| Duration::from_millis(millis.max(1)));
    Scale {
        ingress_nodes,
        replicas: flags
            .replicas
            .unwrap_or_else(|| replicas_for(ingress_nodes))
            .max(1),
        control,
        voters: flags
            .voters
            .unwrap_or(DEFAULT_VOTERS)
            .clamp(MIN_CONTROL, control),
        seconds: flags.seconds.unwrap_or(default.seconds).max(1),
        seed: flags.seed.unwrap_or(default.seed),
        heartbeat_interval: heartbeat_interval.unwrap_or(default.heartbeat_interval),
        document_bytes: flags.document_bytes.unwrap_or(default.document_bytes),
        changes: flags.changes.unwrap_or(default.changes),
        restarts: flags.restarts.unwrap_or(default.restarts),
        storm: flags.storm.unwrap_or(default.storm),
    }
}

/// Replicas in the proportion to ingress nodes that they have at the target size, rounded.
fn replicas_for(ingress_nodes: usize) -> usize {
    (ingress_nodes * TARGET_REPLICAS + TARGET_INGRESS_NODES / 2) / TARGET_INGRESS_NODES
}

fn run(flags: &flags::Run) -> Result<(), CommandError> {
    let measured = measure(&scale(flags));
    print(&measured.table())?;
    let csv = measured.csv();
    let Some(path) = &flags.csv else {
        return print(&format!("{CSV_HEADER}\n{csv}"));
    };
    let before = std::fs::read_to_string(path).unwrap_or_else(|_| format!("{CSV_HEADER}\n"));
    std::fs::write(path, before + &csv).context(WriteSnafu { path })
}

// --- fit ---

fn fit(flags: &flags::Fit) -> Result<(), CommandError> {
    let path = &flags.file;
    let text = std::fs::read_to_string(path).context(ReadSnafu { path })?;
    let size = flags.by.as_deref().unwrap_or(DEFAULT_SIZE_COLUMN);
    let fits = fit_csv(&text, size).context(FitSnafu { path })?;
    let is_wanted = |fit: &ColumnFit| {
        let role = flags.role.as_ref();
        let column = flags.column.as_ref();
        role.is_none_or(|role| fit.role.starts_with(role.as_str()))
            && column.is_none_or(|column| fit.column == *column)
    };
    let lines: Vec<String> = fits
        .iter()
        .filter(|fit| is_wanted(fit))
        .map(|fit| fit_line(fit, flags.at))
        .collect();
    print(&(lines.join("\n") + "\n"))
}

fn fit_line(fit: &ColumnFit, size: Option<f64>) -> String {
    let power = &fit.power;
    let at = size.map_or(String::new(), |size| {
        format!(", at {size}: {:.4}", power.at(size))
    });
    format!(
        "{:<28} {:<18} power {:>6.3}, worst {:.2} of the fit, {} points{at}",
        fit.role, fit.column, power.exponent, power.worst_ratio, power.points
    )
}

// --- kill ---

fn kill(flags: &flags::Kill) -> Result<(), CommandError> {
    let default = Scale::default();
    let control = flags.control.unwrap_or(MIN_CONTROL).max(MIN_CONTROL);
    let scale = Scale {
        control,
        voters: control,
        ingress_nodes: flags.ingress_nodes.unwrap_or(default.ingress_nodes).max(1),
        seed: flags.seed.unwrap_or(default.seed),
        document_bytes: SMALL_DOCUMENT_BYTES,
        ..default
    };
    let loss = if flags.dark { Loss::Dark } else { Loss::Killed };
    let timeline = lose_leader(&scale, loss);
    let millis = |time: Option<Duration>| {
        time.map_or("none".to_owned(), |time| format!("{} ms", time.as_millis()))
    };
    let mut text = String::new();
    for step in &timeline.steps {
        // Writing to a string does not fail.
        let _ = writeln!(text, "{:>6} ms  {}", step.since_loss.as_millis(), step.text);
    }
    text += &format!(
        "first acknowledgement by a survivor after {}\nnext leader after {}\n",
        millis(timeline.first_acknowledgement),
        millis(timeline.next_leader)
    );
    print(&text)
}

fn main() -> ExitCode {
    let flags = match flags::LinenthreadHollow::from_env() {
        Ok(flags) => flags,
        Err(error) if error.is_help() => return exit_code(print(&format!("{error}\n"))),
        Err(error) => error.exit(),
    };
    let result = match &flags.subcommand {
        flags::LinenthreadHollowCmd::Run(flags) => run(flags),
        flags::LinenthreadHollowCmd::Fit(flags) => fit(flags),
        flags::LinenthreadHollowCmd::Kill(flags) => kill(flags),
    };
    exit_code(result)
}

/// Reports an error, if there is one.
fn exit_code(result: Result<(), CommandError>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("linenthread-hollow: {error}");
            ExitCode::FAILURE
        }
    }
}
