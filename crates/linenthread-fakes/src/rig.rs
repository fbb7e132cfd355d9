//! Several processes of the program on loopback, in zones, with fake replicas and clients, a proxy for every directed
//! pair, and one check of the rules for the whole fleet.
//!
//! All waits are for an event, with a time limit; no result relies on a fixed pause. Methods panic when the limit is
//! exceeded, with a message that names the event. Processes are numbered from 0; in the numbering of the network,
//! replicas follow the processes.
//!
//! Submodules: `config` and `layout` (the size of a rig, and its addresses and files), `setup`, one `process` with its
//! `log`, `process_control` for all processes, `clients` and their `load`, the events that tests wait for (`waits`,
//! `route`), and `check`.

mod check;
mod clients;
mod config;
mod layout;
mod load;
mod log;
mod process;
mod process_control;
mod route;
mod setup;
mod waits;

use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

pub use check::{Execution, check};
pub use clients::QueryOutcome;
pub use config::{RigConfig, Zone};
pub use load::Traffic;
pub use route::{Route, ZonePair};

use self::clients::SharedState;
use self::layout::Layout;
use self::process::Process;
use crate::network::Network;
use crate::sync::lock;

/// Part of the log line that a process writes when it starts to use another routing table. The line contains the table.
pub(crate) const TABLE_IN_USE: &str = "routing table in use";
/// Part of the log line that a process writes when it stops being the leader.
pub(crate) const LEADERSHIP_LOST: &str = "lost leadership";

/// The polling interval for conditions that are not signalled by an event.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How many log lines of each process are printed when a test fails.
const SHOWN_LINES: usize = 40;

/// Several processes of the program, with faults injected between them.
pub struct Rig {
    /// The network between the processes and the replicas, and its faults.
    pub network: Network,
    config: RigConfig,
    exe: String,
    processes: Vec<Process>,
    executed: Arc<Mutex<Vec<Execution>>>,
    shared: SharedState,
    clients: Vec<JoinHandle<()>>,
}

impl Rig {
    /// Sets up the network, the replicas and the files of the processes, without starting a process.
    ///
    /// # Panics
    ///
    /// If an address is in use, or a folder cannot be created.
    pub fn new(exe: &str, config: RigConfig) -> Rig {
        let layout = Layout::new(&config);
        let network = Network::default();
        setup::connect_processes(&network, &layout, &config);
        let executed = Arc::default();
        let replicas =
            setup::start_replicas(config.replica_count(), config.service_time, &executed);
        let count = config.process_count();
        let mut processes = Vec::with_capacity(count);
        for process in 0..count {
            for (replica, upstream) in replicas.iter().enumerate() {
                let proxy = layout.replica_proxy(process, replica);
                network.proxy_connections(process, proxy, count + replica, *upstream);
            }
            processes.push(Process::prepare(
                &layout,
                process,
                process % config.zones.len(),
            ));
        }
        let shared = SharedState::default();
        lock(&shared.up).resize(count, false);
        Rig {
            network,
            exe: exe.to_owned(),
            processes,
            executed,
            shared,
            clients: Vec::new(),
            config,
        }
    }

    /// Sets up a rig, starts all processes, and waits until each of them uses a routing table.
    ///
    /// # Panics
    ///
    /// If a process cannot be started, or does not use a routing table in time.
    pub fn start_all(exe: &str, config: RigConfig) -> Rig {
        let mut rig = Rig::new(exe, config);
        for process in rig.all_processes() {
            rig.start(process);
        }
        for process in rig.all_processes() {
            rig.wait_for_log(process, TABLE_IN_USE);
        }
        rig
    }

    /// Returns the number of processes.
    pub fn process_count(&self) -> usize {
        self.processes.len()
    }

    /// Returns the numbers of all processes.
    pub fn all_processes(&self) -> Vec<usize> {
        (0..self.process_count()).collect()
    }

    /// Returns the network's numbers of the coordinators and the replicas in a zone.
    pub fn nodes_in_zone(&self, zone: usize) -> Vec<usize> {
        let zones = self.config.zones.len();
        let replicas = (0..self.config.replica_count())
            .filter(|replica| replica % zones == zone)
            .map(|replica| self.process_count() + replica);
        self.coordinators_in_zone(zone)
            .into_iter()
            .chain(replicas)
            .collect()
    }

    /// Returns the numbers of the coordinators in a zone.
    pub fn coordinators_in_zone(&self, zone: usize) -> Vec<usize> {
        self.all_processes()
            .into_iter()
            .filter(|&process| self.processes[process].zone == zone)
            .collect()
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        self.shared.stopping.store(true, Ordering::SeqCst);
        for process in self.all_processes() {
            self.signal(process, "-CONT");
            self.kill(process, false);
            if std::thread::panicking() {
                println!("--- {}", self.name(process));
                for line in self.processes[process].log.tail(SHOWN_LINES) {
                    println!("{line}");
                }
            }
        }
    }
}
