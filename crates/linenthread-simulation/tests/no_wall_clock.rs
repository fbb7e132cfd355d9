//! Jumps of the time of day can't reach control: none of its packages reads a clock, and the daemon reads the
//! time of day only to draw the number of an incarnation, and for the times in its log.

use std::path::{Path, PathBuf};
use std::time::Duration;

use linenthread_consensus::{DurableState, NodeId};
use linenthread_control::{ControlNode, Effect, Incarnation, NodeConfig, SessionId};
use linenthread_time::Instant;

/// Names of the time of day.
const TIME_OF_DAY: [&str; 2] = ["SystemTime", "UNIX_EPOCH"];
/// Ways to read a clock, whatever name it has been imported under: calls, and functions that are passed on.
const READS: [&str; 3] = ["::now", "elapsed", "Instantas"];
/// All of the standard library's times that a state machine may name: it holds no moment. `Instant` is
/// `linenthread_time`'s own, which no clock makes.
const ALLOWED_OF_STD_TIME: [&str; 2] = ["::Duration", "::{Duration}"];
/// The paths by which an `Instant` may be named, without blanks.
const ALLOWED_INSTANT: [&str; 2] = ["linenthread_time::Instant", "linenthread_time::{Instant"];
/// An `Instant` that is named by a path, or imported in a list.
const NAMED_INSTANT: [&str; 4] = ["::Instant", "{Instant,", ",Instant,", ",Instant}"];
/// The one source that defines an `Instant`.
const DEFINES_INSTANT: &str = "linenthread-time/src/lib.rs";
/// Where the daemon draws the number of an incarnation, and where it writes its log.
const READERS: [&str; 2] = ["incarnation.rs", "event_log.rs"];

fn sources(package: &str) -> Vec<PathBuf> {
    let mut folders = vec![
        Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("..")
            .join(package)
            .join("src"),
    ];
    let mut sources = Vec::new();
    while let Some(folder) = folders.pop() {
        for entry in std::fs::read_dir(folder).expect("the folder of a package") {
            let path = entry.expect("an entry of a folder").path();
            if path.is_dir() {
                folders.push(path);
            } else {
                sources.push(path);
            }
        }
    }
    sources
}

fn text(path: &Path) -> String {
    std::fs::read_to_string(path).expect("a source")
}

fn contains_any(path: &Path, names: &[&str]) -> bool {
    names.iter().any(|name| text(path).contains(name))
}

/// A source without its comments and blanks.
fn code(source: &str) -> String {
    source
        .lines()
        .map(|line| line.split("//").next().unwrap_or_default())
        .flat_map(str::split_whitespace)
        .collect()
}

/// Whether a source could read a clock: it names one of the standard library or of another package, or calls one.
fn reads_clock(source: &str) -> bool {
    let code = code(source);
    reads_clock_apart_from_instant(&code) || names_foreign_instant(&code)
}

/// Whether an `Instant` is named that is not `linenthread_time`'s.
fn names_foreign_instant(code: &str) -> bool {
    let imports_allowed = ALLOWED_INSTANT
        .iter()
        .any(|path| code.contains(&format!("use{path}")));
    let rest = ALLOWED_INSTANT
        .iter()
        .fold(code.to_owned(), |code, path| code.replace(path, ""));
    rest.contains("Instant") && !imports_allowed
        || NAMED_INSTANT.iter().any(|name| rest.contains(name))
}

/// The checks that also hold for the source that defines `Instant`.
fn reads_clock_apart_from_instant(code: &str) -> bool {
    let names_std_time = code.split("std::time").skip(1).any(|rest| {
        !ALLOWED_OF_STD_TIME
            .iter()
            .any(|allowed| rest.starts_with(allowed))
    });
    // A nested import could name a clock without `std::time`: none is needed.
    let has_nested_import = code.contains("std::{") || code.contains("core::{");
    names_std_time
        || has_nested_import
        || TIME_OF_DAY.iter().any(|name| code.contains(name))
        || READS.iter().any(|call| code.contains(call))
}

#[test]
fn control_and_consensus_read_no_clock() {
    for package in [
        "linenthread-time",
        "linenthread-control",
        "linenthread-consensus",
        "linenthread-messages",
        "linenthread-store",
    ] {
        let sources = sources(package);
        assert!(!sources.is_empty());
        for path in sources {
            let source = text(&path);
            let reads = if path.ends_with(DEFINES_INSTANT) {
                reads_clock_apart_from_instant(&code(&source))
            } else {
                reads_clock(&source)
            };
            assert!(!reads, "{} reads a clock", path.display());
        }
    }
}

#[test]
fn clocks_are_recognized_in_every_form_of_import() {
    for source in [
        "use std::time::Instant;",
        "use std::time::{Duration, Instant};",
        "use std::time;",
        "use std::time::*;",
        "use std::{fmt, time::Instant};",
        "let now = std::time::Instant::now();",
        "let now = Clock::now();",
        "let spent = since.elapsed();",
        "use linenthread_time::Instant; use std::time::Instant as Clock;",
        "fn tick(now: Instant) {}",
        "use std::time::SystemTime;",
        "// as linenthread_time has it\nuse quanta::Instant; let now = now.unwrap_or_else(Instant::now);",
        "// as linenthread_time has it\nuse quanta::Instant;",
        "use linenthread_time::Instant; fn tick(now: quanta::Instant) {}",
        "use linenthread_time::Instant; use quanta::{Clock, Instant};",
        "use linenthread_time::Instant; let spent = since.map(Clock::elapsed);",
        "use linenthread_time::Instant; let now = now.unwrap_or_else(Clock::now);",
    ] {
        assert!(reads_clock(source), "{source}");
    }
    for source in [
        "use std::time::Duration;",
        "use std::time::{Duration};",
        "use std::fmt;",
        "use linenthread_time::Instant;",
        "use linenthread_time::{Instant, whole_millis};",
        "use linenthread_time::Instant; // not std::time::Instant\nfn tick(now: Instant) {}",
    ] {
        assert!(!reads_clock(source), "{source}");
    }
}

#[test]
fn the_daemon_reads_the_time_of_day_only_for_the_number_of_an_incarnation_and_its_log() {
    for path in sources("linenthread-node")
        .into_iter()
        .filter(|path| contains_any(path, &TIME_OF_DAY))
    {
        assert!(
            READERS.iter().any(|reader| path.ends_with(reader)),
            "{} reads it",
            path.display()
        );
        assert_eq!(
            text(&path).matches("SystemTime::now").count(),
            usize::from(path.ends_with(READERS[0]))
        );
    }
}

fn node(name: &str, incarnation: u64) -> ControlNode {
    let local = NodeConfig {
        name: name.into(),
        zone: "z0".into(),
        incarnation: Incarnation::new(incarnation),
        control_address: format!("{name}:80"),
        voter_eligible: true,
        min_voters: 3,
        heartbeat_interval: Duration::from_secs(1),
        bootstrap: Vec::new(),
        is_genesis: false,
        retry_allowance: 1.0,
        retry_window: Duration::from_secs(1),
    };
    ControlNode::new(
        local,
        NodeId(incarnation),
        DurableState::default(),
        None,
        Instant::START,
    )
}

/// Two incarnations that draw one number hold no session with each other: neither votes for the other's proposals
/// or leases, which are told apart by that number. Each is as if partitioned from the other.
#[test]
fn two_incarnations_of_one_number_reject_each_other() {
    let (mut one, mut other) = (node("one", 7), node("other", 7));
    let (mut hello, mut response) = (Vec::new(), Vec::new());
    one.on_session_opened(SessionId(1), &mut hello);
    let Some(Effect::Send { message, .. }) = hello.pop() else {
        panic!("no hello")
    };
    let now = Instant::from_millis(1);
    other.on_message(now, SessionId(2), message, &mut response);
    assert!(matches!(response[..], [Effect::Close(SessionId(2))]));
}
