//! Two sites on loopback with the real program at both: a coordinator without replicas of its own, and a gateway that
//! has all of them, with a link between that can be interrupted. What replicas received is on record.

mod load;
mod setup;
mod verdict;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Duration;

pub use load::{LoadReport, QueryResult, SteadyLoad, disconnect_everywhere, query_during_fault};
pub use verdict::Verdict;

use self::setup::{
    ARGUMENTS, REPLICAS, folder_with, peer_elements, settings, start_gateway, start_replicas,
};
use self::verdict::QueryEnd;
use crate::program::ORDER;
use crate::proxy::{ByDirection, ByteLimit, Proxy};
use crate::sync::lock;
use crate::{Service, ServiceDiscovery, member, membership};

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
            if let Some((_, known)) = line.split_once("replicas behind links remote=") {
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
        let status = response.map(|response| response.status);
        verdict.count(status);
        if status == Some(503) {
            // If its sub-request was sent all the same, it has arrived after this.
            sleep(IN_TRANSIT);
        }
        let end = QueryEnd {
            index,
            status,
            executions: self.executions_of(&format!("{id}.1")),
        };
        for why in end.false_status().into_iter().chain(end.ran_twice()) {
            verdict.violations.push(format!(
                "{what}: {id} {why} (answer {status:?}, ran {})",
                end.executions
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
        self.query(ORDER, &mut Verdict::default(), "whole");
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
        self.query(ORDER, verdict, &what);
        // Whatever was late has arrived by now.
        sleep(Duration::from_millis(100));
        let executions = self.executions();
        let twice = executions
            .iter()
            .filter(|(id, count)| id.starts_with(ORDER) && **count > 1)
            .map(|(id, count)| format!("{id} ran {count} times"));
        verdict.violations.extend(twice);
    }
}
