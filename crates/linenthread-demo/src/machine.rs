//! One machine of the cluster: its settings file, its disk and its process, with the signals sent to it.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, ChildStdout, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use snafu::ResultExt;

use crate::error::{DemoError, EraseDiskSnafu, StartProcessSnafu, WriteSettingsSnafu};
use crate::platform_settings::PlatformSettings;

/// The port at which a control node accepts calls of replicas and operators.
const CONTROL_PORT: u16 = 18_729;
/// The port at which an ingress node accepts queries.
const INGRESS_PORT: u16 = 18_726;
/// The port of an ingress node's readiness check.
const READINESS_PORT: u16 = 18_723;
/// The first port for sessions between nodes.
const FIRST_PEER_PORT: u16 = 17_120;
/// The last port for sessions between nodes.
const LAST_PEER_PORT: u16 = FIRST_PEER_PORT + 9;
/// The time between two checks whether a process has exited.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Role {
    Control,
    Ingress,
}

impl Role {
    /// Returns the prefix of the names of machines with this role.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Role::Control => "control",
            Role::Ingress => "ingress",
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Port {
    Control,
    Ingress,
    Readiness,
}

impl Port {
    fn number(self) -> u16 {
        match self {
            Port::Control => CONTROL_PORT,
            Port::Ingress => INGRESS_PORT,
            Port::Readiness => READINESS_PORT,
        }
    }
}

/// A signal to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Pauses the process; the kernel still accepts connections for it.
    Stop,
    /// Resumes the process.
    Continue,
    /// Asks the process to shut down.
    Terminate,
    /// Asks the process to read its settings again.
    Reload,
}

impl Signal {
    /// Returns the option of the `kill` command.
    fn option(self) -> &'static str {
        match self {
            Signal::Stop => "-STOP",
            Signal::Continue => "-CONT",
            Signal::Terminate => "-TERM",
            Signal::Reload => "-HUP",
        }
    }
}

/// The output pipes of a process.
pub(crate) struct ProcessOutput {
    pub(crate) stdout: Option<ChildStdout>,
    pub(crate) stderr: Option<ChildStderr>,
}

pub(crate) struct Machine {
    pub(crate) name: String,
    pub(crate) role: Role,
    ip: String,
    zone: String,
    /// The control addresses for `bootstrap_peers`.
    pub(crate) bootstrap: Vec<String>,
    /// Whether its next start is the first start of the whole system.
    pub(crate) initial_boot: bool,
    /// The platform to which it reports usage, if any.
    pub(crate) platform: Option<PlatformSettings>,
    /// Additional lines of its settings file.
    pub(crate) further_settings: String,
    folder: PathBuf,
    process: Option<Child>,
}

impl Machine {
    /// Creates a machine without a process; its files will be in this folder.
    pub(crate) fn new(
        folder: &Path,
        role: Role,
        name: String,
        ip: String,
        zone: String,
    ) -> Machine {
        Machine {
            name,
            role,
            ip,
            zone,
            bootstrap: Vec::new(),
            initial_boot: false,
            platform: None,
            further_settings: String::new(),
            folder: folder.to_owned(),
            process: None,
        }
    }

    pub(crate) fn address(&self, port: Port) -> Option<SocketAddr> {
        format!("{}:{}", self.ip, port.number()).parse().ok()
    }

    /// Returns the folder that serves as its disk.
    fn state_folder(&self) -> PathBuf {
        self.folder.join(&self.name)
    }

    /// Returns the content of its settings file.
    fn settings(&self) -> String {
        let ip = &self.ip;
        let binds = match self.role {
            Role::Control => format!(
                "bind.control_plane={ip}:{CONTROL_PORT}\nstate_dir={}\nquorum_member=true\n",
                self.state_folder().display()
            ),
            Role::Ingress => format!(
                "bind.ingress={ip}:{INGRESS_PORT}\nbind.readiness={ip}:{READINESS_PORT}\n\
                 quorum_member=false\n"
            ),
        };
        let platform = self
            .platform
            .map_or(String::new(), |platform| platform.lines());
        format!(
            "node_name={}\nzone={}\nip_addr={ip}\nport_range={FIRST_PEER_PORT},{LAST_PEER_PORT}\n\
             bootstrap_peers={}\ninitial_boot={}\nheartbeat_ms=300\nlimits_table.retry_ratio=0.2\n\
             limits_table.grace_s=6\nlimits_table.retry_allowance=50\n{binds}{platform}{}",
            self.name,
            self.zone,
            self.bootstrap.join(","),
            self.initial_boot,
            self.further_settings
        )
    }

    /// Writes its settings file and starts its process. Later starts are without `initial_boot`.
    ///
    /// # Errors
    /// The settings file can't be written, or the process can't be started.
    pub(crate) fn start(&mut self, program: &Path) -> Result<ProcessOutput, DemoError> {
        let path = self.folder.join(format!("{}.conf", self.name));
        std::fs::write(&path, self.settings()).context(WriteSettingsSnafu { path: &path })?;
        let mut process = Command::new(program)
            .arg("--settings")
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .context(StartProcessSnafu {
                machine: &self.name,
                program,
            })?;
        let output = ProcessOutput {
            stdout: process.stdout.take(),
            stderr: process.stderr.take(),
        };
        self.process = Some(process);
        self.initial_boot = false;
        Ok(output)
    }

    /// Sends a signal to its process; returns false if it has none or the signal can't be sent.
    pub(crate) fn signal(&self, signal: Signal) -> bool {
        let Some(process) = &self.process else {
            return false;
        };
        let sent = Command::new("kill")
            .arg(signal.option())
            .arg(process.id().to_string())
            .status();
        sent.is_ok_and(|status| status.success())
    }

    /// Kills its process, even if it is paused.
    pub(crate) fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            // Fails if the process has exited already.
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Waits until its process has exited; returns `None` after the time-out, or if it has no process.
    pub(crate) fn wait_for_exit(&mut self, timeout: Duration) -> Option<ExitStatus> {
        let deadline = Instant::now() + timeout;
        loop {
            let exited = self.process.as_mut()?.try_wait();
            if let Ok(Some(status)) = exited {
                self.process = None;
                return Some(status);
            }
            if Instant::now() >= deadline {
                return None;
            }
            std::thread::sleep(CHECK_INTERVAL);
        }
    }

    /// Reports whether its process is running or paused.
    pub(crate) fn is_running(&mut self) -> bool {
        self.process
            .as_mut()
            .is_some_and(|process| matches!(process.try_wait(), Ok(None)))
    }

    /// Erases its disk; its next start is without `initial_boot`.
    ///
    /// # Errors
    /// A file can't be removed.
    pub(crate) fn erase_disk(&mut self) -> Result<(), DemoError> {
        self.initial_boot = false;
        let path = self.state_folder();
        match std::fs::remove_dir_all(&path) {
            Err(error) if error.kind() == ErrorKind::NotFound => Ok(()),
            result => result.context(EraseDiskSnafu { path }),
        }
    }

    /// Returns the total size of all files on its disk, in bytes.
    pub(crate) fn disk_bytes(&self) -> u64 {
        folder_bytes(&self.state_folder())
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

fn folder_bytes(folder: &Path) -> u64 {
    let Ok(entries) = std::fs::read_dir(folder) else {
        return 0;
    };
    let bytes = |entry: std::fs::DirEntry| match entry.metadata() {
        Ok(metadata) if metadata.is_dir() => folder_bytes(&entry.path()),
        Ok(metadata) => metadata.len(),
        Err(_) => 0,
    };
    entries.flatten().map(bytes).sum()
}
