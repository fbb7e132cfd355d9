//! The processes of a rig: started, signalled, killed.

use std::path::PathBuf;
use std::process::Output;

use rustix::process::{Pid, Resource, Rlimit, prlimit};

use super::Rig;

impl Rig {
    /// The name of a process.
    pub fn name(&self, process: usize) -> &str {
        &self.processes[process].name
    }

    /// A file in a process's folder.
    pub fn file(&self, process: usize, name: &str) -> PathBuf {
        self.processes[process].file(name)
    }

    /// Starts a process and waits until it serves.
    ///
    /// # Panics
    ///
    /// If it cannot be started, or does not serve in time.
    pub fn start(&mut self, process: usize) {
        self.spawn(process);
        self.wait_for_log(process, "serving");
        self.set_queried(process, true);
    }

    /// Starts a process and does not wait for it.
    ///
    /// # Panics
    ///
    /// If it cannot be started.
    pub fn spawn(&mut self, process: usize) {
        self.processes[process].spawn(&self.exe);
    }

    /// Sends a signal to a process, if it runs.
    pub fn signal(&self, process: usize, name: &str) {
        self.processes[process].signal(name);
    }

    /// The operating system's id of a process, while it runs.
    pub fn id(&self, process: usize) -> Option<u32> {
        self.processes[process].id()
    }

    /// Kills a process, and deletes its record if asked to.
    pub fn kill(&mut self, process: usize, with_record: bool) {
        self.set_queried(process, false);
        self.processes[process].kill();
        if with_record {
            std::fs::remove_dir_all(self.file(process, "record")).ok();
        }
    }

    /// Has a process shut down gracefully and waits for it; whether it ended with success.
    pub fn terminate(&mut self, process: usize) -> bool {
        self.set_queried(process, false);
        self.signal(process, "-TERM");
        self.processes[process].wait_for_exit()
    }

    /// Limits the size of files that a process writes to so many bytes, as on a full disk; or lifts the limit.
    ///
    /// # Panics
    ///
    /// If the operating system rejects the limit.
    pub fn fill_disk(&self, process: usize, max_bytes: Option<u64>) {
        let id = self.id(process).and_then(|id| i32::try_from(id).ok());
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
    pub fn run_operator_command(&self, process: usize, arguments: &[&str]) -> Output {
        self.processes[process].run_operator_command(&self.exe, arguments)
    }
}
