//! One process of the program in a rig.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::sync::Arc;

use tempfile::TempDir;

use super::LEADERSHIP_LOST;
use super::layout::{FLEET_KEY, Layout};
use super::log::ProcessLog;
use crate::files::{temporary_folder, write_file};
use crate::program::send_signal;
use crate::service_discovery::ServiceDiscovery;

/// One process of the program, with its files and its log.
pub(super) struct Process {
    pub(super) name: String,
    pub(super) zone: usize,
    pub(super) log: Arc<ProcessLog>,
    /// The length of the log when the process was last started.
    pub(super) log_start: usize,
    pub(super) http: SocketAddr,
    folder: TempDir,
    child: Option<Child>,
    _discovery: ServiceDiscovery,
}

impl Process {
    /// Writes the files of a process without starting it.
    pub(super) fn prepare(layout: &Layout, number: usize, zone: usize) -> Process {
        let known = layout.known_replicas(number);
        let discovery = ServiceDiscovery::start(known.clone());
        let settings = layout.settings(number, discovery.address, &known);
        let folder = temporary_folder();
        for (file, contents) in [
            ("fleet.key", FLEET_KEY.to_owned()),
            ("config.json", settings.to_string()),
            ("installation.xml", layout.installation(number)),
        ] {
            write_file(&folder.path().join(file), &contents);
        }
        Process {
            name: layout.name(number),
            zone,
            log: Arc::default(),
            log_start: 0,
            http: layout.http(number),
            folder,
            child: None,
            _discovery: discovery,
        }
    }

    /// Starts the program.
    pub(super) fn spawn(&mut self, exe: &str) {
        self.log_start = self.log.len();
        let mut child = Command::new(exe)
            .args([
                "serve",
                "--installation",
                "installation.xml",
                "--config",
                "config.json",
            ])
            .current_dir(self.folder.path())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap_or_else(|error| panic!("cannot start {exe}: {error}"));
        self.log
            .collect(child.stderr.take().expect("the log is piped"));
        self.child = Some(child);
    }

    /// Runs a `zones` command of the program in the process's folder, as an operator would.
    pub(super) fn run_operator_command(&self, exe: &str, arguments: &[&str]) -> Output {
        Command::new(exe)
            .args(["zones", "--installation", "installation.xml"])
            .args(arguments)
            .current_dir(self.folder.path())
            .output()
            .unwrap_or_else(|error| panic!("cannot run {exe}: {error}"))
    }

    /// Returns the path of a file in the process's folder.
    pub(super) fn file(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    /// Returns the process id, or `None` if the process does not run.
    pub(super) fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Sends a signal if the process runs.
    pub(super) fn signal(&self, name: &str) {
        if let Some(id) = self.id() {
            send_signal(id, name);
        }
    }

    /// Kills the process and waits for its end.
    pub(super) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().ok();
            child.wait().ok();
        }
    }

    /// Waits for the process to exit, and reports whether it exited successfully.
    pub(super) fn wait_for_exit(&mut self) -> bool {
        self.child
            .take()
            .is_some_and(|mut child| child.wait().is_ok_and(|status| status.success()))
    }

    /// Reports whether the process runs and is the leader, according to its last log line about leadership since it was
    /// started.
    pub(super) fn is_leader(&self) -> bool {
        let became_leader = |line: &str| line.contains("became leader");
        let is_about_leadership =
            |line: &str| became_leader(line) || line.contains(LEADERSHIP_LOST);
        let last = self.log.last(self.log_start, is_about_leadership);
        self.child.is_some() && last.is_some_and(|line| became_leader(&line))
    }
}
