//! `linenthread migrate`: converts a configuration of the old form (a ring of replica groups whose replicas report
//! their load) to the new form (sets of replicas that hold the same shards and report no load).

use std::fs;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use linenthread_core::interface::ShardLayout;
use serde_json::{Value, json};
use snafu::{ResultExt, Snafu, ensure};

use crate::config::{Config, ConfigError};

/// Exit code if some settings could not be converted; the printed lists name them.
const EXIT_INCOMPLETE: u8 = 3;
/// Exit code if nothing can be written.
const EXIT_FAILED: u8 = 2;

/// The reason why a configuration cannot be converted.
#[derive(Debug, Snafu)]
enum ConvertError {
    #[snafu(display("{source}"))]
    Old { source: ConfigError },
    #[snafu(display(
        "settings: family-info.cells: {groups} cells cannot be divided into sets of {replication_factor}"
    ))]
    Uneven {
        groups: usize,
        replication_factor: usize,
    },
    #[snafu(display("does not parse: {source}"))]
    Parse { source: serde_json::Error },
    #[snafu(display("{source}"))]
    Serialize { source: serde_json::Error },
    #[snafu(display("the new configuration would be invalid: {source}"))]
    New { source: ConfigError },
}

/// The reason why nothing was written. Each message is one line.
#[derive(Debug, Snafu)]
enum MigrateError {
    #[snafu(display("--output NEW or --dry-run is required"))]
    NoOutput,
    #[snafu(display("{}: {source}", file.display()))]
    Io { file: PathBuf, source: io::Error },
    #[snafu(display("{}: {source}", file.display()))]
    Convert { file: PathBuf, source: ConvertError },
}

/// A configuration of the new form, and the lines to print about its conversion.
struct Converted {
    new: Value,
    /// For each replica, the shards that it must load before the new file can be used, and those that it may drop
    /// afterwards.
    shard_moves: Vec<String>,
    /// The settings that have no equivalent in the new form.
    omitted: Vec<String>,
}

/// Converts a configuration; returns `None` if it has the new form already. Consecutive replica groups become one set:
/// in a ring where r consecutive groups hold each shard, group g becomes part of set g / r. Each shard thus keeps its
/// number of replicas.
fn convert(text: &[u8]) -> Result<Option<Converted>, ConvertError> {
    let old = Config::parse(text).context(OldSnafu)?;
    let layout = &old.coordinator.layout;
    let groups = layout.replica_groups;
    let replication_factor = layout.replication_factor.max(1);
    if replication_factor == 1 && !old.coordinator.reports_queue_depth {
        return Ok(None);
    }
    ensure!(
        groups % replication_factor == 0,
        UnevenSnafu {
            groups,
            replication_factor
        }
    );
    let new_layout = ShardLayout {
        replica_groups: groups / replication_factor,
        replication_factor: 1,
    };
    let mut new: Value = serde_json::from_slice(text).context(ParseSnafu)?;
    let omitted = remove_load_reports(&mut new);
    let layout_settings = &mut new["settings"]["family-info"];
    layout_settings["cells"] = json!(new_layout.replica_groups);
    layout_settings["in-a-row"] = json!(new_layout.replication_factor);
    let members = new["known"]["members"].as_array_mut().into_iter().flatten();
    let mut shard_moves = Vec::new();
    for (replica, member) in old.cached_membership.replicas.iter().zip(members) {
        let set = replica.replica_group / replication_factor;
        member["cell"] = json!(set);
        let held_before = |shard| layout.holds(replica.replica_group, shard);
        let held_after = |shard| new_layout.holds(set, shard);
        let all_shards = || 0..old.cluster.shard_count;
        let shards_to_load = all_shards().filter(|&shard| held_after(shard) && !held_before(shard));
        let shards_to_drop = all_shards().filter(|&shard| held_before(shard) && !held_after(shard));
        shard_moves.push(format!(
            "{}: set {set}; loads [{}], may then drop [{}]",
            replica.id,
            join_shards(shards_to_load),
            join_shards(shards_to_drop)
        ));
    }
    let written = serde_json::to_vec(&new).context(SerializeSnafu)?;
    Config::parse(&written).context(NewSnafu)?;
    Ok(Some(Converted {
        new,
        shard_moves,
        omitted,
    }))
}

/// Disables load reports and lists those that were enabled.
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

/// Writes a new file completely or not at all. Fails if the file exists.
fn write(file: &Path, value: &Value) -> Result<(), MigrateError> {
    let directory = file.parent().filter(|path| !path.as_os_str().is_empty());
    let directory = directory.unwrap_or(Path::new("."));
    let mut temporary_file =
        tempfile::NamedTempFile::new_in(directory).context(IoSnafu { file })?;
    serde_json::to_writer_pretty(&mut temporary_file, value)
        .map_err(io::Error::from)
        .and_then(|()| temporary_file.write_all(b"\n"))
        .and_then(|()| temporary_file.as_file().sync_all())
        .context(IoSnafu { file })?;
    let written = temporary_file
        .persist_noclobber(file)
        .map_err(|error| error.error);
    written.map(drop).context(IoSnafu { file })
}

/// Options of `linenthread migrate`.
#[derive(Clone, Debug)]
pub struct MigrateOptions {
    /// Print the result and write nothing.
    pub dry_run: bool,
    /// The new file, which must not exist.
    pub output: Option<PathBuf>,
    /// The configuration to convert, which is not changed.
    pub old: PathBuf,
}

/// The completeness of a conversion.
enum Completeness {
    Complete,
    /// Some settings were omitted; the printed list names them.
    Incomplete,
}

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
    for line in &converted.shard_moves {
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

/// Runs the command. The exit code is 0, or 3 if settings were omitted, or 2 if nothing could be written.
pub fn run(options: &MigrateOptions) -> ExitCode {
    match migrate(options) {
        Ok(Completeness::Complete) => ExitCode::SUCCESS,
        Ok(Completeness::Incomplete) => ExitCode::from(EXIT_INCOMPLETE),
        Err(error) => {
            eprintln!("linenthread: {error}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}
