//! A cluster of the system's processes on this machine: starts, pauses, kills and adds them on demand.

use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitStatus;
use std::time::{Duration, Instant};

use linenthread_ctl::{Client, MembersStatus, NoFinalResponse, RequestError, Response};
use snafu::ResultExt;

use crate::client::{CALL_TIMEOUT, members_at, query_at};
use crate::error::{CreateFolderSnafu, DemoError};
use crate::log_lines::LogLines;
use crate::machine::{Machine, Port, Role, Signal};
use crate::order::Order;
use crate::platform_settings::PlatformSettings;
use crate::replica::{Replica, ReplicaFaults};
use crate::transcript::Transcript;

/// The number of control nodes that the settings of a process name.
const BOOTSTRAP_NODES: usize = 3;
/// The number of zones that machines and replicas are spread over.
const ZONES: usize = 3;
/// The time between two reads of the members in [`Cluster::wait_for_members`].
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const QUERY_DEADLINE: Duration = Duration::from_secs(3);
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(60);
/// How often [`Cluster::configure`] tries all control nodes.
const REPLACE_ROUNDS: usize = 20;

/// Control nodes, ingress nodes and stub replicas. Machines are named `control-1`, `ingress-1` and so on.
pub struct Cluster {
    program: PathBuf,
    folder: tempfile::TempDir,
    /// The first three numbers of all addresses. Drawn at random, so that concurrent clusters use different addresses.
    network: String,
    machines: Vec<Machine>,
    /// The platform to which machines that are added report usage, if any.
    platform: Option<PlatformSettings>,
    /// Additional lines of the settings files of machines that are added.
    further_settings: String,
    lines: LogLines,
    /// The stub replicas, in the order in which they were started.
    pub replicas: Vec<Replica>,
}

/// Returns the first three numbers of a random network in 127.0.0.0/8.
fn draw_network() -> String {
    let [.., middle, low] = RandomState::new().hash_one(1).to_be_bytes();
    format!("127.{}.{}", 1 + low % 250, 1 + (middle & 0x7f))
}

impl Cluster {
    /// Creates a cluster that will run this program; starts no process.
    ///
    /// # Errors
    /// The folder for its files can't be created.
    pub fn new(program: &Path) -> Result<Cluster, DemoError> {
        Cluster::with_transcript(program, Transcript::default())
    }

    /// Creates a cluster whose processes' output is added to this transcript.
    pub(crate) fn with_transcript(
        program: &Path,
        transcript: Transcript,
    ) -> Result<Cluster, DemoError> {
        Ok(Cluster {
            program: program.to_owned(),
            folder: tempfile::tempdir().context(CreateFolderSnafu)?,
            network: draw_network(),
            machines: Vec::new(),
            platform: None,
            further_settings: String::new(),
            lines: LogLines::new(transcript),
            replicas: Vec::new(),
        })
    }

    /// Appends these lines to the settings files of all machines that are added from now on, in place of the lines of an
    /// earlier call.
    pub fn set_further_settings(&mut self, lines: &str) {
        lines.clone_into(&mut self.further_settings);
    }

    // --- machines and addresses ---

    fn machine(&self, name: &str) -> Option<&Machine> {
        self.machines.iter().find(|machine| machine.name == name)
    }

    fn machine_mut(&mut self, name: &str) -> Option<&mut Machine> {
        self.machines
            .iter_mut()
            .find(|machine| machine.name == name)
    }

    fn machines_of(&self, role: Role) -> impl Iterator<Item = &Machine> {
        self.machines
            .iter()
            .filter(move |machine| machine.role == role)
    }

    fn names_of(&self, role: Role) -> Vec<String> {
        self.machines_of(role)
            .map(|machine| machine.name.clone())
            .collect()
    }

    /// Returns the names of all control nodes.
    pub fn control_names(&self) -> Vec<String> {
        self.names_of(Role::Control)
    }

    /// Returns the names of all ingress nodes.
    pub fn ingress_names(&self) -> Vec<String> {
        self.names_of(Role::Ingress)
    }

    /// Returns the control addresses of all control nodes.
    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        self.control_addresses_except(&[])
    }

    /// Returns the control addresses of all control nodes except those with these names.
    pub fn control_addresses_except(&self, names: &[&str]) -> Vec<SocketAddr> {
        self.machines_of(Role::Control)
            .filter(|machine| !names.contains(&machine.name.as_str()))
            .filter_map(|machine| machine.address(Port::Control))
            .collect()
    }

    /// Returns the control address of a control node; `None` if there is no such node.
    pub fn control_address(&self, name: &str) -> Option<SocketAddr> {
        self.machine(name)?.address(Port::Control)
    }

    /// Returns the addresses at which the ingress nodes accept queries.
    pub fn ingress_addresses(&self) -> Vec<SocketAddr> {
        self.machines_of(Role::Ingress)
            .filter_map(|machine| machine.address(Port::Ingress))
            .collect()
    }

    /// Returns the address at which an ingress node accepts queries; `None` if there is no such node.
    pub fn ingress_address(&self, name: &str) -> Option<SocketAddr> {
        self.machine(name)?.address(Port::Ingress)
    }

    /// Returns the address of an ingress node's readiness check; `None` if there is no such node.
    pub fn readiness_address(&self, name: &str) -> Option<SocketAddr> {
        self.machine(name)?.address(Port::Readiness)
    }

    // --- processes ---

    /// Makes all machines that are added from now on report usage to this platform.
    pub fn report_usage_to(&mut self, platform: PlatformSettings) {
        self.platform = Some(platform);
    }

    /// Adds a machine with the next free address, in the next zone, and returns its name.
    fn add_machine(&mut self, role: Role) -> String {
        let index = self.machines.len();
        let number = 1 + self.machines_of(role).count();
        let name = format!("{}-{number}", role.name());
        let ip = format!("{}.{}", self.network, index + 1);
        let zone = format!("zone-{}", index % ZONES);
        let mut machine = Machine::new(self.folder.path(), role, name.clone(), ip, zone);
        machine.platform = self.platform;
        machine.further_settings.clone_from(&self.further_settings);
        self.machines.push(machine);
        name
    }

    /// Adds this many control nodes and ingress nodes and starts them with `initial_boot`, as at the first start of the
    /// system.
    ///
    /// # Errors
    /// A process can't be started.
    pub fn start(&mut self, control_nodes: usize, ingress_nodes: usize) -> Result<(), DemoError> {
        let control = std::iter::repeat_n(Role::Control, control_nodes);
        let ingress = std::iter::repeat_n(Role::Ingress, ingress_nodes);
        let names: Vec<String> = control
            .chain(ingress)
            .map(|role| self.add_machine(role))
            .collect();
        let bootstrap = self.bootstrap();
        for name in names {
            if let Some(machine) = self.machine_mut(&name) {
                machine.initial_boot = true;
                machine.bootstrap = bootstrap.clone();
            }
            self.start_process(&name)?;
        }
        Ok(())
    }

    fn bootstrap(&self) -> Vec<String> {
        self.control_addresses()
            .iter()
            .take(BOOTSTRAP_NODES)
            .map(ToString::to_string)
            .collect()
    }

    /// Adds and starts a control node with an empty disk, and returns its name.
    ///
    /// # Errors
    /// Its process can't be started.
    pub fn add_control_node(&mut self) -> Result<String, DemoError> {
        let bootstrap = self.bootstrap();
        let name = self.add_machine(Role::Control);
        if let Some(machine) = self.machine_mut(&name) {
            machine.bootstrap = bootstrap;
        }
        self.start_process(&name)?;
        Ok(name)
    }

    /// Starts the process of a machine; does nothing if there is no such machine.
    ///
    /// # Errors
    /// The settings file can't be written, or the process can't be started.
    pub fn start_process(&mut self, name: &str) -> Result<(), DemoError> {
        let program = self.program.clone();
        let Some(machine) = self.machine_mut(name) else {
            return Ok(());
        };
        let output = machine.start(&program)?;
        if let Some(stdout) = output.stdout {
            self.lines.follow_stdout(name, stdout);
        }
        if let Some(stderr) = output.stderr {
            self.lines.follow_stderr(name, stderr);
        }
        Ok(())
    }

    /// Kills the process of a machine, even if it is paused, and forgets its log lines (see
    /// [`forget_lines`](Cluster::forget_lines)).
    pub fn kill(&mut self, name: &str) {
        if let Some(machine) = self.machine_mut(name) {
            machine.kill();
        }
        self.forget_lines(name);
    }

    /// Sends a signal to the process of a machine; returns false if it has none or the signal can't be sent.
    pub fn signal(&mut self, name: &str, signal: Signal) -> bool {
        self.machine(name)
            .is_some_and(|machine| machine.signal(signal))
    }

    /// Waits until the process of a machine has exited; returns `None` after the time-out.
    pub fn wait_for_exit(&mut self, name: &str, timeout: Duration) -> Option<ExitStatus> {
        self.machine_mut(name)?.wait_for_exit(timeout)
    }

    /// Asks the process of a machine to shut down and waits for its exit; returns whether it exited with success within
    /// 60 s.
    pub fn shut_down(&mut self, name: &str) -> bool {
        self.signal(name, Signal::Terminate)
            && self
                .wait_for_exit(name, SHUTDOWN_TIMEOUT)
                .is_some_and(|status| status.success())
    }

    /// Reports whether the process of a machine is running or paused.
    pub fn is_running(&mut self, name: &str) -> bool {
        self.machine_mut(name).is_some_and(Machine::is_running)
    }

    /// Erases the disk of a machine; its next start is without `initial_boot`.
    ///
    /// # Errors
    /// A file can't be removed.
    pub fn erase_disk(&mut self, name: &str) -> Result<(), DemoError> {
        self.machine_mut(name).map_or(Ok(()), Machine::erase_disk)
    }

    /// Returns the total size of all files on the disk of a machine, in bytes.
    pub fn disk_bytes(&self, name: &str) -> u64 {
        self.machine(name).map_or(0, Machine::disk_bytes)
    }

    // --- log lines and members ---

    /// Waits until a process has written a line that contains all of these parts; returns false after the time-out.
    pub fn wait_for_line(&mut self, name: &str, parts: &[&str], timeout: Duration) -> bool {
        self.lines.wait_for(name, parts, timeout)
    }

    /// Returns the lines that a process has written so far and that contain any of these parts.
    pub fn lines_with_any(&mut self, name: &str, parts: &[&str]) -> Vec<String> {
        self.lines.lines_with_any(name, parts)
    }

    /// Returns the lines that all processes have written so far and that contain any of these parts, including
    /// forgotten lines.
    pub fn all_lines_with_any(&mut self, parts: &[&str]) -> Vec<String> {
        self.lines.all_lines_with_any(parts)
    }

    /// Forgets the lines that a process has written so far: later calls of
    /// [`wait_for_line`](Cluster::wait_for_line) and [`lines_with_any`](Cluster::lines_with_any) ignore them.
    pub fn forget_lines(&mut self, name: &str) {
        self.lines.forget(name);
    }

    /// Waits until the members that a control node reports are as expected; returns false after the time-out.
    pub fn wait_for_members(
        &self,
        name: &str,
        timeout: Duration,
        is_expected: impl Fn(&MembersStatus) -> bool,
    ) -> bool {
        let Some(peer) = self.control_address(name) else {
            return false;
        };
        let deadline = Instant::now() + timeout;
        loop {
            if members_at(peer).is_some_and(|members| is_expected(&members)) {
                return true;
            }
            if Instant::now() >= deadline {
                return false;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    // --- replicas and calls ---

    /// Starts stub replicas of a service; they send heartbeats to the control nodes until they crash or are dropped.
    ///
    /// # Errors
    /// A replica can't listen.
    pub fn start_replicas(&mut self, service: &str, count: usize) -> Result<(), DemoError> {
        self.start_faulty_replicas(service, count, ReplicaFaults::None)
    }

    /// Starts stub replicas of a service that respond with these faults.
    ///
    /// # Errors
    /// A replica can't listen.
    pub fn start_faulty_replicas(
        &mut self,
        service: &str,
        count: usize,
        faults: ReplicaFaults,
    ) -> Result<(), DemoError> {
        for index in 0..count {
            let id = format!("i-{service}-{}", self.replicas.len());
            let zone = format!("zone-{}", index % ZONES);
            let control = self.control_addresses();
            let replica = Replica::start(service, &id, &zone, control, faults)?;
            self.replicas.push(replica);
        }
        Ok(())
    }

    /// Sends the configuration of [`Order::without_clients`] to the control nodes until one of them gives a final
    /// response, and returns that response.
    ///
    /// # Errors
    /// No control node gave a final response.
    pub fn configure(
        &self,
        base: u64,
        revision: u64,
        services: &[&str],
    ) -> Result<Response, NoFinalResponse> {
        let order = Order::without_clients(base, revision, services);
        let client = Client {
            addresses: self.control_addresses(),
            timeout: CALL_TIMEOUT,
        };
        let headers = order.headers();
        client.send(&order.request(&headers), REPLACE_ROUNDS)
    }

    /// Sends a query to an ingress node with the key [`STEADY_KEY`](crate::STEADY_KEY) and a deadline of 3 s.
    ///
    /// # Errors
    /// The ingress node could not be reached, or its response is invalid.
    pub fn query(&self, name: &str, path: &str, attempt: &str) -> Result<Response, RequestError> {
        let peer = self.ingress_address(name).ok_or(RequestError::NoAddress)?;
        query_at(peer, "GET", path, attempt, QUERY_DEADLINE)
    }
}
