//! A cluster of the system's processes on this machine, started, stopped, killed and added to on cue.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use linenthread_ctl::{Request, RequestError, Response};
use serde_json::Value;

use crate::log_lines::LogLines;
use crate::machine::{CONTROL_PORT, INGRESS_PORT, Machine, READINESS_PORT, Role, Signal};
use crate::operator::{Order, members_at};
use crate::replica::{Misbehaviour, Replica};

/// How many control nodes are named to a process at its start.
const BOOTSTRAP: usize = 3;
/// How often a state that is waited for is looked at.
const LOOK: Duration = Duration::from_millis(20);
/// A lookup may take so long, and its answer may come so much later.
const ASK: Duration = Duration::from_secs(3);
const SLACK: Duration = Duration::from_secs(1);

/// Control nodes, fronts and stand-in replicas.
pub struct Cluster {
    program: PathBuf,
    folder: tempfile::TempDir,
    /// The second and third number of all addresses: clusters beside each other do not meet.
    net: (u8, u8),
    machines: Vec<Machine>,
    lines: LogLines,
    pub replicas: Vec<Replica>,
}

impl Cluster {
    /// A cluster of a program, with nothing started.
    ///
    /// # Errors
    /// No folder can be made.
    pub fn new(program: &Path) -> std::io::Result<Cluster> {
        let folder = tempfile::tempdir()?;
        let draw =
            std::hash::BuildHasher::hash_one(&std::collections::hash_map::RandomState::new(), 1);
        Ok(Cluster {
            program: program.to_owned(),
            folder,
            net: (1 + (draw % 250) as u8, 1 + (draw >> 8 & 0x7f) as u8),
            machines: Vec::new(),
            lines: LogLines::new(),
            replicas: Vec::new(),
        })
    }

    fn machine(&self, name: &str) -> Option<&Machine> {
        self.machines.iter().find(|m| m.name == name)
    }

    fn machine_mut(&mut self, name: &str) -> Option<&mut Machine> {
        self.machines.iter_mut().find(|m| m.name == name)
    }

    fn controls(&self) -> impl Iterator<Item = &Machine> {
        self.machines.iter().filter(|m| m.role == Role::Control)
    }

    /// Names of all control nodes.
    pub fn control_names(&self) -> Vec<String> {
        self.controls().map(|m| m.name.clone()).collect()
    }

    /// Names of all fronts.
    pub fn front_names(&self) -> Vec<String> {
        self.machines
            .iter()
            .filter(|m| m.role == Role::Front)
            .map(|m| m.name.clone())
            .collect()
    }

    /// Control addresses of all control nodes.
    pub fn control(&self) -> Vec<SocketAddr> {
        self.controls().filter_map(|m| m.at(CONTROL_PORT)).collect()
    }

    /// Control addresses of all control nodes but these.
    pub fn control_without(&self, names: &[&str]) -> Vec<SocketAddr> {
        let others = self
            .controls()
            .filter(|m| !names.contains(&m.name.as_str()));
        others.filter_map(|m| m.at(CONTROL_PORT)).collect()
    }

    /// The control address of one control node.
    pub fn control_of(&self, name: &str) -> Option<SocketAddr> {
        self.machine(name)?.at(CONTROL_PORT)
    }

    /// Where a front takes requests.
    pub fn ingress(&self, front: &str) -> Option<SocketAddr> {
        self.machine(front)?.at(INGRESS_PORT)
    }

    /// Where a front says whether it is ready.
    pub fn readiness(&self, front: &str) -> Option<SocketAddr> {
        self.machine(front)?.at(READINESS_PORT)
    }

    /// Makes a machine with the next free address, zone by zone.
    fn make(&self, role: Role) -> Machine {
        let index = self.machines.len();
        let number = 1 + self.machines.iter().filter(|m| m.role == role).count();
        let kind = if role == Role::Control {
            "control"
        } else {
            "front"
        };
        let ip = format!("127.{}.{}.{}", self.net.0, self.net.1, index + 1);
        let zone = format!("zone-{}", index % 3);
        Machine::new(
            self.folder.path(),
            role,
            &format!("{kind}-{number}"),
            ip,
            zone,
        )
    }

    /// Starts so many control nodes and fronts, the whole system for the first time.
    ///
    /// # Errors
    /// A process can't be started.
    pub fn start(&mut self, controls: usize, fronts: usize) -> std::io::Result<()> {
        for index in 0..controls + fronts {
            let role = if index < controls {
                Role::Control
            } else {
                Role::Front
            };
            let machine = self.make(role);
            self.machines.push(machine);
        }
        let bootstrap = self.bootstrap();
        let names: Vec<String> = self.machines.iter().map(|m| m.name.clone()).collect();
        for name in names {
            if let Some(machine) = self.machine_mut(&name) {
                machine.initial_boot = true;
                machine.bootstrap = bootstrap.clone();
            }
            self.run(&name)?;
        }
        Ok(())
    }

    fn bootstrap(&self) -> Vec<String> {
        self.control()
            .iter()
            .take(BOOTSTRAP)
            .map(ToString::to_string)
            .collect()
    }

    /// Starts one control node more, with an empty disk, and says its name.
    ///
    /// # Errors
    /// Its process can't be started.
    pub fn add_control_node(&mut self) -> std::io::Result<String> {
        let mut machine = self.make(Role::Control);
        machine.bootstrap = self.bootstrap();
        let name = machine.name.clone();
        self.machines.push(machine);
        self.run(&name)?;
        Ok(name)
    }

    /// Starts the process of a machine.
    ///
    /// # Errors
    /// It can't be started.
    pub fn run(&mut self, name: &str) -> std::io::Result<()> {
        let program = self.program.clone();
        let Some(machine) = self.machine_mut(name) else {
            return Ok(());
        };
        if let Some(output) = machine.start(&program)? {
            self.lines.follow(name, output);
        }
        Ok(())
    }

    /// Kills a process; what it wrote is forgotten.
    pub fn kill(&mut self, name: &str) {
        if let Some(machine) = self.machine_mut(name) {
            machine.kill();
        }
        self.forget(name);
    }

    /// Sends a process a signal; false if it has none or the signal can't be sent.
    pub fn signal(&mut self, name: &str, signal: Signal) -> bool {
        self.machine(name).is_some_and(|m| m.signal(signal))
    }

    /// Waits until a process has ended by itself: whether it ended well; nothing when the time is up.
    pub fn wait_end(&mut self, name: &str, within: Duration) -> Option<bool> {
        self.machine_mut(name)?.wait_end(within)
    }

    /// Asks a process to end and waits until it has; true if it ended well within a minute.
    pub fn end(&mut self, name: &str) -> bool {
        self.signal(name, Signal::Terminate)
            && self
                .wait_end(name, Duration::from_secs(60))
                .unwrap_or_default()
    }

    /// Whether its process runs.
    pub fn runs(&mut self, name: &str) -> bool {
        self.machine_mut(name).is_some_and(Machine::runs)
    }

    /// What a process wrote before is not waited for any more.
    pub fn forget(&mut self, name: &str) {
        self.lines.forget(name);
    }

    /// Empties a machine's disk; it does not start for the first time any more.
    ///
    /// # Errors
    /// A file can't be removed.
    pub fn wipe(&mut self, name: &str) -> std::io::Result<()> {
        self.machine_mut(name).map_or(Ok(()), Machine::wipe)
    }

    /// The bytes of all files on a machine's disk.
    pub fn disk_bytes(&self, name: &str) -> u64 {
        self.machine(name).map_or(0, Machine::disk_bytes)
    }

    /// Waits until a process has written a line that holds all of these words; false when the time is up.
    pub fn wait_for(&mut self, machine: &str, words: &[&str], within: Duration) -> bool {
        self.lines.wait_for(machine, words, within)
    }

    /// The lines of a process so far that hold one of these words.
    pub fn lines_of(&mut self, machine: &str, words: &[&str]) -> Vec<String> {
        self.lines.of(machine, words)
    }

    /// Waits until the members as one control node knows them are as wanted; false when the time is up.
    pub fn wait_members(
        &self,
        name: &str,
        within: Duration,
        wanted: impl Fn(&Value) -> bool,
    ) -> bool {
        let Some(peer) = self.control_of(name) else {
            return false;
        };
        let by = Instant::now() + within;
        loop {
            if members_at(peer).is_some_and(|members| wanted(&members)) {
                return true;
            }
            if Instant::now() >= by {
                return false;
            }
            std::thread::sleep(LOOK);
        }
    }

    /// Starts stand-in replicas of a service; they beat at the control nodes until they are dropped.
    ///
    /// # Errors
    /// No address can be had.
    pub fn serve(&mut self, service: &str, many: usize) -> std::io::Result<()> {
        self.serve_with(service, many, Misbehaviour::None)
    }

    /// Starts stand-in replicas that misbehave.
    ///
    /// # Errors
    /// No address can be had.
    pub fn serve_with(
        &mut self,
        service: &str,
        many: usize,
        how: Misbehaviour,
    ) -> std::io::Result<()> {
        for n in 0..many {
            let ident = format!("i-{service}-{}", self.replicas.len());
            let zone = format!("zone-{}", n % 3);
            self.replicas
                .push(Replica::start(service, &ident, &zone, self.control(), how)?);
        }
        Ok(())
    }

    /// Sends a configuration until a control node has taken it: routes of one index over some services,
    /// and of single ones.
    ///
    /// # Errors
    /// No control node could be asked.
    pub fn configure(
        &self,
        base: u64,
        revision: u64,
        services: &[&str],
    ) -> Result<Response, RequestError> {
        let order = Order::new(base, revision, services, 0);
        let client = linenthread_ctl::Client {
            addresses: self.control(),
            timeout: Duration::from_secs(2),
        };
        let headers = [("X-Base-Revision", base.to_string())];
        client.send(
            &linenthread_ctl::Request {
                method: "POST",
                path: "/Configuration.Replace",
                headers: &headers,
                body: &order.document,
            },
            20,
        )
    }

    /// One lookup at a front, as a client asks.
    ///
    /// # Errors
    /// The front could not be asked, or what it sent is no answer.
    pub fn ask(&self, front: &str, path: &str, attempt: &str) -> Result<Response, RequestError> {
        let peer = self.ingress(front).ok_or(RequestError::NoAddress)?;
        ask_at(peer, "GET", path, attempt, ASK)
    }
}

/// One lookup at a front's address, which may take so long.
///
/// # Errors
/// The front could not be asked, or what it sent is no answer.
pub(crate) fn ask_at(
    peer: SocketAddr,
    method: &str,
    path: &str,
    attempt: &str,
    time: Duration,
) -> Result<Response, RequestError> {
    let headers = [
        ("Host", "index.example".to_owned()),
        ("X-Attempt-Id", attempt.to_owned()),
        ("X-Remaining-Ms", time.as_millis().to_string()),
    ];
    Request {
        method,
        path,
        headers: &headers,
        body: &[],
    }
    .send_to(peer, time + SLACK)
}
