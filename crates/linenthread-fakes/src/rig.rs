//! Several processes of the program on loopback, in zones, with fake replicas and clients, a proxy on every directed
//! pair, and one checker of the rules for the whole fleet.
//!
//! Everything waits for an event with a bound that names what was awaited; no pause proves anything. Methods panic
//! if that bound is exceeded. Processes are numbered from 0; replicas follow them in the numbers of the network.

mod check;
mod clients;
mod layout;
mod log;
mod process;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Output;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::{Duration, Instant};

use oorandom::Rand64;

pub use check::{Execution, check};
pub use clients::QueryOutcome;

use self::clients::{QueryLoop, SharedState};
use self::layout::Layout;
use self::log::route;
use self::process::Process;
use crate::PATIENCE;
use crate::network::Network;
use crate::replicas::FakeReplicas;

/// How long replicas take for a sub-request.
const SERVICE_TIME: Duration = Duration::from_millis(4);
/// How often a condition without an event of its own is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Log lines of each process that are shown when a test fails.
const SHOWN_LINES: usize = 40;
/// Outcomes that are shown when clients are not served.
const SHOWN_OUTCOMES: usize = 12;
/// Replica groups that hold a shard.
const REPLICAS_PER_SHARD: usize = 2;

/// How large a rig is.
#[derive(Clone, Debug)]
pub struct RigConfig {
    /// Zones by name, each with its region.
    pub zones: Vec<(&'static str, &'static str)>,
    /// Coordinators in each zone.
    pub coordinators: usize,
    /// Replicas in each zone.
    pub replicas: usize,
    /// How many of the first coordinators are voters.
    pub voters: usize,
    /// The seed of all random numbers.
    pub seed: u64,
}

impl RigConfig {
    fn process_count(&self) -> usize {
        self.zones.len() * self.coordinators
    }

    fn replica_count(&self) -> usize {
        self.zones.len() * self.replicas
    }
}

impl Default for RigConfig {
    fn default() -> Self {
        let zones = vec![
            ("palermo", "sicily"),
            ("catania", "sicily"),
            ("messina", "sicily"),
        ];
        RigConfig {
            zones,
            coordinators: 1,
            replicas: 2,
            voters: 3,
            seed: 1,
        }
    }
}

/// Sub-requests by the zone of the client and the zone of the replica.
pub type Traffic = BTreeMap<(usize, usize), usize>;

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

/// Proxies between the processes.
fn connect_processes(network: &Network, layout: &Layout, config: &RigConfig) {
    let count = config.process_count();
    let senders: BTreeMap<SocketAddr, usize> =
        (0..count).map(|n| (layout.fleet_listen(n), n)).collect();
    for to in 0..count {
        let upstream = layout.fleet_listen(to);
        network.proxy_datagrams(
            layout.fleet_proxy(to),
            to,
            upstream,
            senders.clone(),
            config.seed + to as u64,
        );
        for from in (0..count).filter(|from| *from != to && to < config.voters) {
            let proxy = layout.pair_proxy(from, to);
            network.proxy_connections(from, proxy, to, upstream);
            network.proxy_datagrams(
                proxy,
                to,
                upstream,
                senders.clone(),
                config.seed + (100 * from + to) as u64,
            );
        }
    }
}

/// Replicas that respond after [`SERVICE_TIME`]; their addresses.
fn start_replicas(count: usize, executed: &Arc<Mutex<Vec<Execution>>>) -> Vec<SocketAddr> {
    let replicas = FakeReplicas::start(count);
    let addresses = replicas.addresses.clone();
    let executed = executed.clone();
    spawn(move || {
        while let Some(sub_request) = replicas.wait_for_sub_request() {
            let executed = executed.clone();
            spawn(move || {
                // It counts as executed once it has begun.
                let query = sub_request.id.split('.').next().unwrap_or_default();
                executed.lock().unwrap().push(Execution {
                    query: query.to_owned(),
                    shard: sub_request.shard,
                    replica: sub_request.replica,
                });
                sleep(SERVICE_TIME);
                sub_request.try_respond("hit", &format!("v{}", sub_request.shard));
            });
        }
    });
    addresses
}

impl Rig {
    /// Sets all up; no process runs yet.
    pub fn new(exe: &str, config: RigConfig) -> Rig {
        let layout = Layout::new(&config);
        let network = Network::default();
        connect_processes(&network, &layout, &config);
        let executed = Arc::default();
        let replicas = start_replicas(config.replica_count(), &executed);
        let count = config.process_count();
        let mut processes = Vec::with_capacity(count);
        for n in 0..count {
            for (replica, upstream) in replicas.iter().enumerate() {
                let proxy = layout.replica_proxy(n, replica);
                network.proxy_connections(n, proxy, count + replica, *upstream);
            }
            processes.push(Process::prepare(&layout, n, n % config.zones.len()));
        }
        let shared = SharedState::default();
        shared.up.lock().unwrap().resize(count, false);
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
    pub fn start_all(exe: &str, config: RigConfig) -> Rig {
        let mut rig = Rig::new(exe, config);
        for n in rig.all() {
            rig.start(n);
        }
        for n in rig.all() {
            rig.wait_for_log(n, "acts on a table");
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
            .filter(|&n| self.processes[n].zone == zone)
            .collect()
    }

    /// The name of a process.
    pub fn name(&self, n: usize) -> &str {
        &self.processes[n].name
    }

    /// A file in a process's folder.
    pub fn file(&self, n: usize, name: &str) -> PathBuf {
        self.processes[n].file(name)
    }

    /// Starts a process and waits until it serves.
    pub fn start(&mut self, n: usize) {
        self.spawn(n);
        self.wait_for_log(n, "serving");
        self.set_queried(n, true);
    }

    /// Starts a process and does not wait for it.
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

    /// How many lines a process has logged so far, over all its incarnations.
    pub fn log_position(&self, n: usize) -> usize {
        self.processes[n].log.len()
    }

    /// Waits for a log line with this text since the process was last started.
    pub fn wait_for_log(&self, n: usize, text: &str) -> String {
        self.wait_for_log_after(n, self.processes[n].started_at, text)
    }

    /// Waits for a log line with this text from a position on.
    pub fn wait_for_log_after(&self, n: usize, from: usize, text: &str) -> String {
        self.wait_for_line(n, from, text, &|line| line.contains(text))
    }

    fn wait_for_line(
        &self,
        n: usize,
        from: usize,
        what: &str,
        matches: &dyn Fn(&str) -> bool,
    ) -> String {
        let process = &self.processes[n];
        process.log.wait_for(&process.name, from, what, matches)
    }

    /// Waits until a process uses a routing table in which the route from one zone to another is as wanted; the
    /// condition gets the share in thousandths and the reason.
    pub fn wait_for_route(
        &self,
        n: usize,
        from: usize,
        zones: (usize, usize),
        is_wanted: impl Fn(u16, &str) -> bool,
    ) -> String {
        let what = format!(
            "a table with the wanted way from zone {} to {}",
            zones.0, zones.1
        );
        self.wait_for_line(n, from, &what, &|line| {
            line.contains("acts on a table")
                && route(line, zones).is_some_and(|(share, reason)| is_wanted(share, &reason))
        })
    }

    /// Waits until a process uses a routing table in which two zones are partitioned, in either direction.
    pub fn wait_for_partition(&self, n: usize, from: usize, (a, b): (usize, usize)) -> String {
        let is_partitioned = |line: &str, zones| {
            route(line, zones).is_some_and(|(share, reason)| share == 0 && reason == "Partitioned")
        };
        self.wait_for_line(n, from, "a table with a pair of zones cut", &|line| {
            line.contains("acts on a table")
                && (is_partitioned(line, (a, b)) || is_partitioned(line, (b, a)))
        })
    }

    /// Waits until a single voter leads, by the last log line on leadership of each that runs.
    pub fn leader(&self) -> usize {
        let end = Instant::now() + 2 * PATIENCE;
        while Instant::now() < end {
            let leaders: Vec<usize> = (0..self.config.voters)
                .filter(|n| self.processes[*n].is_leader())
                .collect();
            if let [leader] = leaders[..] {
                return leader;
            }
            sleep(POLL_INTERVAL);
        }
        panic!("no single process leads");
    }

    /// Limits the size of files that a process writes to so many bytes, as on a full disk; or lifts the limit.
    pub fn fill_disk(&self, n: usize, max_bytes: Option<u64>) {
        use rustix::process::{Pid, Resource, Rlimit, prlimit};
        let id = self.id(n).and_then(|id| i32::try_from(id).ok());
        if let Some(pid) = id.and_then(Pid::from_raw) {
            let limit = Rlimit {
                current: max_bytes,
                maximum: None,
            };
            prlimit(Some(pid), Resource::Fsize, limit).unwrap();
        }
    }

    /// Sets whether clients query a process, and expect responses of it: not while it is stopped.
    pub fn set_queried(&self, n: usize, queried: bool) {
        self.shared.up.lock().unwrap()[n] = queried;
    }

    /// Runs an operator's command in a process's folder.
    pub fn run_operator_command(&self, n: usize, arguments: &[&str]) -> Output {
        self.processes[n].run_operator_command(&self.exe, arguments)
    }

    /// Starts a client of each process, with so many queries a second, one after another.
    pub fn start_clients(&mut self, per_second: u64) {
        for (n, process) in self.processes.iter().enumerate() {
            let client = QueryLoop {
                process: n,
                zone: process.zone,
                http: process.http,
                rng: Rand64::new(u128::from(self.config.seed) * 977 + n as u128),
                interval: Duration::from_micros(1_000_000 / per_second.max(1)),
                shared: self.shared.clone(),
            };
            self.clients.push(client.start());
        }
    }

    /// How many queries have succeeded so far.
    pub fn succeeded(&self) -> usize {
        let outcomes = self.shared.outcomes.lock().unwrap();
        outcomes
            .iter()
            .filter(|outcome| outcome.succeeded())
            .count()
    }

    /// Waits until the last so many queries of each of these zones' clients have succeeded, of those made from now
    /// on; how long that took.
    pub fn wait_until_serving(&self, zones: &[usize], in_a_row: usize) -> Duration {
        let began = Instant::now();
        while began.elapsed() < 4 * PATIENCE {
            if zones
                .iter()
                .all(|zone| self.is_serving(*zone, began, in_a_row))
            {
                return began.elapsed();
            }
            sleep(POLL_INTERVAL);
        }
        let outcomes = self.shared.outcomes.lock().unwrap();
        let last: Vec<_> = outcomes
            .iter()
            .rev()
            .take(SHOWN_OUTCOMES)
            .map(|outcome| (outcome.zone, outcome.status, outcome.non_idempotent))
            .collect();
        panic!("service did not become whole in zones {zones:?}; the last: {last:?}");
    }

    fn is_serving(&self, zone: usize, since: Instant, in_a_row: usize) -> bool {
        let outcomes = self.shared.outcomes.lock().unwrap();
        let of_zone: Vec<_> = outcomes
            .iter()
            .filter(|outcome| outcome.zone == zone && outcome.sent_at >= since && outcome.alive)
            .collect();
        let mut last = of_zone.iter().rev().take(in_a_row);
        of_zone.len() >= in_a_row && last.all(|outcome| outcome.succeeded())
    }

    /// How many sub-requests were executed so far.
    pub fn executed(&self) -> usize {
        self.executed.lock().unwrap().len()
    }

    /// Of the sub-requests executed after the first so many: the traffic between zones, and how many left a zone
    /// that holds their shard.
    pub fn traffic(&self, since: usize) -> (Traffic, usize) {
        let zones = self.config.zones.len();
        let groups = self.config.replica_count();
        let zone_of_query: BTreeMap<String, usize> = self
            .outcomes()
            .into_iter()
            .map(|outcome| (outcome.id, outcome.zone))
            .collect();
        let (mut traffic, mut avoidable) = (Traffic::new(), 0);
        for one in self.executed.lock().unwrap().iter().skip(since) {
            let Some(&zone) = zone_of_query.get(&one.query) else {
                continue;
            };
            let to = one.replica % zones;
            *traffic.entry((zone, to)).or_default() += 1;
            let is_local =
                (0..REPLICAS_PER_SHARD).any(|k| (one.shard + k) % groups % zones == zone);
            avoidable += usize::from(is_local && to != zone);
        }
        (traffic, avoidable)
    }

    /// Stops the clients and checks all their queries against what was executed; the violations.
    pub fn check(&mut self) -> Vec<String> {
        self.shared.stopping.store(true, Ordering::SeqCst);
        for client in self.clients.drain(..) {
            client.join().unwrap();
        }
        check(&self.outcomes(), &self.executed.lock().unwrap())
    }

    /// The outcomes of all queries so far.
    pub fn outcomes(&self) -> Vec<QueryOutcome> {
        self.shared.outcomes.lock().unwrap().clone()
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        self.shared.stopping.store(true, Ordering::SeqCst);
        for n in self.all() {
            self.signal(n, "-CONT");
            self.kill(n, false);
            if std::thread::panicking() {
                println!("--- {}", self.name(n));
                for line in self.processes[n].log.tail(SHOWN_LINES) {
                    println!("{line}");
                }
            }
        }
    }
}
