//! Several processes of the program on loopback, in zones, with stand-in replicas and clients round them, a proxy on
//! every directed pair, and one judge of the rules for the whole fleet.
//!
//! Everything waits for an event with a bound that names what was awaited; no pause proves anything.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tempfile::TempDir;

use crate::fleet::Fleet;
use crate::net::Net;
use crate::program::{Class, config_of};
use crate::roster::{Roster, entry, list};
use crate::sites::own_loopback;
use crate::{Client, PATIENCE};

/// How large a rig is.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Zones by name, each with its region.
    pub zones: Vec<(&'static str, &'static str)>,
    /// Co-ordinators and replicas in each zone; the first co-ordinators are voters, in different zones.
    pub co_ordinators: usize,
    pub replicas: usize,
    pub voters: usize,
    pub seed: u64,
}

impl Default for Plan {
    fn default() -> Self {
        let zones = vec![
            ("palermo", "sicily"),
            ("catania", "sicily"),
            ("messina", "sicily"),
        ];
        Plan {
            zones,
            co_ordinators: 1,
            replicas: 2,
            voters: 3,
            seed: 1,
        }
    }
}

const SHARDS: usize = 12;
/// A lookup waits so long at the most, and its client a little longer.
const SOFT_MS: u64 = 1_500;
/// Replicas answer after so long.
const SERVICE: Duration = Duration::from_millis(4);

/// All that a process has said, and who waits for more of it.
#[derive(Default)]
struct Log {
    lines: Mutex<Vec<String>>,
    more: Condvar,
}

/// One process of the program.
struct Process {
    name: String,
    zone: usize,
    folder: TempDir,
    child: Option<Child>,
    log: Arc<Log>,
    /// Lines that were there when it was last started.
    from: usize,
    http: SocketAddr,
    _roster: Roster,
}

/// What a client was told.
#[derive(Clone, Debug, PartialEq)]
pub struct Told {
    pub id: String,
    pub zone: usize,
    pub once_only: bool,
    pub shards: Vec<usize>,
    /// `None` where the connection ended without an answer.
    pub status: Option<u16>,
    pub took: Duration,
    pub asked: Instant,
    /// The answer says that it is whole, and the shards it has.
    pub whole: bool,
    pub found: Vec<usize>,
    /// The process it asked was alive from beginning to end.
    pub alive: bool,
}

/// Which parts ran, by lookup and shard, at which replica.
type Ran = Arc<Mutex<Vec<(String, usize, usize)>>>;

pub struct Rig {
    pub net: Net,
    plan: Plan,
    exe: String,
    processes: Vec<Process>,
    ran: Ran,
    told: Arc<Mutex<Vec<Told>>>,
    stopping: Arc<AtomicBool>,
    /// Which processes are meant to be up.
    up: Arc<Mutex<Vec<bool>>>,
    clients: Vec<JoinHandle<()>>,
}

impl Rig {
    /// Sets all up; no process runs yet.
    pub fn new(exe: &str, plan: Plan) -> Rig {
        let ip = IpAddr::from(own_loopback());
        let at = |port: usize| SocketAddr::new(ip, port as u16);
        let zones = plan.zones.len();
        let (count, replicas) = (zones * plan.co_ordinators, zones * plan.replicas);
        let net = Net::default();
        let real = |n: usize| at(7_100 + n);
        let senders: BTreeMap<SocketAddr, usize> = (0..count).map(|n| (real(n), n)).collect();
        let pair = |a: usize, b: usize| at(10_000 + 100 * a + b);
        for b in 0..count {
            net.datagrams(
                at(7_300 + b),
                b,
                real(b),
                senders.clone(),
                plan.seed + b as u64,
            );
            for a in (0..count).filter(|a| *a != b && b < plan.voters) {
                net.connections(a, pair(a, b), b, real(b));
                net.datagrams(
                    pair(a, b),
                    b,
                    real(b),
                    senders.clone(),
                    plan.seed + (100 * a + b) as u64,
                );
            }
        }
        let ran = Ran::default();
        let fleet = Fleet::start(replicas);
        let addresses = fleet.addresses.clone();
        let log = ran.clone();
        spawn(move || {
            while let Some(part) = fleet.next() {
                let log = log.clone();
                spawn(move || {
                    // It has run once it has been begun.
                    let lookup = part.id.split('.').next().unwrap_or_default().to_owned();
                    log.lock().unwrap().push((lookup, part.shard, part.replica));
                    sleep(SERVICE);
                    let value = format!("{} hit 17 queue=0\nv{}", part.id, part.shard);
                    part.bytes(
                        &[
                            &(value.len() as u32 + 1).to_be_bytes()[..],
                            b"E",
                            value.as_bytes(),
                        ]
                        .concat(),
                    );
                });
            }
        });
        let names: Vec<&str> = plan.zones.iter().map(|(name, _)| *name).collect();
        let process = |n: usize| {
            let zone = n % zones;
            let (zone_name, region) = plan.zones[zone];
            let name = format!("{zone_name}-{}", n / zones);
            let entries = (0..replicas).map(|r| {
                let way = at(20_000 + 100 * n + r);
                net.connections(n, way, count + r, addresses[r]);
                let mut entry = entry(r, way, "active");
                entry["locality"] = json!(names[r % zones]);
                entry
            });
            let known = list(1, true, entries.collect());
            let roster = Roster::start(known.clone());
            let class = |name, once_only| Class {
                name,
                once_only,
                soft_ms: SOFT_MS,
                floor: 1.0,
            };
            let classes = [class("find", false), class("order", true)];
            let mut config = config_of(roster.address, &known, &classes, replicas, SHARDS);
            config["name"] = json!(name);
            config["listen"] = json!(at(8_000 + n).to_string());
            config["seed"] = json!(format!("{:016x}", plan.seed * 1_000 + n as u64));
            config["settings"]["dcs"] = json!(names);
            config["settings"]["me"] = json!(n);
            config["settings"]["balancers"] = json!(count);
            let folder = tempfile::tempdir().unwrap();
            std::fs::write(
                folder.path().join("fleet.key"),
                "a secret of the rig's fleet\n",
            )
            .unwrap();
            std::fs::write(folder.path().join("config.json"), config.to_string()).unwrap();
            let voter = |v: usize| {
                let address = if v == n { at(7_300 + v) } else { pair(n, v) };
                let (zone, region) = plan.zones[v % zones];
                format!(
                    "<voter name=\"{zone}-{}\" address=\"{address}\" zone=\"{zone}\" region=\"{region}\"/>",
                    v / zones
                )
            };
            let voters: String = (0..plan.voters).map(voter).collect();
            let zone = |(name, region): &(&str, &str)| {
                format!("<zone name=\"{name}\" region=\"{region}\"/>")
            };
            let all: String = plan.zones.iter().map(zone).collect();
            let installation = format!(
                "<installation version=\"1\"><fleet address=\"{}\" listen=\"{}\" secret=\"fleet.key\" \
                 machine=\"m{n}\" zone=\"{zone_name}\" region=\"{region}\" folder=\"record\" \
                 members=\"{}\">{voters}</fleet><zones hold=\"2000\" longest-hold=\"8000\" step=\"1000\" \
                 life=\"6000\">{all}</zones></installation>",
                at(7_300 + n),
                real(n),
                count.max(3),
            );
            std::fs::write(folder.path().join("installation.xml"), installation).unwrap();
            Process {
                name,
                zone: n % zones,
                folder,
                child: None,
                log: Arc::default(),
                from: 0,
                http: at(8_000 + n),
                _roster: roster,
            }
        };
        let processes = (0..count).map(process).collect();
        Rig {
            net,
            exe: exe.to_owned(),
            processes,
            ran,
            told: Arc::default(),
            stopping: Arc::default(),
            up: Arc::new(Mutex::new(vec![false; count])),
            clients: Vec::new(),
            plan,
        }
    }

    /// Sets all up, starts all, and waits until all act on a table.
    pub fn started(exe: &str, plan: Plan) -> Rig {
        let mut rig = Rig::new(exe, plan);
        rig.all().into_iter().for_each(|n| rig.start(n));
        rig.all()
            .into_iter()
            .for_each(|n| drop(rig.logged(n, "acts on a table")));
        rig
    }

    pub fn count(&self) -> usize {
        self.processes.len()
    }

    pub fn all(&self) -> Vec<usize> {
        (0..self.count()).collect()
    }

    /// Co-ordinators of a zone, and its replicas, by their numbers in the network.
    pub fn zone(&self, zone: usize) -> Vec<usize> {
        let zones = self.plan.zones.len();
        let replicas = (0..zones * self.plan.replicas)
            .filter(|r| r % zones == zone)
            .map(|r| self.count() + r);
        self.co_ordinators(zone)
            .into_iter()
            .chain(replicas)
            .collect()
    }

    pub fn co_ordinators(&self, zone: usize) -> Vec<usize> {
        self.all()
            .into_iter()
            .filter(|&n| self.processes[n].zone == zone)
            .collect()
    }

    pub fn name(&self, n: usize) -> &str {
        &self.processes[n].name
    }

    /// A file beside a process's configuration.
    pub fn file(&self, n: usize, name: &str) -> PathBuf {
        self.processes[n].folder.path().join(name)
    }

    /// Starts a process and waits until it serves.
    pub fn start(&mut self, n: usize) {
        self.begin(n);
        self.logged(n, "serving");
        self.up.lock().unwrap()[n] = true;
    }

    /// Starts a process, whatever becomes of it.
    pub fn begin(&mut self, n: usize) {
        let exe = self.exe.clone();
        let process = &mut self.processes[n];
        process.from = process.log.lines.lock().unwrap().len();
        let mut command = Command::new(exe);
        command.args([
            "serve",
            "--installation",
            "installation.xml",
            "--config",
            "config.json",
        ]);
        command
            .current_dir(process.folder.path())
            .stdout(Stdio::null())
            .stderr(Stdio::piped());
        let mut child = command.spawn().unwrap();
        let said = child.stderr.take().unwrap();
        let log = process.log.clone();
        spawn(move || {
            use std::io::BufRead;
            for line in std::io::BufReader::new(said).lines().map_while(Result::ok) {
                log.lines.lock().unwrap().push(line);
                log.more.notify_all();
            }
        });
        process.child = Some(child);
    }

    pub fn signal(&self, n: usize, name: &str) {
        if let Some(child) = &self.processes[n].child {
            let id = child.id().to_string();
            assert!(
                Command::new("kill")
                    .args([name, &id])
                    .status()
                    .unwrap()
                    .success()
            );
        }
    }

    /// A process's own number in the system.
    pub fn id(&self, n: usize) -> Option<u32> {
        self.processes[n].child.as_ref().map(Child::id)
    }

    /// Kills a process outright; with its folder it has lost all it kept.
    pub fn kill(&mut self, n: usize, with_folder: bool) {
        self.up.lock().unwrap()[n] = false;
        if let Some(mut child) = self.processes[n].child.take() {
            child.kill().ok();
            child.wait().ok();
        }
        if with_folder {
            std::fs::remove_dir_all(self.file(n, "record")).ok();
        }
    }

    /// Has a process end by itself, and waits for it.
    pub fn end(&mut self, n: usize) -> bool {
        self.up.lock().unwrap()[n] = false;
        self.signal(n, "-TERM");
        self.processes[n]
            .child
            .take()
            .is_some_and(|mut c| c.wait().is_ok_and(|s| s.success()))
    }

    /// Lines that a process has said so far, all its lives together.
    pub fn said(&self, n: usize) -> usize {
        self.processes[n].log.lines.lock().unwrap().len()
    }

    /// Waits for a line with these words since the process was last started.
    pub fn logged(&self, n: usize, words: &str) -> String {
        self.logged_since(n, self.processes[n].from, words)
    }

    /// Waits for a line with these words behind the first so many.
    pub fn logged_since(&self, n: usize, from: usize, words: &str) -> String {
        let is_it = |line: &str| line.contains(words);
        self.awaited(n, from, words, &is_it)
    }

    fn awaited(&self, n: usize, from: usize, what: &str, is_it: &dyn Fn(&str) -> bool) -> String {
        let log = &self.processes[n].log;
        let end = Instant::now() + 3 * PATIENCE;
        let mut lines = log.lines.lock().unwrap();
        loop {
            if let Some(line) = lines.iter().skip(from).find(|line| is_it(line)) {
                return line.clone();
            }
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                let tail: Vec<_> = lines.iter().rev().take(30).rev().cloned().collect();
                drop(lines);
                panic!(
                    "'{what}' did not come from {}; its last lines:\n{}",
                    self.name(n),
                    tail.join("\n")
                );
            }
            lines = log.more.wait_timeout(lines, left).unwrap().0;
        }
    }

    /// Waits until a process acts on a table whose way from one zone to another is as told.
    pub fn acts(
        &self,
        n: usize,
        from: usize,
        way: (usize, usize),
        is_so: impl Fn(u16, &str) -> bool,
    ) -> String {
        let what = format!(
            "a table with the wanted way from zone {} to {}",
            way.0, way.1
        );
        self.awaited(n, from, &what, &|line| {
            line.contains("acts on a table")
                && cell(line, way).is_some_and(|(share, reason)| is_so(share, &reason))
        })
    }

    /// Waits until a process acts on a table by which a pair of zones is cut, whichever of the two was heard.
    pub fn awaited_cut(&self, n: usize, from: usize, (a, b): (usize, usize)) -> String {
        self.awaited(n, from, "a table with a pair of zones cut", &|line| {
            let shut =
                |way| cell(line, way).is_some_and(|(share, reason)| share == 0 && reason == "Cut");
            line.contains("acts on a table") && (shut((a, b)) || shut((b, a)))
        })
    }

    /// Which process leads, by the last word on that of each that is up.
    pub fn leader(&self) -> usize {
        let end = Instant::now() + 2 * PATIENCE;
        while Instant::now() < end {
            let leads = |n: &usize| {
                let lines = self.processes[*n].log.lines.lock().unwrap();
                let word = |l: &&String| {
                    l.contains("leads from now on") || l.contains("does not lead any more")
                };
                let last = lines.iter().skip(self.processes[*n].from).rev().find(word);
                self.processes[*n].child.is_some()
                    && last.is_some_and(|l| l.contains("leads from now on"))
            };
            let leaders: Vec<usize> = (0..self.plan.voters).filter(leads).collect();
            if let [one] = leaders[..] {
                return one;
            }
            sleep(Duration::from_millis(20));
        }
        panic!("no single process leads");
    }

    /// Files of a process may not grow beyond so many bytes, as on a disk that is full; or may again.
    pub fn fill_disk(&self, n: usize, most: Option<u64>) {
        use rustix::process::{Pid, Resource, Rlimit, prlimit};
        if let Some(pid) = self.id(n).and_then(|id| Pid::from_raw(id as i32)) {
            prlimit(
                Some(pid),
                Resource::Fsize,
                Rlimit {
                    current: most,
                    maximum: None,
                },
            )
            .unwrap();
        }
    }

    /// Whether a process's clients ask it: not while it is stopped.
    pub fn ask_it(&self, n: usize, ask: bool) {
        self.up.lock().unwrap()[n] = ask;
    }

    /// Runs an operator's command at a process's files.
    pub fn operator(&self, n: usize, words: &[&str]) -> Output {
        let mut command = Command::new(&self.exe);
        command
            .args(["zones", "--installation", "installation.xml"])
            .args(words);
        command
            .current_dir(self.processes[n].folder.path())
            .output()
            .unwrap()
    }

    /// Clients in every zone begin to ask, one lookup after another, so many a second in each.
    pub fn ask_all_along(&mut self, a_second: u64) {
        for n in self.all() {
            let (zone, http, up) = (
                self.processes[n].zone,
                self.processes[n].http,
                self.up.clone(),
            );
            let (told, stopping) = (self.told.clone(), self.stopping.clone());
            let mut chance = oorandom::Rand64::new(u128::from(self.plan.seed) * 977 + n as u128);
            let wait = Duration::from_micros(1_000_000 / a_second.max(1));
            self.clients.push(spawn(move || {
                let mut number = 0;
                while !stopping.load(Ordering::SeqCst) {
                    sleep(wait);
                    if !up.lock().unwrap()[n] {
                        continue;
                    }
                    number += 1;
                    let id = format!("c{n}x{number}");
                    let once_only = chance.rand_range(0..4) == 0;
                    let first = chance.rand_range(0..SHARDS as u64) as usize;
                    let shards: Vec<usize> = if once_only {
                        vec![first]
                    } else {
                        (0..3).map(|k| (first + k * 5) % SHARDS).collect()
                    };
                    let one = ask(http, &id, zone, once_only, &shards);
                    let alive = up.lock().unwrap()[n];
                    told.lock().unwrap().push(Told { alive, ..one });
                }
            }));
        }
    }

    /// How many lookups were answered so far.
    pub fn answered(&self) -> usize {
        self.told
            .lock()
            .unwrap()
            .iter()
            .filter(|t| t.status == Some(200))
            .count()
    }

    /// Waits until so many lookups of these zones' clients in a row were answered, by those who began to ask from
    /// now on.
    pub fn whole_again(&self, zones: &[usize], in_a_row: usize) -> Duration {
        let began = Instant::now();
        while began.elapsed() < 4 * PATIENCE {
            let whole = zones.iter().all(|zone| {
                let told = self.told.lock().unwrap();
                let of_zone: Vec<_> = told
                    .iter()
                    .filter(|t| t.zone == *zone && t.asked >= began && t.alive)
                    .collect();
                of_zone.len() >= in_a_row
                    && of_zone
                        .iter()
                        .rev()
                        .take(in_a_row)
                        .all(|t| t.status == Some(200))
            });
            if whole {
                return began.elapsed();
            }
            sleep(Duration::from_millis(20));
        }
        let told = self.told.lock().unwrap();
        let last: Vec<_> = told
            .iter()
            .rev()
            .take(12)
            .map(|t| (t.zone, t.status, t.once_only))
            .collect();
        panic!("service did not become whole in zones {zones:?}; the last: {last:?}");
    }

    /// How many parts ran so far.
    pub fn ran(&self) -> usize {
        self.ran.lock().unwrap().len()
    }

    /// Of the parts that ran after the first so many: how many went to each zone from each zone's clients, and how
    /// many left a zone that holds their shard.
    pub fn flows(&self, since: usize) -> (BTreeMap<(usize, usize), usize>, usize) {
        let zones = self.plan.zones.len();
        let cells = zones * self.plan.replicas;
        let of: BTreeMap<String, usize> = self
            .told
            .lock()
            .unwrap()
            .iter()
            .map(|t| (t.id.clone(), t.zone))
            .collect();
        let (mut flows, mut strays) = (BTreeMap::new(), 0);
        for (lookup, shard, replica) in self.ran.lock().unwrap().iter().skip(since) {
            if let Some(&zone) = of.get(lookup) {
                *flows.entry((zone, replica % zones)).or_default() += 1;
                let held = (0..2).any(|k| (shard + k) % cells % zones == zone);
                strays += usize::from(held && replica % zones != zone);
            }
        }
        (flows, strays)
    }

    /// Stops the clients and judges all they were told by what truly ran.
    pub fn judge(&mut self) -> Vec<String> {
        self.stopping.store(true, Ordering::SeqCst);
        self.clients
            .drain(..)
            .for_each(|client| client.join().unwrap());
        judge(&self.told.lock().unwrap(), &self.ran.lock().unwrap())
    }

    pub fn told(&self) -> Vec<Told> {
        self.told.lock().unwrap().clone()
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::SeqCst);
        for n in self.all() {
            self.signal(n, "-CONT");
            self.kill(n, false);
            if std::thread::panicking() {
                let lines = self.processes[n]
                    .log
                    .lines
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner);
                let last: Vec<_> = lines.iter().rev().take(40).rev().collect();
                println!("--- {}", self.processes[n].name);
                last.iter().for_each(|line| println!("{line}"));
            }
        }
    }
}

/// The share and the reason of one way in a line that shows a table's rows.
fn cell(line: &str, (from, to): (usize, usize)) -> Option<(u16, String)> {
    let rows = line.split("Row { open: [").skip(1);
    let row = rows.into_iter().nth(from)?;
    let cell = row.split(')').nth(to)?;
    let (share, reason) = cell.rsplit('(').next()?.split_once(", ")?;
    Some((share.parse().ok()?, reason.to_owned()))
}

/// Asks one lookup on a connection of its own.
fn ask(http: SocketAddr, id: &str, zone: usize, once_only: bool, shards: &[usize]) -> Told {
    let asked = Instant::now();
    let mut told = Told {
        id: id.to_owned(),
        zone,
        once_only,
        shards: shards.to_vec(),
        status: None,
        took: Duration::ZERO,
        asked,
        whole: false,
        found: Vec::new(),
        alive: true,
    };
    if let Some(mut client) = Client::try_connect(http) {
        let index = if once_only { "order" } else { "find" };
        // Each lookup has a key of its own, so that all replicas are asked.
        let key = id.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |h, b| {
            (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)
        });
        let request =
            crate::request(index, id, shards).replace("7f3a9c21e0b4d655", &format!("{key:016x}"));
        if client.try_send(&request)
            && let Some((status, _, body)) = client.answer()
        {
            told.status = Some(status);
            let body: Value = serde_json::from_str(&body).unwrap_or_default();
            told.whole = body["finished"] == json!(true);
            let found = body["found"].as_array().cloned().unwrap_or_default();
            told.found = found
                .iter()
                .filter_map(|f| {
                    let shard = f["bucket"].as_u64()? as usize;
                    // A value that is another shard's is none.
                    f.to_string()
                        .contains(&format!("v{shard}"))
                        .then_some(shard)
                })
                .collect();
        }
    }
    told.took = asked.elapsed();
    told
}

/// The one judge: all that clients were told against all that ran.
pub fn judge(told: &[Told], ran: &[(String, usize, usize)]) -> Vec<String> {
    let mut breaches = Vec::new();
    let mut times: BTreeMap<(&str, usize), usize> = BTreeMap::new();
    ran.iter()
        .for_each(|(lookup, shard, _)| *times.entry((lookup, *shard)).or_default() += 1);
    for one in told {
        let Told { id, status, .. } = one;
        // Rule 1: one final answer in time from a process that lives.
        if one.alive && status.is_none() {
            breaches.push(format!("rule 1: {id} got no answer in {:?}", one.took));
        }
        if one.alive && one.took > Duration::from_millis(SOFT_MS) + PATIENCE / 5 {
            breaches.push(format!("rule 1: {id} was answered after {:?}", one.took));
        }
        let ran = |shard: &usize| {
            times
                .get(&(id.as_str(), *shard))
                .copied()
                .unwrap_or_default()
        };
        // Rule 2: no effect twice, and a nack only where nothing ran.
        if one.once_only && one.shards.iter().any(|s| ran(s) > 1) {
            breaches.push(format!("rule 2: a once-only part of {id} ran twice"));
        }
        if one.once_only && *status == Some(503) && one.shards.iter().any(|s| ran(s) > 0) {
            breaches.push(format!("rule 2: {id} was nacked, and a part of it ran"));
        }
        // Rule 5: whole only when whole, and only what ran.
        if *status == Some(200) {
            let missing: Vec<_> = one
                .shards
                .iter()
                .filter(|s| !one.found.contains(s))
                .collect();
            if one.whole && !missing.is_empty() {
                breaches.push(format!(
                    "rule 5: {id} is said to be whole and lacks {missing:?}"
                ));
            }
            if let Some(shard) = one.found.iter().find(|s| ran(s) == 0) {
                breaches.push(format!(
                    "rule 5: {id} has a value of shard {shard}, which never ran"
                ));
            }
        }
    }
    breaches
}
