//! Several processes of the program on loopback, in zones, with fake replicas and clients, a proxy on every directed
//! pair, and one checker of the rules for the whole fleet.
//!
//! Everything waits for an event with a bound that names what was awaited; no pause proves anything. Methods panic
//! if that bound is exceeded. Processes are numbered from 0; replicas follow them in the numbers of the network.
//!
//! The files, by concern: `config` and `layout` (what there is, and where), `setup`, one `process` with its `log`, the
//! `process_control` of all, the `clients` with their `load`, what tests wait for (`waits`, `route`), and `check`.

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

/// In the log line of a process that uses another routing table; the line shows it.
pub(crate) const TABLE_IN_USE: &str = "routing table in use";
/// In the log line of a process that was the leader until then.
pub(crate) const LEADERSHIP_LOST: &str = "lost leadership";

/// How often a condition without an event of its own is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Log lines of each process that are shown when a test fails.
const SHOWN_LINES: usize = 40;

/// Several processes of the program with faults between them.
pub struct Rig {
    /// All connections of the processes, and their faults.
    pub network: Network,
    config: RigConfig,
    exe: String,
    processes: Vec<Process>,
    executed: Arc<Mutex<Vec<Execution>>>,
    shared: SharedState,
    clients: Vec<JoinHandle<()>>,
}

impl Rig {
    /// Sets all up; no process runs yet.
    ///
    /// # Panics
    ///
    /// If an address or a folder of the rig is not to be had.
    pub fn new(exe: &str, config: RigConfig) -> Rig {
        let layout = Layout::new(&config);
        let network = Network::default();
        setup::connect_processes(&network, &layout, &config);
        let executed = Arc::default();
        let replicas = setup::start_replicas(config.replica_count(), &executed);
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

    /// Sets all up, starts all processes, and waits until all of them use a routing table.
    ///
    /// # Panics
    ///
    /// If one cannot be started, or does not get that far in time.
    pub fn start_all(exe: &str, config: RigConfig) -> Rig {
        let mut rig = Rig::new(exe, config);
        for process in rig.all() {
            rig.start(process);
        }
        for process in rig.all() {
            rig.wait_for_log(process, TABLE_IN_USE);
        }
        rig
    }

    /// How many processes there are.
    pub fn count(&self) -> usize {
        self.processes.len()
    }

    /// The numbers of all processes.
    pub fn all(&self) -> Vec<usize> {
        (0..self.count()).collect()
    }

    /// The numbers in the network of a zone's coordinators and replicas.
    pub fn zone(&self, zone: usize) -> Vec<usize> {
        let zones = self.config.zones.len();
        let replicas = (0..self.config.replica_count())
            .filter(|replica| replica % zones == zone)
            .map(|replica| self.count() + replica);
        self.coordinators(zone)
            .into_iter()
            .chain(replicas)
            .collect()
    }

    /// The numbers of a zone's coordinators.
    pub fn coordinators(&self, zone: usize) -> Vec<usize> {
        self.all()
            .into_iter()
            .filter(|&process| self.processes[process].zone == zone)
            .collect()
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        self.shared.stopping.store(true, Ordering::SeqCst);
        for process in self.all() {
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
