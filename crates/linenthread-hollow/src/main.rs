//! `linenthread-hollow`: what control costs each role, by size.

use std::io::Write;
use std::process::ExitCode;

use linenthread_hollow::{CSV_HEADER, Loss, Scale, fit_csv, kill_timeline, measure};

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Hollow fronts, replicas and control nodes in one process.
        cmd linenthread-hollow {
            /// Measures one size; prints a table and lines of CSV.
            cmd run {
                /// Fronts (30).
                optional --fronts count: usize
                /// Replicas (in proportion: 50,000 to 7,800 fronts).
                optional --replicas count: usize
                /// Control nodes (3).
                optional --control count: usize
                /// Control nodes that may vote (5, or all if there are fewer).
                optional --voters count: usize
                /// Simulated seconds that are measured (4).
                optional --seconds count: u64
                /// What all chance comes from (1).
                optional --seed seed: u64
                /// A replica's heartbeats are so many milliseconds apart (1000).
                optional --heartbeat-ms milliseconds: u64
                /// Size of the configuration (60000).
                optional --document-bytes bytes: usize
                /// Configuration changes in the measured time (1).
                optional --changes count: usize
                /// Replicas that are restarted in the measured time (2).
                optional --restarts count: usize
                /// Fronts that come back with nothing at one moment (10).
                optional --storm count: usize
                /// Adds the lines to this file, with a header if it is new.
                optional --csv file: PathBuf
            }
            /// Fits powers of growth to files of CSV.
            cmd fit {
                required file: PathBuf
                /// The column that says how large (fronts).
                optional --by column: String
                /// Also prints what the fit gives at this size.
                optional --at size: f64
                /// Only these roles, as they begin.
                optional --role name: String
                /// Only this column.
                optional --column name: String
            }
            /// From the loss of the leader to the next acknowledgement.
            cmd kill {
                optional --control count: usize
                optional --fronts count: usize
                optional --seed seed: u64
                /// The machine is dark, instead of a process that ends.
                optional --dark
            }
        }
    }
}

/// Replicas to fronts at the target.
const REPLICAS_TO_FRONTS: f64 = 50_000.0 / 7_800.0;

fn scale(flags: &flags::Run) -> Scale {
    let default = Scale::default();
    let fronts = flags.fronts.unwrap_or(default.fronts).max(1);
    let control = flags.control.unwrap_or(default.control).max(3);
    Scale {
        fronts,
        replicas: flags
            .replicas
            .unwrap_or((fronts as f64 * REPLICAS_TO_FRONTS).round() as usize)
            .max(1),
        control,
        voters: flags.voters.unwrap_or(5).clamp(3, control),
        seconds: flags.seconds.unwrap_or(default.seconds).max(1),
        seed: flags.seed.unwrap_or(default.seed),
        heartbeat_ms: flags.heartbeat_ms.unwrap_or(default.heartbeat_ms).max(1),
        document_bytes: flags.document_bytes.unwrap_or(default.document_bytes),
        changes: flags.changes.unwrap_or(default.changes),
        restarts: flags.restarts.unwrap_or(default.restarts),
        storm: flags.storm.unwrap_or(default.storm),
    }
}

/// Whoever reads may stop before the end.
fn show(text: &str) {
    let _ = std::io::stdout().write_all(text.as_bytes());
}

fn run(flags: &flags::Run) -> Result<(), String> {
    let measured = measure(&scale(flags));
    show(&measured.table());
    let csv = measured.csv();
    let Some(path) = &flags.csv else {
        show(&format!("{CSV_HEADER}\n{csv}"));
        return Ok(());
    };
    let before = std::fs::read_to_string(path).unwrap_or_else(|_| format!("{CSV_HEADER}\n"));
    std::fs::write(path, before + &csv).map_err(|e| format!("writing {}: {e}", path.display()))
}

fn fit(flags: &flags::Fit) -> Result<(), String> {
    let path = &flags.file;
    let text =
        std::fs::read_to_string(path).map_err(|e| format!("reading {}: {e}", path.display()))?;
    let fitted =
        fit_csv(&text, flags.by.as_deref().unwrap_or("fronts")).map_err(|e| e.to_string())?;
    let mut lines = Vec::new();
    let wanted = |role: &str| {
        flags
            .role
            .as_ref()
            .is_none_or(|name| role.starts_with(name.as_str()))
    };
    let asked = |column: &String| flags.column.as_ref().is_none_or(|name| name == column);
    for (role, column, power) in fitted
        .into_iter()
        .filter(|(role, column, _)| wanted(role) && asked(column))
    {
        let at = flags.at.map_or(String::new(), |size| {
            format!(", at {size}: {:.4}", power.at(size))
        });
        lines.push(format!(
            "{role:<28} {column:<18} power {:>6.3}, worst {:.2} of the fit, {} points{at}",
            power.exponent, power.worst_ratio, power.points
        ));
    }
    show(&(lines.join("\n") + "\n"));
    Ok(())
}

fn kill(flags: &flags::Kill) {
    let default = Scale::default();
    let control = flags.control.unwrap_or(3).max(3);
    let scale = Scale {
        control,
        voters: control,
        fronts: flags.fronts.unwrap_or(default.fronts).max(1),
        seed: flags.seed.unwrap_or(1),
        document_bytes: 2_000,
        ..default
    };
    let timeline = kill_timeline(&scale, if flags.dark { Loss::Dark } else { Loss::Killed });
    let after = |ms: Option<u64>| ms.map_or("none".to_owned(), |ms| format!("{ms} ms"));
    let mut lines: Vec<String> = timeline
        .lines
        .iter()
        .map(|(at, line)| format!("{at:>6} ms  {line}\n"))
        .collect();
    let first = after(timeline.first_acknowledgement_ms);
    lines.push(format!(
        "first acknowledgement by a survivor after {first}\n"
    ));
    lines.push(format!(
        "next leader after {}\n",
        after(timeline.next_leader_ms)
    ));
    show(&lines.concat());
}

fn main() -> ExitCode {
    let flags = match flags::LinenthreadHollow::from_env() {
        Ok(flags) => flags,
        Err(e) => e.exit(),
    };
    let done = match &flags.subcommand {
        flags::LinenthreadHollowCmd::Run(flags) => run(flags),
        flags::LinenthreadHollowCmd::Fit(flags) => fit(flags),
        flags::LinenthreadHollowCmd::Kill(flags) => {
            kill(flags);
            Ok(())
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => {
            eprintln!("linenthread-hollow: {cause}");
            ExitCode::FAILURE
        }
    }
}
