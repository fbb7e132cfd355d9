//! Starts the proxies between processes and the replicas, before the processes of a rig are started.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::Duration;

use super::RigConfig;
use super::check::Execution;
use super::layout::Layout;
use crate::network::Network;
use crate::replicas::FakeReplicas;
use crate::sync::lock;

/// Starts the proxies between the processes.
pub(super) fn connect_processes(network: &Network, layout: &Layout, config: &RigConfig) {
    let count = config.process_count();
    let senders: BTreeMap<SocketAddr, usize> = (0..count)
        .map(|process| (layout.fleet_listen(process), process))
        .collect();
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

/// Starts replicas that respond after `service_time` and record each execution. Returns their addresses.
pub(super) fn start_replicas(
    count: usize,
    service_time: Duration,
    executed: &Arc<Mutex<Vec<Execution>>>,
) -> Vec<SocketAddr> {
    let replicas = FakeReplicas::start(count);
    let addresses = replicas.addresses.clone();
    let executed = executed.clone();
    spawn(move || {
        while let Some(sub_request) = replicas.wait_for_sub_request() {
            let executed = executed.clone();
            spawn(move || {
                // A sub-request counts as executed as soon as its execution begins.
                let query = sub_request.id.split('.').next().unwrap_or_default();
                lock(&executed).push(Execution {
                    query: query.to_owned(),
                    shard: sub_request.shard,
                    replica: sub_request.replica,
                });
                sleep(service_time);
                sub_request.try_respond("hit", &format!("v{}", sub_request.shard));
            });
        }
    });
    addresses
}
