//! Arguments shared by several commands.

use std::path::PathBuf;

use bpaf::{Parser, long};

/// Parses the seed of a command that makes a single run.
pub(super) fn seed() -> impl Parser<u64> {
    seed_with_help("The seed of all random numbers")
}

/// Parses the seed of the first of several runs; each further run uses the next seed.
pub(super) fn first_seed() -> impl Parser<u64> {
    seed_with_help("The first run's seed; the others count on from it")
}

fn seed_with_help(help: &'static str) -> impl Parser<u64> {
    long("seed").help(help).argument("S").fallback(1)
}

/// Parses the number of schedules to run.
pub(super) fn schedules(default: usize) -> impl Parser<usize> {
    count("schedules", "Schedules of faults to run", default)
}

/// Parses `--name N`, which falls back to `default`.
pub(super) fn count(name: &'static str, help: &'static str, default: usize) -> impl Parser<usize> {
    long(name).help(help).argument("N").fallback(default)
}

/// Parses the path of the program under test.
pub(super) fn program() -> impl Parser<Option<PathBuf>> {
    long("program")
        .help("The program to run; by default linenthread beside this one")
        .argument::<PathBuf>("FILE")
        .optional()
}

/// Returns the path of the program under test: the given one, else `linenthread` in this program's folder.
pub(super) fn program_path(option: Option<&PathBuf>) -> String {
    let sibling = || Some(std::env::current_exe().ok()?.with_file_name("linenthread"));
    option
        .cloned()
        .or_else(sibling)
        .unwrap_or_else(|| "linenthread".into())
        .to_string_lossy()
        .into_owned()
}
