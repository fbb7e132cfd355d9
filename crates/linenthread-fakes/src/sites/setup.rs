//! Starts the parts of two sites: replicas, configuration files, and gateways.

use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::Duration;

use serde_json::Value;
use tempfile::TempDir;

use super::{Received, SitesConfig};
use crate::files::{temporary_folder, write_file};
use crate::loopback::{self, unused_loopback};
use crate::program::{find_and_order, millis};
use crate::proxy::Proxy;
use crate::sync::lock;
use crate::{FakeReplicas, Service, ServiceDiscovery, config_with_indexes};

/// The secret that both sites share.
const SECRET: &str = "a secret between two sites\n";
/// The number of replicas behind the gateway.
pub(super) const REPLICAS: usize = 2;
/// The number of shards of each index.
const SHARDS: usize = 4;
/// The socket limit of each process: enough for a thousand concurrent clients.
const SOCKETS: usize = 4_096;
/// The soft deadline of queries.
pub(super) const SOFT_DEADLINE: Duration = Duration::from_millis(1_500);
/// The arguments of the program at both sites.
pub(super) const ARGUMENTS: [&str; 2] = ["--installation", "installation.xml"];

/// Starts replicas that respond after the service time and record the sub-requests they receive. Returns their
/// addresses.
pub(super) fn start_replicas(
    service_time: Duration,
    received: &Arc<Mutex<Vec<Received>>>,
) -> Vec<SocketAddr> {
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

/// Returns the contents of `config.json` of a site.
pub(super) fn settings(discovery: &ServiceDiscovery, known: &str) -> Value {
    let indexes = find_and_order(SOFT_DEADLINE);
    let mut config = config_with_indexes(discovery.address, known, &indexes, REPLICAS, SHARDS);
    config["limits"]["sockets"] = SOCKETS.into();
    config
}

/// Creates a folder with the link's secret and a deploy file that contains these elements.
pub(super) fn folder_with(elements: &str) -> TempDir {
    let folder = temporary_folder();
    write_file(&folder.path().join("link.key"), SECRET);
    let text = format!("<installation version=\"1\">{elements}</installation>");
    write_file(&folder.path().join("installation.xml"), &text);
    folder
}

/// A gateway, and a proxy in front of the address on which it accepts links.
pub(super) struct Gateway {
    pub(super) service: Service,
    pub(super) proxy: Proxy,
    /// The address on which the gateway accepts links.
    pub(super) link_address: SocketAddr,
}

/// Starts a gateway to the replicas that service discovery lists.
pub(super) fn start_gateway(exe: &str, discovery: &ServiceDiscovery, known: &str) -> Gateway {
    // The gateway binds a port that was just found to be free. The address is used by nothing else in the tests: on
    // 127.0.0.1, a connection of another test could take the port in between, and the gateway would not start.
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

/// Returns the elements of the deploy file for links to gateways.
pub(super) fn peer_elements<'p>(
    config: &SitesConfig,
    proxies: impl Iterator<Item = &'p Proxy>,
) -> String {
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
