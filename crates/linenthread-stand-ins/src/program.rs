//! The program under test, and what it is configured with.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::thread::spawn;

use serde_json::{Value, json};
use tempfile::TempDir;

use crate::client::Client;
use crate::wait;

/// An index of a configuration.
pub struct Class {
    pub name: &'static str,
    pub once_only: bool,
    pub soft_ms: u64,
    pub floor: f64,
}

/// The indexes `find`, `order` (once-only), `swift` (700 ms), all whole only.
const CLASSES: [Class; 3] = [
    Class {
        name: "find",
        once_only: false,
        soft_ms: 15_000,
        floor: 1.0,
    },
    Class {
        name: "order",
        once_only: true,
        soft_ms: 15_000,
        floor: 1.0,
    },
    Class {
        name: "swift",
        once_only: false,
        soft_ms: 700,
        floor: 1.0,
    },
];

/// Settings of so many cells, each with shards of two in a row.
fn settings(classes: &[Class], cells: usize, shards: usize) -> Value {
    let class = |c: &Class| {
        json!({"name": c.name, "idempotency": if c.once_only { "unsafe" } else { "safe" },
               "promise-ms": c.soft_ms, "worth": 1.0, "late-share": 0.0, "deadline-ms": 20000,
               "window-ms": 5000})
    };
    let each = |of: &dyn Fn(&Class) -> f64| -> Vec<f64> { classes.iter().map(of).collect() };
    json!({
        "me": 0, "balancers": 1, "membership-mode": "pushed", "dcs": ["a"], "tick-ms": 5,
        "classes": classes.iter().map(class).collect::<Vec<_>>(),
        "accounts": [{"name": "acme", "quota-rps": 100.0, "share": 1.0}],
        "family-info": {"cells": cells, "in-a-row": 2, "ranges": shards, "parts-a-call": 1,
                        "need-by-class": each(&|_| 1.0), "floor-by-class": each(&|c| c.floor),
                        "incomplete-worth": each(&|c| if c.floor < 1.0 { 0.9 } else { 0.0 }),
                        "fetch-parts": each(&|_| 0.0)},
        "allowed": {"max-attempts": 3, "second-copies": true, "cancel": true, "probes": true,
                    "retry-after": true, "max-retry-after-ms": 2000, "streams-per-conn": 100,
                    "connect-timeout-ms": 250, "conn-idle-ms": 15000},
        "safety": {"cold-share": 0.2, "warm-up-ms": 1000, "fall-multiple": 2, "tip-after-ms": 1000},
        "telemetry": {"names": ["queue"], "source": "answers"}
    })
}

/// A configuration of two cells, each with all four shards.
pub fn config(roster: SocketAddr, known: &str) -> Value {
    config_of(roster, known, &CLASSES, 2, 4)
}

pub fn config_of(
    roster: SocketAddr,
    known: &str,
    classes: &[Class],
    cells: usize,
    shards: usize,
) -> Value {
    json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": roster.to_string(), "seed": "8c1f30d27a5be964",
           "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
           "known": serde_json::from_str::<Value>(known).unwrap(),
           "settings": settings(classes, cells, shards)})
}

/// Runs the program on a configuration, with the command before its file.
pub fn program(exe: &str, command: &[&str], config: &str) -> std::process::Output {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("config.json");
    std::fs::write(&file, config).unwrap();
    let mut program = Command::new(exe);
    program.args(command);
    match command {
        ["serve", ..] => program.env("EDGE_CONFIG", &file),
        _ => program.arg(&file),
    };
    program.output().unwrap()
}

/// The program under test, ended with the test.
pub struct Service {
    pub child: Child,
    pub address: SocketAddr,
    folder: TempDir,
    lines: Receiver<String>,
}

impl Service {
    pub fn start(exe: &str, config: &Value) -> Service {
        Service::start_in(tempfile::tempdir().unwrap(), exe, config, &[])
    }

    /// With files in a folder of its own and further words on its command line, which is run there.
    pub fn start_in(folder: TempDir, exe: &str, config: &Value, words: &[&str]) -> Service {
        let file = folder.path().join("config.json");
        std::fs::write(&file, config.to_string()).unwrap();
        let mut program = Command::new(exe);
        program
            .arg("serve")
            .args(words)
            .env("EDGE_CONFIG", &file)
            .current_dir(folder.path());
        let mut child = program
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let (to, lines) = channel();
        let log = BufReader::new(child.stderr.take().unwrap());
        spawn(move || {
            log.lines()
                .map_while(Result::ok)
                .try_for_each(|line| to.send(line))
        });
        let mut service = Service {
            child,
            address: ([127, 0, 0, 1], 0).into(),
            folder,
            lines,
        };
        let line = service.logged("serving");
        let listen = line
            .split("listen=")
            .nth(1)
            .unwrap()
            .split(' ')
            .next()
            .unwrap();
        service.address = listen.parse().unwrap();
        service
    }

    /// A file beside its configuration.
    pub fn file(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    /// The next log line, if one comes in time.
    pub fn line(&self) -> Option<String> {
        self.lines.recv_timeout(crate::PATIENCE).ok()
    }

    /// The next log line with these words.
    pub fn logged(&self, words: &str) -> String {
        loop {
            let line = wait(&self.lines, words);
            if line.contains(words) {
                return line;
            }
        }
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(
            Command::new("kill")
                .args([name, &id])
                .status()
                .unwrap()
                .success()
        );
    }

    /// Has the program read a new configuration.
    pub fn reload(&self, config: &str) {
        std::fs::write(self.file("config.json"), config).unwrap();
        self.signal("-HUP");
    }

    pub fn connect(&self) -> Client {
        Client::connect(self.address)
    }

    /// Sends a lookup on a connection of its own.
    pub fn ask(&self, index: &str, id: &str, shards: &[usize]) -> Client {
        let mut client = self.connect();
        client.ask(index, id, shards);
        client
    }
}

impl Drop for Service {
    fn drop(&mut self) {
        self.child.kill().ok();
        // What it said is of use where a test has failed.
        self.lines
            .iter()
            .filter(|_| std::thread::panicking())
            .for_each(|line| println!("{line}"));
        self.child.wait().ok();
    }
}
