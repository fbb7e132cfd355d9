//! Runs the program under test, and builds its settings.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::thread::spawn;
use std::time::Duration;

use serde_json::{Value, json};
use tempfile::TempDir;

use crate::client::Client;
use crate::files::{temporary_folder, write_file};
use crate::wait;

/// The index with idempotent queries.
pub(crate) const FIND: &str = "find";
/// The index with non-idempotent queries.
pub(crate) const ORDER: &str = "order";

/// The settings of an index.
pub struct IndexSettings {
    /// The name of the index.
    pub name: &'static str,
    /// Whether its queries must be executed at most once.
    pub non_idempotent: bool,
    /// The soft deadline of its queries.
    pub soft_deadline: Duration,
    /// The minimum share of the query's weight that a partial response must cover. With 1.0, all responses are
    /// complete.
    pub floor: f64,
}

/// The indexes `find`, `order` (non-idempotent) and `swift` (soft deadline 700 ms), all with complete responses only.
const DEFAULT_INDEXES: [IndexSettings; 3] = [
    IndexSettings {
        name: FIND,
        non_idempotent: false,
        soft_deadline: Duration::from_secs(15),
        floor: 1.0,
    },
    IndexSettings {
        name: ORDER,
        non_idempotent: true,
        soft_deadline: Duration::from_secs(15),
        floor: 1.0,
    },
    IndexSettings {
        name: "swift",
        non_idempotent: false,
        soft_deadline: Duration::from_millis(700),
        floor: 1.0,
    },
];

/// Returns the settings of the indexes `find` and `order` (non-idempotent), with complete responses only.
pub(crate) fn find_and_order(soft_deadline: Duration) -> [IndexSettings; 2] {
    let index = |name, non_idempotent| IndexSettings {
        name,
        non_idempotent,
        soft_deadline,
        floor: 1.0,
    };
    [index(FIND, false), index(ORDER, true)]
}

/// Converts a duration to whole milliseconds.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).expect("durations in the settings are short")
}

/// Returns settings with this number of replica groups, where two neighbouring groups hold each shard.
fn settings(indexes: &[IndexSettings], groups: usize, shards: usize) -> Value {
    let class = |index: &IndexSettings| {
        json!({"name": index.name, "idempotency": if index.non_idempotent { "unsafe" } else { "safe" },
               "promise-ms": millis(index.soft_deadline), "worth": 1.0, "late-share": 0.0, "deadline-ms": 20000,
               "window-ms": 5000})
    };
    let each =
        |value: &dyn Fn(&IndexSettings) -> f64| -> Vec<f64> { indexes.iter().map(value).collect() };
    json!({
        "me": 0, "balancers": 1, "membership-mode": "pushed", "dcs": ["a"], "tick-ms": 5,
        "classes": indexes.iter().map(class).collect::<Vec<_>>(),
        "accounts": [{"name": "acme", "quota-rps": 100.0, "share": 1.0}],
        "family-info": {"cells": groups, "in-a-row": 2, "ranges": shards, "parts-a-call": 1,
                        "need-by-class": each(&|_| 1.0), "floor-by-class": each(&|index| index.floor),
                        "incomplete-worth": each(&|index| if index.floor < 1.0 { 0.9 } else { 0.0 }),
                        "fetch-parts": each(&|_| 0.0)},
        "allowed": {"max-attempts": 3, "second-copies": true, "cancel": true, "probes": true,
                    "retry-after": true, "max-retry-after-ms": 2000, "streams-per-conn": 100,
                    "connect-timeout-ms": 250, "conn-idle-ms": 15000},
        "safety": {"cold-share": 0.2, "warm-up-ms": 1000, "fall-multiple": 2, "tip-after-ms": 1000},
        "telemetry": {"names": ["queue"], "source": "answers"}
    })
}

/// Returns the contents of `config.json` with two replica groups, each of which holds all four shards.
///
/// # Panics
///
/// If `known` is not JSON.
pub fn config(discovery: SocketAddr, known: &str) -> Value {
    config_with_indexes(discovery, known, &DEFAULT_INDEXES, 2, 4)
}

/// Returns the contents of `config.json` with these indexes, and these numbers of replica groups and shards.
///
/// # Panics
///
/// If `known` is not JSON.
pub fn config_with_indexes(
    discovery: SocketAddr,
    known: &str,
    indexes: &[IndexSettings],
    groups: usize,
    shards: usize,
) -> Value {
    json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "8c1f30d27a5be964",
           "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
           "known": serde_json::from_str::<Value>(known).expect("a membership is JSON"),
           "settings": settings(indexes, groups, shards)})
}

/// Runs a command of the program with a configuration file, and waits until it exits.
///
/// # Panics
///
/// If the program cannot be run.
pub fn program(exe: &str, command: &[&str], config: &str) -> std::process::Output {
    let folder = temporary_folder();
    let file = folder.path().join("config.json");
    write_file(&file, config);
    let mut program = Command::new(exe);
    program.args(command);
    match command {
        ["serve", ..] => program.env("EDGE_CONFIG", &file),
        _ => program.arg(&file),
    };
    program
        .output()
        .unwrap_or_else(|error| panic!("cannot run {exe}: {error}"))
}

/// A process of the program under test, killed when dropped.
pub struct Service {
    /// The process.
    pub child: Child,
    /// The address on which it accepts queries.
    pub address: SocketAddr,
    folder: TempDir,
    lines: Receiver<String>,
}

/// Sends a signal to a process. `name` is an option of `kill`, such as `-TERM`.
pub(crate) fn send_signal(process: u32, name: &str) {
    let status = Command::new("kill")
        .args([name, &process.to_string()])
        .status()
        .expect("kill can be run");
    assert!(
        status.success(),
        "signal {name} cannot be sent to process {process}"
    );
}

/// Returns the value of a field in a log line.
fn field<'l>(line: &'l str, name: &str) -> Option<&'l str> {
    let (_, rest) = line.split_once(&format!("{name}="))?;
    rest.split(' ').next()
}

impl Service {
    /// Starts the program with a configuration and waits until it serves.
    ///
    /// # Panics
    ///
    /// If the process cannot be started, or does not serve in time.
    pub fn start(exe: &str, config: &Value) -> Service {
        Service::start_in(temporary_folder(), exe, config, &[])
    }

    /// Starts the program in a folder that may hold further files, with further arguments, and waits until it serves.
    ///
    /// # Panics
    ///
    /// If the process cannot be started, or does not serve in time.
    pub fn start_in(folder: TempDir, exe: &str, config: &Value, arguments: &[&str]) -> Service {
        let file = folder.path().join("config.json");
        write_file(&file, &config.to_string());
        let mut program = Command::new(exe);
        program
            .arg("serve")
            .args(arguments)
            .env("EDGE_CONFIG", &file)
            .current_dir(folder.path());
        let mut child = program
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap_or_else(|error| panic!("cannot start {exe}: {error}"));
        let (line_sender, lines) = channel();
        let stderr = child.stderr.take().expect("the log is piped");
        let log = BufReader::new(stderr);
        spawn(move || {
            log.lines()
                .map_while(Result::ok)
                .try_for_each(|line| line_sender.send(line))
        });
        let mut service = Service {
            child,
            address: ([127, 0, 0, 1], 0).into(),
            folder,
            lines,
        };
        let line = service.wait_for_log("serving");
        service.address = field(&line, "listen")
            .and_then(|address| address.parse().ok())
            .expect("the log line contains the listen address");
        service
    }

    /// Returns the path of a file in the process's folder.
    pub fn file(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    /// Waits for the next log line. Returns `None` if none arrives in time or the log has ended.
    pub fn next_log_line(&self) -> Option<String> {
        self.lines.recv_timeout(crate::EVENT_TIMEOUT).ok()
    }

    /// Waits for the next log line that contains this text.
    ///
    /// # Panics
    ///
    /// If no such line arrives in time.
    pub fn wait_for_log(&self, text: &str) -> String {
        loop {
            let line = wait(&self.lines, text);
            if line.contains(text) {
                return line;
            }
        }
    }

    /// Sends a signal to the process. `name` is an option of `kill`, such as `-TERM`.
    ///
    /// # Panics
    ///
    /// If the process has ended.
    pub fn signal(&self, name: &str) {
        send_signal(self.child.id(), name);
    }

    /// Replaces the configuration file and signals the process to reload it.
    ///
    /// # Panics
    ///
    /// If the file cannot be written, or the process has ended.
    pub fn reload(&self, config: &str) {
        write_file(&self.file("config.json"), config);
        self.signal("-HUP");
    }

    /// Opens a client connection.
    ///
    /// # Panics
    ///
    /// If the program does not accept the connection.
    pub fn connect(&self) -> Client {
        Client::connect(self.address)
    }

    /// Sends a query on a new connection.
    ///
    /// # Panics
    ///
    /// If the program does not accept the connection.
    pub fn query(&self, index: &str, id: &str, shards: &[usize]) -> Client {
        let mut client = self.connect();
        client.query(index, id, shards);
        client
    }
}

impl Drop for Service {
    fn drop(&mut self) {
        self.child.kill().ok();
        for line in &self.lines {
            if std::thread::panicking() {
                println!("{line}");
            }
        }
        self.child.wait().ok();
    }
}
