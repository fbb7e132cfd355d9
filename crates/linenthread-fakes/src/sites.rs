//! Two sites on loopback that run the real program: a coordinator without replicas of its own, and a gateway with all
//! replicas, connected by a link that can be interrupted. All sub-requests that replicas receive are recorded.

mod load;
mod setup;
mod verdict;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Duration;

pub use load::{LoadReport, QueryResult, SteadyLoad, disconnect_everywhere, query_during_fault};
pub use verdict::QuerySummary;

use self::setup::{
    ARGUMENTS, REPLICAS, folder_with, peer_elements, settings, start_gateway, start_replicas,
};
use self::verdict::QueryEnd;
use crate::program::ORDER;
use crate::proxy::{ByDirection, ByteLimit, Proxy};
use crate::sync::lock;
use crate::{Service, ServiceDiscovery, member, membership};

/// The maximum time after a rejection within which a sub-request may still reach a replica.
const IN_TRANSIT: Duration = Duration::from_millis(30);

/// A second gateway to the same replicas.
pub struct SecondGateway {
    /// The process of the gateway.
    pub gateway: Service,
    /// The proxy of the link to it.
    pub proxy: Proxy,
    _discovery: ServiceDiscovery,
}

/// The configuration of two sites.
#[derive(Clone, Copy, Debug)]
pub struct SitesConfig {
    /// How long a session is kept after its connection is lost.
    pub session_timeout: Duration,
    /// The delay after which a lost link is reported as down.
    pub down_delay: Duration,
    /// The time that a replica takes to respond to a sub-request.
    pub service_time: Duration,
    /// Whether there is a second gateway to the same replicas, with its own link.
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

/// Two sites connected by a link.
pub struct Sites {
    /// The coordinator that is queried.
    pub local: Service,
    /// The gateway to the replicas.
    pub gateway: Service,
    /// The proxy of the link.
    pub proxy: Proxy,
    /// The address on which the gateway accepts links.
    pub link_address: SocketAddr,
    /// The second gateway, if configured.
    pub second_gateway: Option<SecondGateway>,
    /// The addresses of the replicas, by number.
    pub replicas: Vec<SocketAddr>,
    /// The gateway's service discovery.
    pub gateway_discovery: ServiceDiscovery,
    received: Arc<Mutex<Vec<Received>>>,
    /// The number of replicas behind links that the coordinator logged last.
    remote_replicas: usize,
    queries: usize,
    _local_discovery: ServiceDiscovery,
}

impl Sites {
    /// Starts two sites, and waits until the coordinator knows all replicas behind the link.
    ///
    /// # Panics
    ///
    /// If a process cannot be started, or the coordinator does not know the replicas in time.
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
            second_gateway: second,
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

    /// Waits until the coordinator knows this number of replicas behind links.
    ///
    /// # Panics
    ///
    /// If no log line arrives in time.
    pub fn wait_for_remote_replicas(&mut self, count: usize) {
        while self.remote_replicas != count {
            let line = self
                .local
                .next_log_line()
                .expect("the coordinator logs the number of replicas behind links");
            if let Some((_, known)) = line.split_once("replicas behind links remote=") {
                self.remote_replicas = known
                    .trim()
                    .parse()
                    .expect("the log line contains a number of replicas");
            }
        }
    }

    /// Closes the link until it is reported as down, reopens it, and waits until it is up again.
    ///
    /// # Panics
    ///
    /// If the link is not reported as down and then as up in time.
    pub fn reconnect(&mut self) {
        self.wait_for_remote_replicas(REPLICAS);
        self.proxy.set_upstream(None);
        self.proxy.disconnect();
        self.wait_for_remote_replicas(0);
        self.proxy.set_upstream(Some(self.link_address));
        self.wait_for_remote_replicas(REPLICAS);
    }

    /// Returns how many times replicas received each sub-request, by id.
    pub fn executions(&self) -> BTreeMap<String, usize> {
        let mut executions = BTreeMap::new();
        for received in lock(&self.received).iter() {
            *executions.entry(received.id.clone()).or_default() += 1;
        }
        executions
    }

    fn executions_of(&self, sub_request: &str) -> usize {
        let received = lock(&self.received);
        received
            .iter()
            .filter(|entry| entry.id == sub_request)
            .count()
    }

    /// Returns how many sub-requests a replica has received.
    pub fn received_by(&self, replica: usize) -> usize {
        let received = lock(&self.received);
        received
            .iter()
            .filter(|entry| entry.replica == replica)
            .count()
    }

    /// Sends a query for one shard, and checks its response against the executed sub-requests. Violations are added to
    /// `verdict`, prefixed with `description`.
    ///
    /// # Panics
    ///
    /// If the coordinator does not accept the connection.
    pub fn query(&mut self, index: &str, verdict: &mut QuerySummary, description: &str) {
        self.queries += 1;
        let id = format!("{index}{}", self.queries);
        let response = self.local.query(index, &id, &[1]).read_response();
        let status = response.map(|response| response.status);
        verdict.count(status);
        if status == Some(503) {
            // A sub-request that was sent in spite of the rejection has arrived after this time.
            sleep(IN_TRANSIT);
        }
        let end = QueryEnd {
            index,
            status,
            executions: self.executions_of(&format!("{id}.1")),
        };
        for reason in end
            .status_mismatch()
            .into_iter()
            .chain(end.duplicate_execution())
        {
            verdict.violations.push(format!(
                "{description}: {id} {reason} (status {status:?}, {} executions)",
                end.executions
            ));
        }
    }

    /// Returns how many bytes a new connection of the link carries in each direction for one complete query, including
    /// the handshake.
    ///
    /// # Panics
    ///
    /// If the link does not come up again.
    pub fn measure_exchange(&mut self) -> ByDirection<usize> {
        self.reconnect();
        self.query(ORDER, &mut QuerySummary::default(), "uninterrupted");
        self.proxy.forwarded_bytes()
    }

    /// Sends a non-idempotent query on a new connection of the link that is closed at a byte limit.
    ///
    /// # Panics
    ///
    /// If the link does not come up again.
    pub fn disconnect_at(&mut self, limit: ByteLimit, verdict: &mut QuerySummary) {
        let ByteLimit { direction, bytes } = limit;
        self.proxy.disconnect_next_after(direction, bytes);
        self.reconnect();
        let description = format!("link closed after {bytes} bytes {direction:?}");
        self.query(ORDER, verdict, &description);
        // Delayed sub-requests have arrived after this time.
        sleep(Duration::from_millis(100));
        let executions = self.executions();
        let duplicates = executions
            .iter()
            .filter(|(id, count)| id.starts_with(ORDER) && **count > 1)
            .map(|(id, count)| format!("{id} was executed {count} times"));
        verdict.violations.extend(duplicates);
    }
}
