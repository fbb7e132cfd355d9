//! One machine of the cluster: its settings file, its process, the signals it is sent.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, Stdio};
use std::time::{Duration, Instant};

pub(crate) const CONTROL_PORT: u16 = 18_729;
pub(crate) const INGRESS_PORT: u16 = 18_726;
pub(crate) const READINESS_PORT: u16 = 18_723;
const PEERS_PORT: u16 = 17_120;
/// How often a process that is to end is looked at.
const LOOK: Duration = Duration::from_millis(5);

/// What a machine serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Role {
    Control,
    Front,
}

/// A signal that a process is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Stops it where it is; the kernel goes on taking connections for it.
    Stop,
    /// Lets it go on.
    Continue,
    /// Asks it to end.
    Terminate,
}

impl Signal {
    fn option(self) -> &'static str {
        match self {
            Signal::Stop => "-STOP",
            Signal::Continue => "-CONT",
            Signal::Terminate => "-TERM",
        }
    }
}

/// One machine.
pub(crate) struct Machine {
    pub name: String,
    pub role: Role,
    pub ip: String,
    pub zone: String,
    pub bootstrap: Vec<String>,
    /// It starts for the first time with the whole system.
    pub initial_boot: bool,
    folder: PathBuf,
    process: Option<Child>,
}

impl Machine {
    /// A machine that does not run yet; its files lie in a folder.
    pub(crate) fn new(folder: &Path, role: Role, name: &str, ip: String, zone: String) -> Machine {
        Machine {
            name: name.to_owned(),
            role,
            ip,
            zone,
            bootstrap: Vec::new(),
            initial_boot: false,
            folder: folder.to_owned(),
            process: None,
        }
    }

    /// Its address for calls at this port.
    pub(crate) fn at(&self, port: u16) -> Option<SocketAddr> {
        format!("{}:{port}", self.ip).parse().ok()
    }

    /// The folder of its disk.
    pub(crate) fn state(&self) -> PathBuf {
        self.folder.join(&self.name)
    }

    fn settings(&self) -> String {
        let ip = &self.ip;
        let binds = match self.role {
            Role::Control => format!(
                "bind.control_plane={ip}:{CONTROL_PORT}\nstate_dir={}\nquorum_member=true\n",
                self.state().display()
            ),
            Role::Front => format!(
                "bind.ingress={ip}:{INGRESS_PORT}\nbind.readiness={ip}:{READINESS_PORT}\n\
                 quorum_member=false\n"
            ),
        };
        format!(
            "node_name={}\nzone={}\nip_addr={ip}\nport_range={PEERS_PORT},{}\nbootstrap_peers={}\n\
             initial_boot={}\nheartbeat_ms=300\nlimits_table.retry_ratio=0.2\nlimits_table.grace_s=6\n\
             limits_table.retry_allowance=50\n{binds}",
            self.name,
            self.zone,
            PEERS_PORT + 9,
            self.bootstrap.join(","),
            self.initial_boot
        )
    }

    /// Writes its settings and starts its process; a later start is not the first one.
    ///
    /// # Errors
    /// Its file can't be written, or the program can't be started.
    pub(crate) fn start(&mut self, program: &Path) -> std::io::Result<Option<ChildStdout>> {
        let file = self.folder.join(format!("{}.conf", self.name));
        std::fs::write(&file, self.settings())?;
        let mut child = Command::new(program)
            .arg("--settings")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::inherit())
            .spawn()?;
        let output = child.stdout.take();
        self.process = Some(child);
        self.initial_boot = false;
        Ok(output)
    }

    /// Sends its process a signal; false if it has none or the signal can't be sent.
    pub(crate) fn signal(&self, signal: Signal) -> bool {
        let Some(child) = &self.process else {
            return false;
        };
        let sent = Command::new("kill")
            .arg(signal.option())
            .arg(child.id().to_string())
            .status();
        sent.is_ok_and(|status| status.success())
    }

    /// Ends its process at once, stopped or not.
    pub(crate) fn kill(&mut self) {
        if let Some(mut child) = self.process.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits until its process has ended by itself: whether it ended well; nothing when the time is up.
    pub(crate) fn wait_end(&mut self, within: Duration) -> Option<bool> {
        let by = Instant::now() + within;
        loop {
            let ended = self.process.as_mut()?.try_wait();
            if let Ok(Some(status)) = ended {
                self.process = None;
                return Some(status.success());
            }
            if Instant::now() >= by {
                return None;
            }
            std::thread::sleep(LOOK);
        }
    }

    /// Whether its process runs, or is stopped and could go on.
    pub(crate) fn runs(&mut self) -> bool {
        self.process
            .as_mut()
            .is_some_and(|p| matches!(p.try_wait(), Ok(None)))
    }

    /// Empties its disk.
    ///
    /// # Errors
    /// A file can't be removed.
    pub(crate) fn wipe(&mut self) -> std::io::Result<()> {
        self.initial_boot = false;
        match std::fs::remove_dir_all(self.state()) {
            Err(e) if e.kind() != std::io::ErrorKind::NotFound => Err(e),
            _ => Ok(()),
        }
    }

    /// The bytes of all files on its disk.
    pub(crate) fn disk_bytes(&self) -> u64 {
        folder_bytes(&self.state())
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
