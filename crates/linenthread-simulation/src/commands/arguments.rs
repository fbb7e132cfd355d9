//! Arguments that several commands take.

use std::path::PathBuf;

use bpaf::{Parser, long};

/// Where all random numbers of the only run come from.
pub(super) fn seed() -> impl Parser<u64> {
    seed_with_help("The seed of all random numbers")
}

/// The seed of the first of several runs.
pub(super) fn first_seed() -> impl Parser<u64> {
    seed_with_help("The first run's seed; the others count on from it")
}

fn seed_with_help(help: &'static str) -> impl Parser<u64> {
    long("seed").help(help).argument("S").fallback(1)
}

/// How many schedules are run.
pub(super) fn schedules(default: usize) -> impl Parser<usize> {
    count("schedules", "Schedules of faults to run", default)
}

/// A number of things.
pub(super) fn count(name: &'static str, help: &'static str, default: usize) -> impl Parser<usize> {
    long(name).help(help).argument("N").fallback(default)
}

/// The program that is tested.
pub(super) fn program() -> impl Parser<Option<PathBuf>> {
    long("program")
        .help("The program to run; by default linenthread beside this one")
        .argument::<PathBuf>("FILE")
        .optional()
}

/// The path of the program that is tested: as given, or beside this one.
pub(super) fn program_path(given: Option<&PathBuf>) -> String {
    let beside = || Some(std::env::current_exe().ok()?.with_file_name("linenthread"));
    given
        .cloned()
        .or_else(beside)
        .unwrap_or_else(|| "linenthread".into())
        .to_string_lossy()
        .into_owned()
}
