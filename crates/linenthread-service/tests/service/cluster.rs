//! The set-up of most tests: a program with its own replicas and service discovery.

use linenthread_fakes::{
    Client, FakeReplicas, Service, ServiceDiscovery, SubRequest, config, member, membership,
};
use serde_json::Value;

use crate::EXE;

/// A program with its own service discovery and replicas, all of which are ready.
pub(crate) struct Cluster {
    pub(crate) service: Service,
    pub(crate) discovery: ServiceDiscovery,
    pub(crate) replicas: FakeReplicas,
}

impl Cluster {
    pub(crate) fn start(replicas: usize) -> Cluster {
        Cluster::start_with(replicas, "/name", "n0".into())
    }

    /// As [`Cluster::start`], with the value at a JSON pointer of the configuration replaced.
    pub(crate) fn start_with(replicas: usize, pointer: &str, value: Value) -> Cluster {
        let replicas = FakeReplicas::start(replicas);
        let members = replicas
            .addresses
            .iter()
            .enumerate()
            .map(|(replica, address)| member(replica, *address, "active"));
        let known = membership(1, true, members.collect());
        let discovery = ServiceDiscovery::start(known.clone());
        let mut config = config(discovery.address, &known);
        *config.pointer_mut(pointer).unwrap() = value;
        let service = Service::start(EXE, &config);
        Cluster {
            service,
            discovery,
            replicas,
        }
    }

    /// Sends a query on a new connection.
    pub(crate) fn query(&self, index: &str, id: &str, shards: &[usize]) -> Client {
        self.service.query(index, id, shards)
    }

    /// Waits for the next sub-request that a replica receives.
    pub(crate) fn sub_request(&self) -> SubRequest {
        self.replicas.next_sub_request()
    }
}
