//! The system at work on loopback: hubs and fronts as real processes, each at an address of its own in
//! 127.0.0.0/8, stand-in replicas that note what they ran, and calls as clients and operators make them.

mod replica;

pub use replica::{Ran, Replica, records};

use std::collections::HashMap;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use linenthread_ctl::{Fault, Reply, call};
use serde_json::json;

const CONTROL: u16 = 18_729;
const INGRESS: u16 = 18_726;
const READINESS: u16 = 18_723;
const PEERS: u16 = 17_120;

/// One machine: its process, if it runs, and where its settings and its disk are.
struct Machine {
    address: String,
    settings: PathBuf,
    process: Option<Child>,
}

/// A line that a process wrote.
struct Line {
    machine: String,
    text: String,
}

pub struct Rig {
    program: PathBuf,
    folder: tempfile::TempDir,
    /// The second and third number of all addresses: rigs beside each other do not meet.
    net: (u8, u8),
    machines: HashMap<String, Machine>,
    hubs: Vec<String>,
    lines: (Sender<Line>, Receiver<Line>),
    seen: Vec<Line>,
    pub replicas: Vec<Replica>,
}

impl Rig {
    /// A rig of a program, with nothing started.
    ///
    /// # Errors
    /// No folder can be made.
    pub fn new(program: &Path) -> std::io::Result<Rig> {
        let folder = tempfile::tempdir()?;
        let draw = std::hash::BuildHasher::hash_one(&std::collections::hash_map::RandomState::new(), 1);
        Ok(Rig {
            program: program.to_owned(),
            folder,
            net: (1 + (draw % 250) as u8, 1 + (draw >> 8 & 0x7f) as u8),
            machines: HashMap::new(),
            hubs: Vec::new(),
            lines: channel(),
            seen: Vec::new(),
            replicas: Vec::new(),
        })
    }

    fn ip(&self, n: usize) -> String {
        format!("127.{}.{}.{}", self.net.0, self.net.1, n + 1)
    }

    /// Control addresses of all hubs.
    pub fn control(&self) -> Vec<SocketAddr> {
        let of = |name: &String| format!("{}:{CONTROL}", self.machines[name].address).parse().ok();
        self.hubs.iter().filter_map(of).collect()
    }

    pub fn ingress(&self, front: &str) -> Option<SocketAddr> {
        format!("{}:{INGRESS}", self.machines.get(front)?.address).parse().ok()
    }

    pub fn readiness(&self, front: &str) -> Option<SocketAddr> {
        format!("{}:{READINESS}", self.machines.get(front)?.address).parse().ok()
    }

    /// Writes the settings of so many hubs and fronts, zone by zone, and starts them.
    ///
    /// # Errors
    /// A process can't be started.
    pub fn start(&mut self, hubs: usize, fronts: usize) -> std::io::Result<()> {
        let bootstrap: Vec<String> = (0..hubs.min(3)).map(|n| format!("{}:{CONTROL}", self.ip(n))).collect();
        for n in 0..hubs + fronts {
            let (kind, number) = if n < hubs { ("hub", n + 1) } else { ("front", n - hubs + 1) };
            let (name, ip) = (format!("{kind}-{number}"), self.ip(n));
            let binds = if n < hubs {
                let state = self.folder.path().join(&name);
                format!(
                    "bind.control_plane={ip}:{CONTROL}\nstate_dir={}\nquorum_member=true\n",
                    state.display()
                )
            } else {
                format!("bind.ingress={ip}:{INGRESS}\nbind.readiness={ip}:{READINESS}\nquorum_member=false\n")
            };
            let text = format!(
                "node_name={name}\nzone=zone-{}\nip_addr={ip}\nport_range={PEERS},{}\nbootstrap_peers={}\n\
                 initial_boot=true\nheartbeat_ms=300\nlimits_table.retry_ratio=0.2\nlimits_table.grace_s=6\n\
                 limits_table.retry_allowance=50\n{binds}",
                n % 3,
                PEERS + 9,
                bootstrap.join(",")
            );
            let settings = self.folder.path().join(format!("{name}.conf"));
            std::fs::write(&settings, text)?;
            if kind == "hub" {
                self.hubs.push(name.clone());
            }
            self.machines.insert(name.clone(), Machine { address: ip, settings, process: None });
            self.run(&name)?;
        }
        Ok(())
    }

    /// Starts the process of a machine.
    ///
    /// # Errors
    /// It can't be started.
    pub fn run(&mut self, name: &str) -> std::io::Result<()> {
        let Some(machine) = self.machines.get_mut(name) else { return Ok(()) };
        let mut child = Command::new(&self.program)
            .arg("--settings")
            .arg(&machine.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::inherit())
            .spawn()?;
        if let Some(out) = child.stdout.take() {
            let (to, machine) = (self.lines.0.clone(), name.to_owned());
            std::thread::spawn(move || {
                for text in BufReader::new(out).lines().map_while(Result::ok) {
                    let _ = to.send(Line { machine: machine.clone(), text });
                }
            });
        }
        machine.process = Some(child);
        Ok(())
    }

    /// Kills a process, or with a name of a signal sends that.
    pub fn kill(&mut self, name: &str) {
        if let Some(mut child) = self.machines.get_mut(name).and_then(|m| m.process.take()) {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.forget(name);
    }

    /// Asks a process to end and waits until it has; true if it ended well.
    pub fn end(&mut self, name: &str) -> bool {
        let Some(mut child) = self.machines.get_mut(name).and_then(|m| m.process.take()) else {
            return false;
        };
        let asked = Command::new("kill").arg("-TERM").arg(child.id().to_string()).status();
        asked.is_ok_and(|s| s.success()) && child.wait().is_ok_and(|s| s.success())
    }

    /// Whether its process runs.
    pub fn runs(&mut self, name: &str) -> bool {
        let process = self.machines.get_mut(name).and_then(|m| m.process.as_mut());
        process.is_some_and(|p| matches!(p.try_wait(), Ok(None)))
    }

    /// What a killed process wrote before is not waited for any more.
    pub fn forget(&mut self, name: &str) {
        while let Ok(line) = self.lines.1.try_recv() {
            self.seen.push(line);
        }
        self.seen.retain(|l| l.machine != name);
    }

    /// Empties a machine's disk and says that it does not start for the first time.
    ///
    /// # Errors
    /// Files can't be written.
    pub fn wipe(&mut self, name: &str) -> std::io::Result<()> {
        let state = self.folder.path().join(name);
        if state.exists() {
            std::fs::remove_dir_all(&state)?;
        }
        for machine in self.machines.values() {
            let text = std::fs::read_to_string(&machine.settings)?;
            std::fs::write(&machine.settings, text.replace("initial_boot=true", "initial_boot=false"))?;
        }
        Ok(())
    }

    /// Waits until a process has written a line that holds all of these words; false when the time is up.
    pub fn wait_for(&mut self, machine: &str, words: &[&str], within: Duration) -> bool {
        let by = Instant::now() + within;
        let is = |l: &Line| l.machine == machine && words.iter().all(|w| l.text.contains(w));
        loop {
            if self.seen.iter().any(is) {
                return true;
            }
            let left = by.saturating_duration_since(Instant::now());
            match self.lines.1.recv_timeout(left) {
                Ok(line) => self.seen.push(line),
                Err(_) => return false,
            }
        }
    }

    /// Starts stand-in replicas of a service; they beat at the hubs until they are dropped.
    ///
    /// # Errors
    /// No address can be had.
    pub fn serve(&mut self, service: &str, many: usize) -> std::io::Result<()> {
        for n in 0..many {
            let ident = format!("i-{service}-{n}");
            let replica = Replica::start(service, &ident, &format!("zone-{}", n % 3), self.control())?;
            self.replicas.push(replica);
        }
        Ok(())
    }

    /// Sends a configuration until a hub has taken it: routes of one index over some services, and of single
    /// ones.
    ///
    /// # Errors
    /// No hub could be asked.
    pub fn configure(&self, base: u64, revision: u64, services: &[&str]) -> Result<Reply, Fault> {
        let route = |label: &str, prefix: &str, rest: serde_json::Value| {
            let mut route = json!({"label": label, "host": "index.example", "path_prefix": prefix,
                "mode": "idempotent", "limit_ms": 3_000, "target_ms": 1_000, "rank": 1, "tries": 2});
            let fields = rest.as_object().cloned().unwrap_or_default();
            route.as_object_mut().expect("an object").extend(fields);
            route
        };
        let all = json!({"fanout": services, "result_limit": 5, "min_coverage": 0.5});
        let mut routes = vec![route("all", "/all/", all)];
        for service in services {
            routes.push(route(service, &format!("/{service}/"), json!({"backend": service})));
        }
        let backends: Vec<_> = services.iter().map(|s| json!({"label": s, "max_conns": 60})).collect();
        let document = json!({"revision": revision, "route_table": routes, "backends": backends,
            "constraints": {"header_bytes": 4_096, "payload_bytes": 2_000, "header_ms": 1_000, "quiet_ms": 5_000}});
        let client = linenthread_ctl::Client { addresses: self.control(), within: Duration::from_secs(2) };
        let headers = [("X-Base-Revision", base.to_string())];
        client.call("POST", "/Configuration.Replace", &headers, document.to_string().as_bytes(), 20)
    }

    /// One lookup at a front, as a client asks.
    ///
    /// # Errors
    /// The front could not be asked, or what it sent is no answer.
    pub fn ask(&self, front: &str, path: &str, attempt: &str) -> Result<Reply, Fault> {
        let peer = self.ingress(front).ok_or(Fault::NoAddress)?;
        let headers = [
            ("Host", "index.example".to_owned()),
            ("X-Attempt-Id", attempt.to_owned()),
            ("X-Remaining-Ms", "3000".to_owned()),
        ];
        call(peer, "GET", path, &headers, &[], Duration::from_secs(4))
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        self.replicas.clear();
        for machine in self.machines.values_mut() {
            if let Some(mut child) = machine.process.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}
