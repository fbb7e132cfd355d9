//! Jumps of the time of day can't reach control: none of its packages reads a clock, and the daemon reads the
//! time of day only to draw the number of a life, and for the times in its log.

use std::path::{Path, PathBuf};

use linenthread_consensus::DurableState;
use linenthread_control::{ControlNode, Effect, NodeConfig};

/// What reads a clock; the first is the time of day.
const CLOCKS: [&str; 3] = ["SystemTime", "UNIX_EPOCH", "Instant"];
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

#[test]
fn control_and_consensus_read_no_clock() {
    for package in [
        "linenthread-control",
        "linenthread-consensus",
        "linenthread-messages",
        "linenthread-store",
    ] {
        let sources = sources(package);
        assert!(!sources.is_empty());
        for path in sources {
            assert!(!has(&path, &CLOCKS), "{} reads a clock", path.display());
        }
    }
}

#[test]
fn the_daemon_reads_the_time_of_day_only_for_the_number_of_a_life_and_its_log() {
    for path in sources("linenthread-node")
        .into_iter()
        .filter(|path| has(path, &CLOCKS[..2]))
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
        heartbeat_interval: 1_000,
        bootstrap: Vec::new(),
        is_genesis: false,
        retry_allowance: 1.0,
        retry_window: 1_000,
    };
    ControlNode::new(local, life, DurableState::default(), None, 0)
}

/// Two lives that draw one number hold no session with each other: neither votes for the other's ballots or
/// leases, which that number tells apart. One of them is as if cut off from the other.
#[test]
fn two_lives_of_one_number_refuse_each_other() {
    let (mut one, mut other) = (node("one", 7), node("other", 7));
    let (mut hello, mut answer) = (Vec::new(), Vec::new());
    one.opened(1, &mut hello);
    let Some(Effect::Send { message: word, .. }) = hello.pop() else {
        panic!("no hello")
    };
    other.on_message(1, 2, word, &mut answer);
    assert!(matches!(answer[..], [Effect::Close(2)]));
}
