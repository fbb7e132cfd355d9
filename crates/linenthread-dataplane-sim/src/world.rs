//! One front, its replicas and its clients, from one seed to a verdict.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use linenthread_config::Settings;
use linenthread_dataplane::{DataPlane, Share, clock};
use tokio::task::{LocalSet, spawn_local};

use crate::client::{Shared, session};
use crate::fate::{Chance, Faults};
use crate::judge::{Breach, Counts, Judge, Runs};
use crate::network::Network;
use crate::replica::{Listening, Replica};

/// The host of all routes.
pub const HOST: &str = "index.example";
/// The services of the route that gathers.
pub const GATHERED_SERVICES: [&str; 3] = ["s1", "s2", "s3"];
/// The service of what may not be repeated.
const ONCE_SERVICE: &str = "s4";
const REPLICAS_A_SERVICE: u8 = 2;
/// Records in a merged answer.
pub const LIMIT_OF_RECORDS: usize = 7;
/// The time that all routes have.
pub const LIMIT_MS: u64 = 1_000;
/// Sessions of one world: they share its replicas and the connections to them.
pub const SESSIONS: usize = 20;
/// Sessions begin within so many milliseconds.
const SPREAD: u64 = 3_000;
const TIDY: Duration = Duration::from_secs(1);
/// Many further tries are allowed, so that there are many.
const FURTHER_TRIES: f64 = 1_000.0;

/// What came of one world.
pub struct Verdict {
    pub breaches: Vec<Breach>,
    pub counts: Counts,
    pub runs: usize,
    pub digest: u64,
}

/// Plays so many sessions under a seed. The same seed gives the same verdict.
///
/// # Panics
/// Where the runtime of the simulation cannot be made.
pub fn play(seed: u64, sessions: usize) -> Verdict {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime without I/O");
    LocalSet::new().block_on(&runtime, world(seed, sessions))
}

async fn world(seed: u64, sessions: usize) -> Verdict {
    clock::restart();
    let chance = Chance::new(seed);
    let (runs, network) = (Runs::default(), Network::default());
    let plane = DataPlane::new(Rc::new(settings()), seed, network.clone());
    plane.adopt(configuration().as_bytes());
    plane.allot(Share {
        free: FURTHER_TRIES,
        until: u64::MAX,
        own: 0,
        fronts: 1,
        epoch: 1,
    });
    let judge = Rc::new(RefCell::new(Judge::default()));
    let frozen = Rc::new(Cell::new(Duration::ZERO));
    let shared = Shared {
        plane,
        judge,
        runs,
        chance,
        frozen,
    };
    let replicas = Replicas::start(&shared, network);
    let mut troubles = vec![spawn_local(replicas.troubles(shared.clone()))];
    troubles.push(spawn_local(freezes(shared.clone())));
    troubles.push(spawn_local(tidying(shared.clone())));
    let begun: Vec<_> = (0..sessions)
        .map(|n| spawn_local(later(shared.clone(), format!("a{seed}-{n}"))))
        .collect();
    for session in begun {
        if let Err(e) = session.await {
            let mut judge = shared.judge.borrow_mut();
            judge.breach(
                crate::judge::Rule::CompleteOrTold,
                format!("a session broke off: {e}"),
            );
        }
    }
    troubles.iter().for_each(tokio::task::JoinHandle::abort);
    let mut judge = shared.judge.borrow_mut();
    judge.close(&shared.runs);
    let breaches = std::mem::take(&mut judge.breaches);
    Verdict {
        breaches,
        counts: judge.counts,
        runs: shared.runs.count(),
        digest: shared.runs.digest(),
    }
}

async fn later(shared: Shared, name: String) {
    let at = shared.chance.ms(0, SPREAD);
    tokio::time::sleep(at).await;
    session(shared, name).await;
}

/// The front's process is stopped now and then: its clock goes on, and nothing of it runs.
async fn freezes(shared: Shared) {
    if !shared.chance.per_mille(300) {
        return;
    }
    loop {
        tokio::time::sleep(shared.chance.ms(300, 3_000)).await;
        let time = shared.chance.ms(20, 1_500);
        shared.frozen.set(shared.frozen.get() + time);
        tokio::time::advance(time).await;
    }
}

async fn tidying(shared: Shared) {
    loop {
        tokio::time::sleep(TIDY).await;
        shared.plane.tidy();
    }
}

/// The replicas of a world, and how many there have been.
struct Replicas {
    network: Network,
    faults: Faults,
    here: Vec<Rc<Replica>>,
    lives: usize,
}

impl Replicas {
    fn start(shared: &Shared, network: Network) -> Replicas {
        let faults = Faults::draw(&shared.chance);
        let mut replicas = Replicas {
            network,
            faults,
            here: Vec::new(),
            lives: 0,
        };
        for (number, service) in GATHERED_SERVICES.iter().chain([&ONCE_SERVICE]).enumerate() {
            for copy in 0..REPLICAS_A_SERVICE {
                let address = SocketAddr::from(([10, 128, number as u8, copy + 1], 8_080));
                let replica = replicas.life(shared, service, address, true);
                replicas.here.push(replica);
            }
        }
        replicas.tell(shared);
        replicas
    }

    /// A new replica at an address.
    fn life(
        &mut self,
        shared: &Shared,
        service: &str,
        address: SocketAddr,
        checks: bool,
    ) -> Rc<Replica> {
        self.lives += 1;
        let ident = format!("i{}", self.lives);
        let more = (self.faults, shared.chance.clone(), shared.runs.clone());
        let replica = Replica::new((ident, service, address), checks, more);
        self.network
            .listen(address, Rc::new(Listening(replica.clone())));
        replica
    }

    /// Tells the front who is there.
    fn tell(&self, shared: &Shared) {
        let told: Vec<_> = self.here.iter().map(|r| listed(r)).collect();
        shared.plane.hear(&told, true);
    }

    /// Replicas freeze, and end and are followed by others at their addresses, of which the front hears late.
    async fn troubles(mut self, shared: Shared) {
        let chance = shared.chance.clone();
        if self.faults.connections == 0 {
            return;
        }
        loop {
            tokio::time::sleep(chance.ms(100, 1_500)).await;
            let which = chance.below(self.here.len() as u64) as usize;
            if chance.per_mille(500) {
                self.here[which].freeze(chance.ms(20, 1_200));
                continue;
            }
            self.replace(which, &shared);
            tokio::time::sleep(chance.ms(0, 1_500)).await;
            self.tell(&shared);
        }
    }

    /// Ends a replica; another one, of another service at times, has its address at once. One that does not
    /// look for whom a request is meant is always of the same service: nothing on the wire would tell.
    fn replace(&mut self, which: usize, shared: &Shared) {
        let old = self.here[which].clone();
        old.end();
        let checks = shared.chance.per_mille(800);
        let stranger = checks && shared.chance.per_mille(300);
        let service = if stranger {
            "stranger"
        } else {
            old.service.as_str()
        };
        let new = self.life(shared, service, old.address, checks);
        if !stranger {
            self.here[which] = new;
            return;
        }
        // The service gets its replica back elsewhere.
        let [a, b, c, _] = match old.address.ip() {
            std::net::IpAddr::V4(ip) => ip.octets(),
            std::net::IpAddr::V6(_) => [0; 4],
        };
        let address = SocketAddr::from(([a, b, c, 10 + (self.lives % 200) as u8], 8_080));
        self.here[which] = self.life(shared, &old.service, address, true);
    }
}

fn listed(replica: &Replica) -> linenthread_messages::Replica {
    linenthread_messages::Replica {
        id: replica.ident.clone(),
        backend: replica.service.clone(),
        address: replica.address.to_string(),
        zone: "z".into(),
        capacity: 3,
        ..Default::default()
    }
}

/// The settings of a front.
pub fn settings() -> Settings {
    Settings {
        node_name: "front".into(),
        zone: "z".into(),
        ip_addr: std::net::Ipv4Addr::LOCALHOST.into(),
        ingress_bind: None,
        readiness_bind: None,
        control_bind: None,
        peers_port: 1,
        bootstrap_peers: Vec::new(),
        initial_boot: false,
        quorum_member: false,
        machine_faults: 1,
        state_dir: None,
        heartbeat_interval: Duration::from_secs(1),
        drain_timeout: Duration::from_secs(3),
        shutdown_grace: Duration::from_secs(6),
        retry_ratio: 0.2,
        retry_window: Duration::from_secs(10),
        retry_allowance: FURTHER_TRIES,
        pass_through: false,
    }
}

/// The configuration of all worlds.
pub fn configuration() -> String {
    let all = GATHERED_SERVICES.map(|s| format!("\"{s}\"")).join(",");
    let route = |label: &str, mode: &str, more: &str| {
        format!(
            r#"{{"label":"{label}","host":"{HOST}","path_prefix":"/{label}/","mode":"{mode}",
            "limit_ms":{LIMIT_MS},"target_ms":100,"rank":1,"tries":3,{more}}}"#
        )
    };
    let routes = [
        route(
            "all",
            "idempotent",
            &format!(r#""fanout":[{all}],"result_limit":{LIMIT_OF_RECORDS},"min_coverage":0.3"#),
        ),
        route("one", "idempotent", r#""backend":"s1""#),
        route(
            "once",
            "mutating",
            &format!(r#""backend":"{ONCE_SERVICE}""#),
        ),
    ];
    format!(
        r#"{{"revision":1,"route_table":[{}],"backends":[]}}"#,
        routes.join(",")
    )
}
