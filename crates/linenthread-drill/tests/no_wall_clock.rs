//! Jumps of the time of day can't reach control: none of its packages reads a clock, and the daemon reads the
//! time of day only to draw the number of a life, and for the times in its log.

use std::path::{Path, PathBuf};
use std::time::Duration;

use linenthread_consensus::DurableState;
use linenthread_control::{ControlNode, Effect, NodeConfig, SessionId};
use linenthread_time::Instant;

/// What reads the time of day.
const TIME_OF_DAY: [&str; 2] = ["SystemTime", "UNIX_EPOCH"];
/// All of the standard library's times that a state machine may name; `Instant` is `linenthread_time`'s own, which
/// no clock makes.
const STANDARD_TIMES: [&str; 2] = ["std::time::Duration", "std::time::{Duration}"];
/// Where the daemon draws the number of a life, and where it writes its log.
const READERS: [&str; 2] = ["control.rs", "logs.rs"];

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

fn has(path: &Path, words: &[&str]) -> bool {
    words.iter().any(|word| text(path).contains(word))
}

/// Whether the source could read a clock: it names one of the standard library, or calls `now` or `elapsed`.
fn reads_clock(path: &Path) -> bool {
    let code: String = text(path).split_whitespace().collect();
    let names = code.matches("std::time").count();
    let harmless: usize = STANDARD_TIMES
        .iter()
        .map(|name| code.matches(name).count())
        .sum();
    has(path, &TIME_OF_DAY)
        || names != harmless
        || code.contains("std::{")
        || code.contains("::now(")
        || code.contains(".elapsed(")
        || (code.contains("Instant")
            && !code.contains("linenthread_time")
            && !defines_instant(path))
}

/// `linenthread_time` itself is the one source that defines `Instant`.
fn defines_instant(path: &Path) -> bool {
    path.ends_with("linenthread-time/src/lib.rs")
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
            assert!(!reads_clock(&path), "{} reads a clock", path.display());
        }
    }
}

#[test]
fn the_daemon_reads_the_time_of_day_only_for_the_number_of_a_life_and_its_log() {
    for path in sources("linenthread-node")
        .into_iter()
        .filter(|path| has(path, &TIME_OF_DAY))
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

fn node(name: &str, life: u64) -> ControlNode {
    let local = NodeConfig {
        name: name.into(),
        zone: "z0".into(),
        incarnation: life,
        control_address: format!("{name}:80"),
        may_vote: true,
        min_voters: 3,
        heartbeat_interval: Duration::from_millis(1_000),
        bootstrap: Vec::new(),
        is_genesis: false,
        retry_allowance: 1.0,
        retry_window: Duration::from_millis(1_000),
    };
    ControlNode::new(local, life, DurableState::default(), None, Instant::START)
}

/// Two lives that draw one number hold no session with each other: neither votes for the other's ballots or
/// leases, which that number tells apart. One of them is as if cut off from the other.
#[test]
fn two_lives_of_one_number_refuse_each_other() {
    let (mut one, mut other) = (node("one", 7), node("other", 7));
    let (mut hello, mut answer) = (Vec::new(), Vec::new());
    one.on_session_opened(SessionId(1), &mut hello);
    let Some(Effect::Send { message: word, .. }) = hello.pop() else {
        panic!("no hello")
    };
    other.on_message(Instant::from_millis(1), SessionId(2), word, &mut answer);
    assert!(matches!(answer[..], [Effect::Close(SessionId(2))]));
}
