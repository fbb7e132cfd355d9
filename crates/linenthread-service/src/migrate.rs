//! `linenthread migrate`: a configuration of the old shape (a ring of cells, replicas that report their load)
//! becomes its counterpart for the new one (sets of replicas that hold the same shards and report nothing).

use std::fs;
use std::io::Write;
use std::path::Path;
use std::process::ExitCode;

use linenthread_core::interface::ShardLayout;
use serde_json::{Value, json};

use crate::config::Config;

/// Something was left out; the lists say what.
const LEFT_OUT: u8 = 3;

/// A configuration carried over.
struct Carried {
    new: Value,
    /// What the operator has to move before the new file can serve.
    moves: Vec<String>,
    left_out: Vec<String>,
}

/// Cells in a row become one set: cell c of a ring of shards r in a row goes to set c / r, so that each shard
/// keeps as many holders as it had. `None` for a configuration that is of the new shape already.
fn carry(text: &[u8]) -> Result<Option<Carried>, String> {
    let old = Config::parse(text)?;
    let layout = &old.deployment.layout;
    let (cells, row, shards) = (
        layout.replica_groups,
        layout.replication_factor.max(1),
        old.surroundings.shard_count,
    );
    if row == 1 && !old.deployment.reports_queue {
        return Ok(None);
    }
    if cells % row != 0 {
        return Err(format!(
            "settings: family-info.cells: {cells} cells cannot be parted into sets of {row} in a row"
        ));
    }
    let sets = ShardLayout {
        replica_groups: cells / row,
        replication_factor: 1,
    };
    let mut new: Value =
        serde_json::from_slice(text).map_err(|e| format!("does not parse: {e}"))?;
    let (mut moves, mut left_out) = (Vec::new(), Vec::new());
    for name in new["settings"]["telemetry"]["names"]
        .as_array()
        .into_iter()
        .flatten()
    {
        left_out.push(format!(
            "settings: telemetry.names: {name}: replicas report no load there"
        ));
    }
    new["settings"]["telemetry"] = json!({"names": [], "source": "none"});
    (
        new["settings"]["family-info"]["cells"],
        new["settings"]["family-info"]["in-a-row"],
    ) = (json!(sets.replica_groups), json!(sets.replication_factor));
    let members = new["known"]["members"].as_array_mut().into_iter().flatten();
    for (replica, member) in old.remembered.replicas.iter().zip(members) {
        let set = replica.replica_group / row;
        member["cell"] = json!(set);
        let (mut lacks, mut drops) = (Vec::new(), Vec::new());
        for s in 0..shards {
            match (layout.holds(replica.replica_group, s), sets.holds(set, s)) {
                (false, true) => lacks.push(s.to_string()),
                (true, false) => drops.push(s.to_string()),
                _ => {}
            }
        }
        let (lacks, drops) = (lacks.join(" "), drops.join(" "));
        moves.push(format!(
            "{}: set {set}; loads [{lacks}], may then drop [{drops}]",
            replica.id
        ));
    }
    let written = serde_json::to_vec(&new).map_err(|e| e.to_string())?;
    Config::parse(&written)
        .map_err(|e| format!("what would be written is no configuration: {e}"))?;
    Ok(Some(Carried {
        new,
        moves,
        left_out,
    }))
}

/// Writes a new file whole or not at all; one that exists stays as it is.
fn write(file: &Path, value: &Value) -> Result<(), String> {
    let failed = |e: std::io::Error| format!("{}: {e}", file.display());
    let folder = file
        .parent()
        .filter(|p| !p.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    let mut draft = tempfile::NamedTempFile::new_in(folder).map_err(failed)?;
    serde_json::to_writer_pretty(&mut draft, value).map_err(|e| failed(e.into()))?;
    draft
        .write_all(b"\n")
        .and_then(|()| draft.as_file().sync_all())
        .map_err(failed)?;
    draft
        .persist_noclobber(file)
        .map(drop)
        .map_err(|e| failed(e.error))
}

pub(crate) fn run(old: &Path, output: Option<&Path>, dry_run: bool) -> ExitCode {
    let read = || -> Result<Option<Carried>, String> {
        if output.is_none() && !dry_run {
            return Err("say --output NEW, or --dry-run".into());
        }
        let text = fs::read(old).map_err(|e| format!("{}: {e}", old.display()))?;
        carry(&text).map_err(|e| format!("{}: {e}", old.display()))
    };
    let told = read().and_then(|carried| match carried {
        None => {
            println!(
                "{}: already of the new shape, nothing is written",
                old.display()
            );
            Ok(false)
        }
        Some(carried) => {
            if let Some(file) = output.filter(|_| !dry_run) {
                write(file, &carried.new)?;
                println!("written: {}", file.display());
            } else {
                println!("nothing is written; it would be:\n{:#}", carried.new);
            }
            carried
                .moves
                .iter()
                .for_each(|line| println!("to move: {line}"));
            carried
                .left_out
                .iter()
                .for_each(|line| println!("left out: {line}"));
            Ok(!carried.left_out.is_empty())
        }
    });
    match told {
        Ok(left_out) => ExitCode::from(if left_out { LEFT_OUT } else { 0 }),
        Err(message) => {
            eprintln!("linenthread: {message}");
            ExitCode::from(2)
        }
    }
}
