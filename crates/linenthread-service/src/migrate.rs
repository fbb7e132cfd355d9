//! `linenthread migrate`: carries a configuration of the old form (a ring of replica groups, replicas that report their
//! load) over to the new one (sets of replicas that hold the same shards and report nothing).

use std::fs;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use linenthread_core::interface::ShardLayout;
use serde_json::{Value, json};
use snafu::{ResultExt, Snafu, ensure};

use crate::config::{Config, ConfigError};

/// Exit code if something could not be carried over; the lists say what.
const INCOMPLETE: u8 = 3;
/// Exit code if nothing can be written.
const FAILED: u8 = 2;

/// Why a configuration cannot be carried over.
#[derive(Debug, Snafu)]
enum ConvertError {
    #[snafu(display("{source}"))]
    Old { source: ConfigError },
    #[snafu(display(
        "settings: family-info.cells: {groups} cells cannot be divided into sets of {in_a_row}"
    ))]
    Uneven { groups: usize, in_a_row: usize },
    #[snafu(display("does not parse: {source}"))]
    Parse { source: serde_json::Error },
    #[snafu(display("{source}"))]
    Serialize { source: serde_json::Error },
    #[snafu(display("the new configuration would be invalid: {source}"))]
    New { source: ConfigError },
}

/// Why nothing was written. Each message is one line.
#[derive(Debug, Snafu)]
enum MigrateError {
    #[snafu(display("--output NEW or --dry-run is required"))]
    NoOutput,
    #[snafu(display("{}: {source}", file.display()))]
    Io { file: PathBuf, source: io::Error },
    #[snafu(display("{}: {source}", file.display()))]
    Convert { file: PathBuf, source: ConvertError },
}

/// A configuration of the new form.
struct Converted {
    new: Value,
    /// The shards that each replica must load before the new file can be served.
    moves: Vec<String>,
    omitted: Vec<String>,
}

/// Consecutive groups become one set: group g of a ring with r groups in a row for each shard goes to set g / r, so
/// that each shard keeps its number of replicas. `None` for a configuration that has the new form already.
fn convert(text: &[u8]) -> Result<Option<Converted>, ConvertError> {
    let old = Config::parse(text).context(OldSnafu)?;
    let layout = &old.coordinator.layout;
    let groups = layout.replica_groups;
    let in_a_row = layout.replication_factor.max(1);
    if in_a_row == 1 && !old.coordinator.reports_queue {
        return Ok(None);
    }
    ensure!(groups % in_a_row == 0, UnevenSnafu { groups, in_a_row });
    let sets = ShardLayout {
        replica_groups: groups / in_a_row,
        replication_factor: 1,
    };
    let mut new: Value = serde_json::from_slice(text).context(ParseSnafu)?;
    let omitted = remove_load_reports(&mut new);
    let layout_settings = &mut new["settings"]["family-info"];
    layout_settings["cells"] = json!(sets.replica_groups);
    layout_settings["in-a-row"] = json!(sets.replication_factor);
    let members = new["known"]["members"].as_array_mut().into_iter().flatten();
    let mut moves = Vec::new();
    for (replica, member) in old.cached_membership.replicas.iter().zip(members) {
        let set = replica.replica_group / in_a_row;
        member["cell"] = json!(set);
        let held_before = |shard| layout.holds(replica.replica_group, shard);
        let held_after = |shard| sets.holds(set, shard);
        let all = || 0..old.cluster.shard_count;
        let loads = all().filter(|&shard| held_after(shard) && !held_before(shard));
        let drops = all().filter(|&shard| held_before(shard) && !held_after(shard));
        moves.push(format!(
            "{}: set {set}; loads [{}], may then drop [{}]",
            replica.id,
            join_shards(loads),
            join_shards(drops)
        ));
    }
    let written = serde_json::to_vec(&new).context(SerializeSnafu)?;
    Config::parse(&written).context(NewSnafu)?;
    Ok(Some(Converted {
        new,
        moves,
        omitted,
    }))
}

/// Switches load reports off and lists those that were on.
fn remove_load_reports(new: &mut Value) -> Vec<String> {
    let telemetry = &mut new["settings"]["telemetry"];
    let names = telemetry["names"].as_array().into_iter().flatten();
    let omitted = names
        .map(|name| format!("settings: telemetry.names: {name}: replicas report no load there"))
        .collect();
    *telemetry = json!({"names": [], "source": "none"});
    omitted
}

fn join_shards(shards: impl Iterator<Item = usize>) -> String {
    let shards: Vec<String> = shards.map(|shard| shard.to_string()).collect();
    shards.join(" ")
}

/// Writes a new file completely or not at all; an existing one is left alone.
fn write(file: &Path, value: &Value) -> Result<(), MigrateError> {
    let directory = file.parent().filter(|path| !path.as_os_str().is_empty());
    let directory = directory.unwrap_or(Path::new("."));
    let mut draft = tempfile::NamedTempFile::new_in(directory).context(IoSnafu { file })?;
    serde_json::to_writer_pretty(&mut draft, value)
        .map_err(io::Error::from)
        .and_then(|()| draft.write_all(b"\n"))
        .and_then(|()| draft.as_file().sync_all())
        .context(IoSnafu { file })?;
    let written = draft.persist_noclobber(file).map_err(|error| error.error);
    written.map(drop).context(IoSnafu { file })
}

/// Options of `linenthread migrate`.
#[derive(Clone, Debug)]
pub struct MigrateOptions {
    /// Write nothing, and say what would be written.
    pub dry_run: bool,
    /// The new file, which must not exist.
    pub output: Option<PathBuf>,
    /// The configuration to carry over.
    pub old: PathBuf,
}

/// What a migration could carry over.
enum Completeness {
    Complete,
    /// Some of it was left out; the lists say what.
    Incomplete,
}

/// Carries a configuration over.
fn migrate(options: &MigrateOptions) -> Result<Completeness, MigrateError> {
    let MigrateOptions {
        dry_run,
        output,
        old,
    } = options;
    ensure!(output.is_some() || *dry_run, NoOutputSnafu);
    let text = fs::read(old).context(IoSnafu { file: old })?;
    let Some(converted) = convert(&text).context(ConvertSnafu { file: old })? else {
        let old = old.display();
        println!("{old}: already of the new shape, nothing is written");
        return Ok(Completeness::Complete);
    };
    match output {
        Some(file) if !dry_run => {
            write(file, &converted.new)?;
            println!("written: {}", file.display());
        }
        _ => println!("nothing is written; it would be:\n{:#}", converted.new),
    }
    for line in &converted.moves {
        println!("to move: {line}");
    }
    for line in &converted.omitted {
        println!("left out: {line}");
    }
    if converted.omitted.is_empty() {
        Ok(Completeness::Complete)
    } else {
        Ok(Completeness::Incomplete)
    }
}

/// Runs the command: exit code 0, 3 if something was left out, 2 if nothing could be written.
pub fn run(options: &MigrateOptions) -> ExitCode {
    match migrate(options) {
        Ok(Completeness::Complete) => ExitCode::SUCCESS,
        Ok(Completeness::Incomplete) => ExitCode::from(INCOMPLETE),
        Err(error) => {
            eprintln!("linenthread: {error}");
            ExitCode::from(FAILED)
        }
    }
}
