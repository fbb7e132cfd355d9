//! Starts, signals and stops the processes of a rig.

use std::path::PathBuf;
use std::process::Output;

use rustix::process::{Pid, Resource, Rlimit, prlimit};

use super::Rig;

impl Rig {
    /// Returns the name of a process.
    pub fn name(&self, process: usize) -> &str {
        &self.processes[process].name
    }

    /// Returns the path of a file in a process's folder.
    pub fn file(&self, process: usize, name: &str) -> PathBuf {
        self.processes[process].file(name)
    }

    /// Starts a process and waits until it serves.
    ///
    /// # Panics
    ///
    /// If the process cannot be started, or does not serve in time.
    pub fn start(&mut self, process: usize) {
        self.spawn(process);
        self.wait_for_log(process, "serving");
        self.set_queried(process, true);
    }

    /// Starts a process without waiting until it serves.
    ///
    /// # Panics
    ///
    /// If the process cannot be started.
    pub fn spawn(&mut self, process: usize) {
        self.processes[process].spawn(&self.exe);
    }

    /// Sends a signal to a process if it runs. `name` is an option of `kill`, such as `-STOP`.
    pub fn signal(&self, process: usize, name: &str) {
        self.processes[process].signal(name);
    }

    /// Returns the process id of a process, or `None` if it does not run.
    pub fn pid(&self, process: usize) -> Option<u32> {
        self.processes[process].id()
    }

    /// Kills a process. With `delete_record`, also deletes its record folder, as if it had lost its disk.
    pub fn kill(&mut self, process: usize, delete_record: bool) {
        self.set_queried(process, false);
        self.processes[process].kill();
        if delete_record {
            std::fs::remove_dir_all(self.file(process, "record")).ok();
        }
    }

    /// Shuts a process down gracefully, waits for it, and reports whether it exited successfully.
    pub fn terminate(&mut self, process: usize) -> bool {
        self.set_queried(process, false);
        self.signal(process, "-TERM");
        self.processes[process].wait_for_exit()
    }

    /// Limits the size of the files that a process writes, which simulates a full disk. `None` removes the limit.
    ///
    /// # Panics
    ///
    /// If the operating system rejects the limit.
    pub fn fill_disk(&self, process: usize, max_bytes: Option<u64>) {
        let id = self.pid(process).and_then(|id| i32::try_from(id).ok());
        if let Some(pid) = id.and_then(Pid::from_raw) {
            let limit = Rlimit {
                current: max_bytes,
                maximum: None,
            };
            prlimit(Some(pid), Resource::Fsize, limit)
                .expect("the limit of a child process can be set");
        }
    }

    /// Runs a `zones` command of the program in a process's folder, as an operator would.
    ///
    /// # Panics
    ///
    /// If the program cannot be run.
    pub fn run_operator_command(&self, process: usize, arguments: &[&str]) -> Output {
        self.processes[process].run_operator_command(&self.exe, arguments)
    }
}
