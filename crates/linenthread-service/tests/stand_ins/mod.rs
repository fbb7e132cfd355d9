//! Stand-ins for what is round a co-ordinator: replicas, the roster, a client. They wait for what happens,
//! and for at most [`PATIENCE`].

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::spawn;
use std::time::Duration;

use serde_json::{Value, json};

pub const PATIENCE: Duration = Duration::from_secs(10);

fn wait<T>(from: &Receiver<T>, for_what: &str) -> T {
    from.recv_timeout(PATIENCE).unwrap_or_else(|_| panic!("{for_what} did not come"))
}

/// A part that arrived at a replica.
#[derive(Debug)]
pub struct Part {
    pub replica: usize,
    /// Which part call of its connection brought it.
    pub frame: usize,
    pub id: String,
    pub shard: usize,
    pub list: String,
    pub text: String,
    line: TcpStream,
}

impl Part {
    pub fn say(&self, letter: u8, rest: &str) {
        assert!(
            self.bytes(&[&(rest.len() as u32 + 1).to_be_bytes()[..], &[letter], rest.as_bytes()].concat())
        );
    }

    /// Says anything at all, and whether the other side still takes it.
    pub fn bytes(&self, bytes: &[u8]) -> bool {
        (&self.line).write_all(bytes).is_ok()
    }

    pub fn answer(&self, value: &str) {
        self.say(b'E', &format!("{} hit 17 queue=0\n{value}", self.id));
    }

    /// The other end of the connection that the part came on.
    pub fn from(&self) -> SocketAddr {
        self.line.peer_addr().unwrap()
    }

    /// Waits until the other side has ended that connection.
    pub fn ended(&self) -> bool {
        self.line.set_read_timeout(Some(PATIENCE)).unwrap();
        self.line.peek(&mut [0]).is_ok_and(|n| n == 0)
    }

    /// Ends the connection that the part came on.
    pub fn cut(&self) {
        self.line.shutdown(Shutdown::Both).unwrap();
    }
}

enum Heard {
    Part(Part),
    GivenUp(String),
}

/// Replicas that leave each answer to the test; probes are answered at once.
pub struct Fleet {
    pub addresses: Vec<SocketAddr>,
    /// So many connections that have been used end at the next byte that comes on them.
    pub faint: Arc<AtomicUsize>,
    heard: Receiver<Heard>,
}

impl Fleet {
    pub fn start(n: usize) -> Fleet {
        let (to, heard) = channel();
        let faint = Arc::new(AtomicUsize::new(0));
        let start = |replica| {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            let (address, to, faint) = (listener.local_addr().unwrap(), to.clone(), faint.clone());
            spawn(move || {
                for line in listener.incoming() {
                    let (to, faint) = (to.clone(), faint.clone());
                    spawn(move || hear(replica, line.unwrap(), to, &faint));
                }
            });
            address
        };
        Fleet { addresses: (0..n).map(start).collect(), faint, heard }
    }

    pub fn part(&self) -> Part {
        match wait(&self.heard, "a part") {
            Heard::Part(part) => part,
            Heard::GivenUp(id) => panic!("{id} is given up"),
        }
    }

    pub fn given_up(&self) -> String {
        match wait(&self.heard, "a part given up") {
            Heard::GivenUp(id) => id,
            Heard::Part(part) => panic!("{} is sent", part.id),
        }
    }

    /// What else has come: ids of parts, and of those given up.
    pub fn rest(&self) -> Vec<String> {
        let word = |heard| match heard {
            Heard::Part(part) => part.id,
            Heard::GivenUp(id) => format!("{id} given up"),
        };
        self.heard.try_iter().map(word).collect()
    }
}

/// The parts of one part call: id, shard, list and text of each.
fn parts(mut rest: &str) -> Vec<[&str; 4]> {
    let mut parts = Vec::new();
    while let Some((head, tail)) = rest.split_once('\n') {
        let [id, shard, list, length] = head.split(' ').collect::<Vec<_>>()[..] else { panic!("{head}") };
        let (text, next) = tail.split_at(length.parse().unwrap());
        parts.push([id, shard, list, text]);
        rest = next;
    }
    parts
}

fn hear(replica: usize, mut line: TcpStream, to: Sender<Heard>, faint: &AtomicUsize) {
    let mut frames = 0;
    loop {
        let mut head = [0; 5];
        let came = line.peek(&mut [0]).is_ok_and(|n| n > 0);
        if came
            && frames > 0
            && faint.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |n| n.checked_sub(1)).is_ok()
        {
            line.shutdown(Shutdown::Both).ok();
            return;
        }
        if line.read_exact(&mut head).is_err() {
            return;
        }
        let mut rest = vec![0; u32::from_be_bytes(head[..4].try_into().unwrap()) as usize - 1];
        if line.read_exact(&mut rest).is_err() {
            return;
        }
        let rest = String::from_utf8(rest).unwrap();
        let heard = match head[4] {
            b'A' => {
                frames += 1;
                for part in parts(&rest) {
                    let [id, shard, list, text] = part.map(str::to_owned);
                    let (shard, line) = (shard.parse().unwrap(), line.try_clone().unwrap());
                    let part = Part { replica, frame: frames, id, shard, list, text, line };
                    if to.send(Heard::Part(part)).is_err() {
                        return;
                    }
                }
                continue;
            }
            b'B' => Heard::GivenUp(rest),
            b'D' => {
                line.write_all(b"\0\0\0\x08Dqueue=0").unwrap();
                continue;
            }
            other => panic!("a frame with the letter {other}"),
        };
        if to.send(heard).is_err() {
            return;
        }
    }
}

/// A roster that gives its whole list when asked, and leaves each watch to the test.
pub struct Roster {
    pub address: SocketAddr,
    watches: Receiver<TcpStream>,
}

impl Roster {
    pub fn start(whole: String) -> Roster {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (to, watches) = channel();
        spawn(move || {
            for line in listener.incoming() {
                let (line, to, whole) = (line.unwrap(), to.clone(), whole.clone());
                spawn(move || {
                    let mut read = BufReader::new(line.try_clone().unwrap());
                    while let Some((first, _, _)) = message(&mut read) {
                        match first.contains("from=") {
                            true => to.send(line.try_clone().unwrap()).unwrap(),
                            false => respond(&line, &whole),
                        }
                    }
                });
            }
        });
        Roster { address, watches }
    }

    /// Waits until a watch is held, and then until the other side has ended it.
    pub fn left(&self) -> bool {
        let line = wait(&self.watches, "a watch");
        line.set_read_timeout(Some(PATIENCE)).unwrap();
        line.peek(&mut [0]).is_ok_and(|n| n == 0)
    }

    /// Answers the watch that is held, or the next.
    pub fn tell(&self, body: &str) {
        respond(&wait(&self.watches, "a watch"), body);
    }
}

fn respond(mut line: &TcpStream, body: &str) {
    line.write_all(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).as_bytes())
        .unwrap();
}

/// One HTTP message: its first line, its headers in small letters, its body.
fn message(from: &mut impl BufRead) -> Option<(String, Vec<String>, String)> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if from.read_line(&mut line).ok()? == 0 {
            return None;
        }
        match line.trim_end() {
            "" => break,
            line if lines.is_empty() => lines.push(line.to_owned()),
            line => lines.push(line.to_ascii_lowercase()),
        }
    }
    let length = lines.iter().find_map(|l| l.strip_prefix("content-length: ")?.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    from.read_exact(&mut body).ok()?;
    Some((lines.remove(0), lines, String::from_utf8(body).ok()?))
}

pub fn entry(id: usize, address: SocketAddr, phase: &str) -> Value {
    json!({"id": format!("s-{id}"), "host_port": address.to_string(), "locality": "a", "flavor": "m",
           "cell": id, "phase": phase, "size": 1.0, "up_since_ms": 0})
}

pub fn list(revision: u64, whole: bool, members: Vec<Value>) -> String {
    json!({"revision": revision, "complete": whole, "members": members}).to_string()
}

/// Settings of two cells, each with all four shards; indexes `find`, `order` (once-only), `swift` (700 ms).
fn settings() -> Value {
    let class = |name: &str, runs: &str, soft: u64| {
        json!({"name": name, "idempotency": runs, "promise-ms": soft, "worth": 1.0, "late-share": 0.0,
               "deadline-ms": 20000, "window-ms": 5000})
    };
    json!({
        "me": 0, "balancers": 1, "membership-mode": "pushed", "dcs": ["a"], "tick-ms": 5,
        "classes": [class("find", "safe", 15000), class("order", "unsafe", 15000),
                    class("swift", "safe", 700)],
        "accounts": [{"name": "acme", "quota-rps": 100.0, "share": 1.0}],
        "family-info": {"cells": 2, "in-a-row": 2, "ranges": 4, "parts-a-call": 1, "need-by-class": [1, 1, 1],
                        "floor-by-class": [1, 1, 1], "incomplete-worth": [0, 0, 0], "fetch-parts": [0, 0, 0]},
        "allowed": {"max-attempts": 3, "second-copies": true, "cancel": true, "probes": true,
                    "retry-after": true, "max-retry-after-ms": 2000, "streams-per-conn": 100,
                    "connect-timeout-ms": 250, "conn-idle-ms": 15000},
        "safety": {"cold-share": 0.2, "warm-up-ms": 1000, "fall-multiple": 2, "tip-after-ms": 1000},
        "telemetry": {"names": ["queue"], "source": "answers"}
    })
}

pub fn config(roster: SocketAddr, known: &str) -> Value {
    json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": roster.to_string(), "seed": "8c1f30d27a5be964",
           "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
           "known": serde_json::from_str::<Value>(known).unwrap(), "settings": settings()})
}

/// Runs the program on a configuration, with the command before its file.
pub fn program(command: &[&str], config: &str) -> Child {
    program_and_file(command, config).0
}

fn program_and_file(command: &[&str], config: &str) -> (Child, PathBuf) {
    static STARTS: AtomicUsize = AtomicUsize::new(0);
    let number = STARTS.fetch_add(1, Ordering::Relaxed);
    let file =
        Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("config-{}-{number}.json", std::process::id()));
    std::fs::write(&file, config).unwrap();
    let mut program = Command::new(env!("CARGO_BIN_EXE_linenthread"));
    match command {
        ["serve"] => program.arg("serve").env("EDGE_CONFIG", &file),
        _ => program.args(command).arg(&file),
    };
    (program.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().unwrap(), file)
}

/// The program under test, ended with the test.
pub struct Service {
    pub child: Child,
    pub address: SocketAddr,
    file: PathBuf,
    lines: Receiver<String>,
}

impl Service {
    pub fn start(config: &Value) -> Service {
        let (mut child, file) = program_and_file(&["serve"], &config.to_string());
        let (to, lines) = channel();
        let log = BufReader::new(child.stderr.take().unwrap());
        spawn(move || log.lines().map_while(Result::ok).try_for_each(|line| to.send(line)));
        let mut service = Service { child, address: ([127, 0, 0, 1], 0).into(), file, lines };
        let line = service.logged("serving");
        let listen = line.split("listen=").nth(1).unwrap().split(' ').next().unwrap();
        service.address = listen.parse().unwrap();
        service
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
        assert!(Command::new("kill").args([name, &id]).status().unwrap().success());
    }

    /// Has the program read a new configuration.
    pub fn reload(&self, config: &str) {
        std::fs::write(&self.file, config).unwrap();
        self.signal("-HUP");
    }

    pub fn connect(&self) -> Client {
        let line = TcpStream::connect(self.address).unwrap();
        line.set_read_timeout(Some(PATIENCE)).unwrap();
        Client(BufReader::new(line))
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
        self.lines.iter().for_each(|line| println!("{line}"));
        self.child.wait().ok();
    }
}

pub struct Client(BufReader<TcpStream>);

/// A lookup's request.
pub fn request(index: &str, id: &str, shards: &[usize]) -> String {
    let part = |shard| json!({"bucket": shard, "part": 1.0 / shards.len() as f64});
    let parts: Vec<Value> = shards.iter().map(part).collect();
    let body = json!({"buckets": parts, "body": "what is asked"}).to_string();
    let headers = "X-Customer: acme\r\nX-Object: 7f3a9c21e0b4d655\r\nX-Expires-In-Ms: 20000";
    let length = format!("Content-Length: {}", body.len());
    format!("POST /{index} HTTP/1.1\r\nHost: s\r\nX-Trace-Id: {id}\r\n{headers}\r\n{length}\r\n\r\n{body}")
}

impl Client {
    pub fn send(&mut self, text: &str) {
        self.0.get_mut().write_all(text.as_bytes()).unwrap();
    }

    pub fn ask(&mut self, index: &str, id: &str, shards: &[usize]) {
        self.send(&request(index, id, shards));
    }

    /// The next answer: status, headers, body. `None` where the connection ends without one.
    pub fn answer(&mut self) -> Option<(u16, Vec<String>, String)> {
        let (first, headers, body) = message(&mut self.0)?;
        Some((first.split(' ').nth(1)?.parse().ok()?, headers, body))
    }

    pub fn status(&mut self) -> u16 {
        self.answer().expect("an answer").0
    }
}
