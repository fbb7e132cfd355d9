//! Jumps of the time of day affect only usage reports. No package of the control plane reads a clock, and the daemon
//! reads the time of day only to draw the number of an incarnation, for the times in its log, and to pass the reading
//! of the machine's clock to the state machine of a control node.
//!
//! The state machine needs that reading because the windows of usage reports are windows of the time of day, as the
//! users' page requires. Nothing else may depend on it: it is read in one place, passed on in one place, and named only
//! by the sources that agree on the time of day. Consensus, leases and storage do not use it.

use std::path::{Path, PathBuf};
use std::time::Duration;

use linenthread_consensus::{DurableState, NodeId};
use linenthread_control::{ControlNode, Effect, Incarnation, NodeConfig, SessionId};
use linenthread_time::Instant;

/// Names of the standard library for the time of day.
const TIME_OF_DAY: [&str; 2] = ["SystemTime", "UNIX_EPOCH"];
/// Ways to read a clock under any imported name: calls, and functions passed as values.
const READS: [&str; 3] = ["::now", "elapsed", "Instantas"];
/// The only item of `std::time` that a state machine may name: a duration is not a point in time. State machines use
/// the `Instant` of `linenthread_time`, which cannot read a clock.
const ALLOWED_OF_STD_TIME: [&str; 2] = ["::Duration", "::{Duration}"];
/// Permitted paths of `Instant`, without whitespace.
const ALLOWED_INSTANT: [&str; 2] = ["linenthread_time::Instant", "linenthread_time::{Instant"];
/// Forms of an `Instant` that is named by a path or imported in a list, without whitespace.
const NAMED_INSTANT: [&str; 4] = ["::Instant", "{Instant,", ",Instant,", ",Instant}"];
/// Package that defines `linenthread_time::Instant`, and the source file that does.
const DEFINING_PACKAGE: &str = "linenthread-time";
const DEFINES_INSTANT: &str = "linenthread-time/src/lib.rs";
/// Sources of the daemon that name the time of day, and how often each reads it: to draw the number of an incarnation,
/// to format the time that the log has read, and to read the clock for usage reports.
const READERS: [(&str, usize); 3] = [
    ("incarnation.rs", 1),
    ("event_log.rs", 0),
    ("wall_clock.rs", 1),
];
/// The only source of the daemon that reads the clock for usage reports through the module `wall_clock`.
const READS_WALL_CLOCK: &str = "control/task.rs";
/// Names for the time of day in state machines: its types, and the functions that return the agreed time.
const TIME_OF_DAY_NAMES: [&str; 4] = ["WallTime", "ClockOffset", "agreed_offset", "wall_time("];
/// Sources that contain one of these names: those that agree on the time of day, the client that passes it to the usage
/// counter, the sender of usage reports, and the daemon's reader of the clock.
const NAME_TIME_OF_DAY: [&str; 7] = [
    "linenthread-control/src/agreed_time.rs",
    "linenthread-control/src/control_node.rs",
    "linenthread-control/src/control_node/heartbeats.rs",
    "linenthread-control/src/control_node/usage.rs",
    "linenthread-control/src/peer_heartbeat.rs",
    "linenthread-node/src/control_client/session.rs",
    "linenthread-node/src/wall_clock.rs",
];
/// Types for windows of usage reports.
const WINDOW_NAMES: [&str; 2] = ["WindowLength", "WindowNumber"];
/// Sources that contain one of these names: settings, usage reports, and the consensus on them, which treats a window
/// as a number.
const NAME_WINDOWS: [&str; 11] = [
    "linenthread-consensus/src/change.rs",
    "linenthread-consensus/src/decided_state.rs",
    "linenthread-consensus/src/proposal.rs",
    "linenthread-consensus/src/register.rs",
    "linenthread-control/src/config.rs",
    "linenthread-control/src/control_node/usage.rs",
    "linenthread-control/src/event.rs",
    "linenthread-control/src/usage_body.rs",
    "linenthread-control/src/usage_duty.rs",
    "linenthread-control/src/usage_ledger.rs",
    "linenthread-node/src/control/mod.rs",
];

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

/// Returns a source without comments and whitespace.
fn code(source: &str) -> String {
    source
        .lines()
        .map(|line| line.split("//").next().unwrap_or_default())
        .flat_map(str::split_whitespace)
        .collect()
}

/// Reduces import lists of `linenthread_time` that contain `Instant` to an import of `Instant` alone.
fn with_instant_imported_alone(code: &str) -> String {
    const LIST: &str = "uselinenthread_time::{";
    let mut pieces = code.split(LIST);
    let mut cut = pieces.next().unwrap_or_default().to_owned();
    for piece in pieces {
        match piece.split_once("};") {
            Some((names, rest)) if names.split(',').any(|name| name == "Instant") => {
                cut.push_str("uselinenthread_time::Instant;");
                cut.push_str(rest);
            }
            _ => {
                cut.push_str(LIST);
                cut.push_str(piece);
            }
        }
    }
    cut
}

/// Reports whether a source could read a clock: it names one of the standard library or of another package, or calls
/// one.
fn reads_clock(source: &str) -> bool {
    let code = code(source);
    reads_clock_apart_from_instant(&code)
        || names_foreign_instant(&with_instant_imported_alone(&code))
}

/// The same for modules of the package that defines `Instant`, which name it by its path within the package.
fn reads_clock_beside_instant(source: &str) -> bool {
    reads_clock(&source.replace("crate::", "linenthread_time::"))
}

/// Reports whether the code names an `Instant` other than that of `linenthread_time`.
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

/// Reports whether the code could read a clock, apart from its use of `Instant`. This check also applies to the source
/// that defines `Instant`.
fn reads_clock_apart_from_instant(code: &str) -> bool {
    let names_std_time = code.split("std::time").skip(1).any(|rest| {
        !ALLOWED_OF_STD_TIME
            .iter()
            .any(|allowed| rest.starts_with(allowed))
    });
    // A nested import could name a clock without `std::time`, and no source needs one.
    let has_nested_import = code.contains("std::{") || code.contains("core::{");
    names_std_time
        || has_nested_import
        || TIME_OF_DAY.iter().any(|name| code.contains(name))
        || READS.iter().any(|call| code.contains(call))
}

#[test]
fn control_and_consensus_read_no_clock() {
    for package in [
        DEFINING_PACKAGE,
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
            } else if package == DEFINING_PACKAGE {
                reads_clock_beside_instant(&source)
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
        "use linenthread_time::{ClockOffset}; use quanta::{Clock, Instant};",
        "use linenthread_time::{ClockOffset, Instant}; fn tick(now: quanta::Instant) {}",
        "use linenthread_time::{ClockOffset, Instant}; use quanta::{Clock, Instant};",
        "use linenthread_time::{ClockOffset, Instant as Time}; fn tick(now: Time) {}",
        "use linenthread_time::{ClockOffset as Instant}; fn tick(now: Instant) {}",
        "use linenthread_time::{clock::{Instant}, WallTime}; fn tick(now: Instant) {}",
    ] {
        assert!(reads_clock(source), "{source}");
    }
    for source in [
        "use std::time::Duration;",
        "use std::time::{Duration};",
        "use std::fmt;",
        "use linenthread_time::Instant;",
        "use linenthread_time::{Instant, whole_millis};",
        "use linenthread_time::{ClockOffset, Instant, WallTime}; fn tick(now: Instant) {}",
        "use linenthread_time::Instant; // not std::time::Instant\nfn tick(now: Instant) {}",
    ] {
        assert!(!reads_clock(source), "{source}");
    }
}

/// `crate::Instant` is permitted only in the package that defines `Instant`, and clocks are recognized there as well.
#[test]
fn crate_instant_is_permitted_only_in_the_defining_package() {
    let crate_instant = "use crate::Instant; fn tick(now: Instant) {}";
    assert!(!reads_clock_beside_instant(crate_instant));
    assert!(!reads_clock_beside_instant(
        "use crate::{Instant, whole_millis};"
    ));
    assert!(reads_clock(crate_instant));
    for source in [
        "use crate::Instant; use std::time::Instant as Clock;",
        "use crate::Instant; fn tick(now: quanta::Instant) {}",
        "use crate::Instant; let now = Clock::now();",
        "use quanta::Instant;",
    ] {
        assert!(reads_clock_beside_instant(source), "{source}");
    }
}

#[test]
fn the_daemon_reads_the_time_of_day_only_for_incarnations_its_log_and_usage_reports() {
    let mut readers = 0;
    for path in sources("linenthread-node")
        .into_iter()
        .filter(|path| contains_any(path, &TIME_OF_DAY))
    {
        let reader = READERS.iter().find(|(reader, _)| path.ends_with(reader));
        let Some((_, reads)) = reader else {
            panic!("{} reads the time of day", path.display());
        };
        assert_eq!(text(&path).matches("SystemTime::now").count(), *reads);
        readers += 1;
    }
    assert_eq!(readers, READERS.len());
}

#[test]
fn only_the_control_task_reads_the_wall_clock_for_usage_reports_and_in_one_place() {
    let mut readers = 0;
    for path in sources("linenthread-node") {
        let code = code(&text(&path));
        // Uses of the module by path or import.
        let names = code.matches("wall_clock").count();
        if path.ends_with(READS_WALL_CLOCK) {
            assert!(code.contains("usecrate::wall_clock;"));
            assert_eq!(code.matches("wall_clock::").count(), 1);
            assert!(code.contains("self.control.observe_wall_clock(now,wall_clock::now());"));
            assert_eq!(names, 3);
            readers += 1;
        } else if path.ends_with("main.rs") {
            assert!(code.contains("modwall_clock;"));
            assert_eq!(names, 1);
        } else {
            assert_eq!(names, 0, "{} names the module wall_clock", path.display());
        }
    }
    assert_eq!(readers, 1);
}

/// Returns the sources of the daemon and the control plane whose code contains any of these names, as
/// `package/src/path`.
fn sources_naming(names: &[&str]) -> Vec<String> {
    let mut naming = Vec::new();
    for package in [
        "linenthread-node",
        "linenthread-control",
        "linenthread-consensus",
        "linenthread-messages",
        "linenthread-store",
    ] {
        for path in sources(package) {
            let code = code(&text(&path));
            if names.iter().any(|name| code.contains(name)) {
                let path = path.to_string_lossy().into_owned();
                let start = path.rfind(package).expect("a path in the package");
                naming.push(path[start..].to_owned());
            }
        }
    }
    naming.sort();
    naming
}

#[test]
fn only_sources_for_usage_reports_name_the_time_of_day_and_windows() {
    assert_eq!(sources_naming(&TIME_OF_DAY_NAMES), NAME_TIME_OF_DAY);
    assert_eq!(sources_naming(&WINDOW_NAMES), NAME_WINDOWS);
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
        usage: None,
    };
    ControlNode::new(
        local,
        NodeId(incarnation),
        DurableState::default(),
        None,
        Instant::START,
    )
}

/// Guards against two incarnations that draw the same number and then vote for each other's proposals or leases, which
/// are distinguished only by that number. They must reject sessions with each other, as if they were partitioned.
#[test]
fn incarnations_with_the_same_number_reject_each_other() {
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
