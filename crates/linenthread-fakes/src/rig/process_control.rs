//! The processes of a rig: started, signalled, killed.

use std::path::PathBuf;
use std::process::Output;

use rustix::process::{Pid, Resource, Rlimit, prlimit};

use super::Rig;

impl Rig {
    /// The name of a process.
    pub fn name(&self, n: usize) -> &str {
        &self.processes[n].name
    }

    /// A file in a process's folder.
    pub fn file(&self, n: usize, name: &str) -> PathBuf {
        self.processes[n].file(name)
    }

    /// Starts a process and waits until it serves.
    ///
    /// # Panics
    ///
    /// If it cannot be started, or does not serve in time.
    pub fn start(&mut self, n: usize) {
        self.spawn(n);
        self.wait_for_log(n, "serving");
        self.set_queried(n, true);
    }

    /// Starts a process and does not wait for it.
    ///
    /// # Panics
    ///
    /// If it cannot be started.
    pub fn spawn(&mut self, n: usize) {
        self.processes[n].spawn(&self.exe);
    }

    /// Sends a signal to a process, if it runs.
    pub fn signal(&self, n: usize, name: &str) {
        self.processes[n].signal(name);
    }

    /// The operating system's id of a process, while it runs.
    pub fn id(&self, n: usize) -> Option<u32> {
        self.processes[n].id()
    }

    /// Kills a process, and deletes its record if asked to.
    pub fn kill(&mut self, n: usize, with_record: bool) {
        self.set_queried(n, false);
        self.processes[n].kill();
        if with_record {
            std::fs::remove_dir_all(self.file(n, "record")).ok();
        }
    }

    /// Has a process shut down gracefully and waits for it; whether it ended with success.
    pub fn terminate(&mut self, n: usize) -> bool {
        self.set_queried(n, false);
        self.signal(n, "-TERM");
        self.processes[n].wait_for_exit()
    }

    /// Limits the size of files that a process writes to so many bytes, as on a full disk; or lifts the limit.
    ///
    /// # Panics
    ///
    /// If the operating system rejects the limit.
    pub fn fill_disk(&self, n: usize, max_bytes: Option<u64>) {
        let id = self.id(n).and_then(|id| i32::try_from(id).ok());
        if let Some(pid) = id.and_then(Pid::from_raw) {
            let limit = Rlimit {
                current: max_bytes,
                maximum: None,
            };
            prlimit(Some(pid), Resource::Fsize, limit)
                .expect("the limit of an own process can be set");
        }
    }

    /// Runs an operator's command in a process's folder.
    ///
    /// # Panics
    ///
    /// If the program cannot be run.
    pub fn run_operator_command(&self, n: usize, arguments: &[&str]) -> Output {
        self.processes[n].run_operator_command(&self.exe, arguments)
    }
}
