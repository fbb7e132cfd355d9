//! Two sites on loopback with the real program at both: a coordinator without replicas of its own, and a gateway that
//! has all of them, with a link between that can be interrupted. What replicas received is on record.

mod load;

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::Duration;

use serde_json::Value;
use tempfile::TempDir;

pub use load::{QueryResult, disconnect_everywhere, query_during_fault};

use crate::files::{temporary_folder, write_file};
use crate::loopback::{self, unused_loopback};
use crate::program::millis;
use crate::proxy::{ByDirection, ByteLimit, Proxy};
use crate::sync::lock;
use crate::{Class, FakeReplicas, Service, ServiceDiscovery, config_of, member, membership};

const SECRET: &str = "a secret between two sites\n";
const REPLICAS: usize = 2;
const SHARDS: usize = 4;
/// Sockets of each process: room for a thousand clients at once.
const SOCKETS: usize = 4_096;
/// The soft deadline of queries.
const SOFT_DEADLINE: Duration = Duration::from_millis(1_500);
const ARGUMENTS: [&str; 2] = ["--installation", "installation.xml"];
/// How long after a rejection a sub-request may still be on its way to a replica.
const IN_TRANSIT: Duration = Duration::from_millis(30);

/// One more gateway to the same replicas.
pub struct SecondGateway {
    /// The process.
    pub gateway: Service,
    /// The link to it.
    pub proxy: Proxy,
    _discovery: ServiceDiscovery,
}

/// How two sites are set up.
#[derive(Clone, Copy, Debug)]
pub struct SitesConfig {
    /// How long a session outlives its connection.
    pub session_timeout: Duration,
    /// How long after its loss a link is reported as down.
    pub down_delay: Duration,
    /// How long replicas take for a sub-request.
    pub service_time: Duration,
    /// There is a second gateway to the same replicas, over a link of its own.
    pub second_gateway: bool,
}

impl Default for SitesConfig {
    fn default() -> Self {
        SitesConfig {
            session_timeout: Duration::from_secs(3),
            down_delay: Duration::from_millis(50),
            service_time: Duration::from_millis(3),
            second_gateway: false,
        }
    }
}

/// A sub-request that a replica received.
struct Received {
    id: String,
    replica: usize,
}

/// Two sites with a link between.
pub struct Sites {
    /// The coordinator that is queried.
    pub local: Service,
    /// The gateway to the replicas.
    pub gateway: Service,
    /// The link.
    pub proxy: Proxy,
    /// Where the gateway takes links.
    pub link_address: SocketAddr,
    /// The other gateway, if there is one.
    pub second: Option<SecondGateway>,
    /// Where the replicas listen, by number.
    pub replicas: Vec<SocketAddr>,
    /// The gateway's service discovery.
    pub gateway_discovery: ServiceDiscovery,
    received: Arc<Mutex<Vec<Received>>>,
    /// Replicas behind the link, as the coordinator last logged.
    remote_replicas: usize,
    queries: usize,
    _local_discovery: ServiceDiscovery,
}

/// What became of the queries of a run.
#[derive(Debug, Default, PartialEq)]
pub struct Verdict {
    /// Queries that were checked.
    pub checked: usize,
    /// Those that were answered.
    pub succeeded: usize,
    /// Those that were rejected: nothing was executed.
    pub rejected: usize,
    /// Those that failed: what was executed is unknown.
    pub failed: usize,
    /// Violations of the rules.
    pub violations: Vec<String>,
}

impl Verdict {
    fn count(&mut self, status: Option<u16>) {
        self.checked += 1;
        match status {
            Some(200) => self.succeeded += 1,
            Some(503) => self.rejected += 1,
            Some(502) => self.failed += 1,
            _ => {}
        }
    }

    fn add(&mut self, other: Verdict) {
        self.checked += other.checked;
        self.succeeded += other.succeeded;
        self.rejected += other.rejected;
        self.failed += other.failed;
        self.violations.extend(other.violations);
    }
}

/// Starts replicas that respond after a while; their addresses.
fn start_replicas(service_time: Duration, received: &Arc<Mutex<Vec<Received>>>) -> Vec<SocketAddr> {
    let replicas = FakeReplicas::start(REPLICAS);
    let addresses = replicas.addresses.clone();
    let received = received.clone();
    spawn(move || {
        while let Some(sub_request) = replicas.wait_for_sub_request() {
            lock(&received).push(Received {
                id: sub_request.id.clone(),
                replica: sub_request.replica,
            });
            spawn(move || {
                sleep(service_time);
                sub_request.try_respond("hit", "v");
            });
        }
    });
    addresses
}

/// The contents of `config.json` of a site.
fn settings(discovery: &ServiceDiscovery, known: &str) -> Value {
    let class = |name, non_idempotent| Class {
        name,
        non_idempotent,
        soft_deadline: SOFT_DEADLINE,
        floor: 1.0,
    };
    let classes = [class("find", false), class("order", true)];
    let mut config = config_of(discovery.address, known, &classes, REPLICAS, SHARDS);
    config["limits"]["sockets"] = SOCKETS.into();
    config
}

/// A folder with a deploy file that has these elements.
fn folder_with(elements: &str) -> TempDir {
    let folder = temporary_folder();
    write_file(&folder.path().join("link.key"), SECRET);
    let text = format!("<installation version=\"1\">{elements}</installation>");
    write_file(&folder.path().join("installation.xml"), &text);
    folder
}

/// A gateway, and a proxy in front of where it takes links.
struct Gateway {
    service: Service,
    proxy: Proxy,
    link_address: SocketAddr,
}

/// Starts a gateway to the replicas that service discovery lists.
fn start_gateway(exe: &str, discovery: &ServiceDiscovery, known: &str) -> Gateway {
    // A port that was free a moment ago, on an address that nothing else here binds: on 127.0.0.1 any connection of
    // another test may have taken it meanwhile, and the gateway fails to start.
    let link_address = loopback::address_of(
        &TcpListener::bind((unused_loopback(), 0)).expect("an unused address has a free port"),
    );
    let element = format!("<gateway listen=\"{link_address}\" secret=\"link.key\"/>");
    let config = settings(discovery, known);
    Gateway {
        service: Service::start_in(folder_with(&element), exe, &config, &ARGUMENTS),
        proxy: Proxy::start(link_address),
        link_address,
    }
}

/// The deploy file's elements for links to gateways.
fn peer_elements<'p>(config: &SitesConfig, proxies: impl Iterator<Item = &'p Proxy>) -> String {
    let session_timeout = millis(config.session_timeout);
    let down_delay = millis(config.down_delay);
    let peers: String = proxies
        .enumerate()
        .map(|(n, proxy)| {
            format!(
                "<peer name=\"far{n}\" address=\"{}\" secret=\"link.key\" keep=\"{session_timeout}\" \
                 beat=\"100\" hold=\"{down_delay}\"/>",
                proxy.address
            )
        })
        .collect();
    format!("<peers>{peers}</peers>")
}

impl Sites {
    /// Starts two sites, and waits until the coordinator knows all replicas behind the link.
    ///
    /// # Panics
    ///
    /// If one cannot be started, or the replicas are not known in time.
    pub fn start(exe: &str, config: SitesConfig) -> Sites {
        let received = Arc::default();
        let replicas = start_replicas(config.service_time, &received);
        let members = replicas
            .iter()
            .enumerate()
            .map(|(replica, address)| member(replica, *address, "active"));
        let all = membership(1, true, members.collect());
        let none = membership(1, true, Vec::new());
        let gateway_discovery = ServiceDiscovery::start(all.clone());
        let local_discovery = ServiceDiscovery::start(none.clone());
        let gateway = start_gateway(exe, &gateway_discovery, &all);
        let second = config.second_gateway.then(|| {
            let discovery = ServiceDiscovery::start(all.clone());
            let second = start_gateway(exe, &discovery, &all);
            SecondGateway {
                gateway: second.service,
                proxy: second.proxy,
                _discovery: discovery,
            }
        });
        let proxies =
            std::iter::once(&gateway.proxy).chain(second.as_ref().map(|second| &second.proxy));
        let folder = folder_with(&peer_elements(&config, proxies));
        let local_settings = settings(&local_discovery, &none);
        let local = Service::start_in(folder, exe, &local_settings, &ARGUMENTS);
        let mut sites = Sites {
            local,
            gateway: gateway.service,
            proxy: gateway.proxy,
            link_address: gateway.link_address,
            second,
            replicas,
            gateway_discovery,
            received,
            remote_replicas: 0,
            queries: 0,
            _local_discovery: local_discovery,
        };
        sites.wait_for_remote_replicas(REPLICAS);
        sites
    }

    /// Waits until the coordinator knows so many replicas behind the link.
    ///
    /// # Panics
    ///
    /// If it does not in time.
    pub fn wait_for_remote_replicas(&mut self, count: usize) {
        while self.remote_replicas != count {
            let line = self.local.next_log_line().expect("the link comes up again");
            if let Some((_, known)) = line.split_once("replicas behind links far=") {
                self.remote_replicas = known
                    .trim()
                    .parse()
                    .expect("the log has a number of replicas");
            }
        }
    }

    /// Closes the link for long enough that it is reported as down, and waits until it is up again.
    ///
    /// # Panics
    ///
    /// If it is not in time.
    pub fn reconnect(&mut self) {
        self.wait_for_remote_replicas(REPLICAS);
        self.proxy.set_upstream(None);
        self.proxy.disconnect();
        self.wait_for_remote_replicas(0);
        self.proxy.set_upstream(Some(self.link_address));
        self.wait_for_remote_replicas(REPLICAS);
    }

    /// How many times each sub-request was received by a replica, by its id.
    pub fn executions(&self) -> BTreeMap<String, usize> {
        let mut executions = BTreeMap::new();
        for received in lock(&self.received).iter() {
            *executions.entry(received.id.clone()).or_default() += 1;
        }
        executions
    }

    fn executions_of(&self, sub_request: &str) -> usize {
        let received = lock(&self.received);
        received.iter().filter(|one| one.id == sub_request).count()
    }

    /// How many sub-requests a replica has received.
    pub fn received_by(&self, replica: usize) -> usize {
        let received = lock(&self.received);
        received.iter().filter(|one| one.replica == replica).count()
    }

    /// Makes a query of one shard, and checks its response against what was executed.
    ///
    /// # Panics
    ///
    /// If the coordinator does not accept the connection.
    pub fn query(&mut self, index: &str, verdict: &mut Verdict, what: &str) {
        self.queries += 1;
        let id = format!("{index}{}", self.queries);
        let response = self.local.query(index, &id, &[1]).response();
        let status = response.map(|(status, ..)| status);
        let sub_request = format!("{id}.1");
        let non_idempotent = index == "order";
        verdict.count(status);
        let violation = match status {
            Some(200) => {
                (self.executions_of(&sub_request) == 0).then_some("answered, and did not run")
            }
            Some(503) => {
                sleep(IN_TRANSIT);
                (non_idempotent && self.executions_of(&sub_request) > 0)
                    .then_some("nacked, and ran")
            }
            Some(502) => None,
            _ => Some("no final answer"),
        };
        let executions = self.executions_of(&sub_request);
        let twice = (non_idempotent && executions > 1).then_some("ran twice");
        for why in violation.into_iter().chain(twice) {
            verdict.violations.push(format!(
                "{what}: {id} {why} (answer {status:?}, ran {executions})"
            ));
        }
    }

    /// How many bytes one complete exchange takes from the connection on, to the gateway and back.
    ///
    /// # Panics
    ///
    /// If the link does not come up again.
    pub fn measure_exchange(&mut self) -> ByDirection<usize> {
        self.reconnect();
        self.query("order", &mut Verdict::default(), "whole");
        self.proxy.forwarded()
    }

    /// Makes a non-idempotent query with the link closed after so many bytes.
    ///
    /// # Panics
    ///
    /// If the link does not come up again.
    pub fn disconnect_at(&mut self, limit: ByteLimit, verdict: &mut Verdict) {
        let ByteLimit { direction, bytes } = limit;
        self.proxy.disconnect_next_after(direction, bytes);
        self.reconnect();
        let what = format!("cut {direction:?} after {bytes} bytes");
        self.query("order", verdict, &what);
        // Whatever was late has arrived by now.
        sleep(Duration::from_millis(100));
        let executions = self.executions();
        let twice = executions
            .iter()
            .filter(|(id, count)| id.starts_with("order") && **count > 1)
            .map(|(id, count)| format!("{id} ran {count} times"));
        verdict.violations.extend(twice);
    }
}
