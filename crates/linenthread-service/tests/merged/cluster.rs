//! The set-up of the tests: a program with three replicas over one store of rows, each shard on two of them.

use std::time::Duration;

use linenthread_fakes::row_store::{INSTALLATION, RowStore};
use linenthread_fakes::{
    Behavior, Class, RowReplicas, Service, ServiceDiscovery, SubRequest, config_of, member,
    membership,
};
use serde_json::Value;

use crate::{EXE, FLOOR, SHARDS, SOFT_DEADLINE};

/// The file of the secret that signs cursors, as the installation file names it.
const SECRET_FILE: &str = "marks.key";
const INSTALLATION_FILE: &str = "installation.xml";

pub(crate) struct Cluster {
    pub(crate) service: Service,
    replicas: RowReplicas,
    known: String,
    discovery: ServiceDiscovery,
}

impl Cluster {
    /// Replicas respond with at most `max_rows` rows, as `behavior` says of each sub-request.
    pub(crate) fn start(
        rows: RowStore,
        max_rows: usize,
        behavior: impl FnMut(&SubRequest) -> (Duration, Behavior) + Send + 'static,
    ) -> Cluster {
        Cluster::start_with(SOFT_DEADLINE, rows, max_rows, INSTALLATION, behavior)
    }

    /// As [`Cluster::start`], with another soft deadline and installation file.
    pub(crate) fn start_with(
        soft_deadline: Duration,
        rows: RowStore,
        max_rows: usize,
        installation: &str,
        behavior: impl FnMut(&SubRequest) -> (Duration, Behavior) + Send + 'static,
    ) -> Cluster {
        let replicas = RowReplicas::start(3, rows, max_rows, behavior);
        let members = replicas
            .addresses
            .iter()
            .enumerate()
            .map(|(replica, address)| member(replica, *address, "active"));
        let known = membership(1, true, members.collect());
        let discovery = ServiceDiscovery::start(known.clone());
        let folder = tempfile::tempdir().unwrap();
        std::fs::write(folder.path().join(SECRET_FILE), "a secret of some length\n").unwrap();
        std::fs::write(folder.path().join(INSTALLATION_FILE), installation).unwrap();
        let config = configuration(&discovery, &known, soft_deadline);
        let arguments = ["--installation", INSTALLATION_FILE];
        let service = Service::start_in(folder, EXE, &config, &arguments);
        Cluster {
            service,
            replicas,
            known,
            discovery,
        }
    }

    /// Starts another program with the same secret, replicas and service discovery.
    pub(crate) fn start_second_program(&self) -> Service {
        let folder = tempfile::tempdir().unwrap();
        for file in [SECRET_FILE, INSTALLATION_FILE] {
            std::fs::copy(self.service.file(file), folder.path().join(file)).unwrap();
        }
        let config = configuration(&self.discovery, &self.known, SOFT_DEADLINE);
        let arguments = ["--installation", INSTALLATION_FILE];
        Service::start_in(folder, EXE, &config, &arguments)
    }

    /// Queries an index on a connection of its own; the status and the body of the response.
    pub(crate) fn query(
        &self,
        index: &str,
        id: &str,
        shards: &[usize],
        text: &str,
        page: &Value,
    ) -> (u16, Value) {
        let mut client = self.service.connect();
        client.query_merged(index, id, shards, text, page)
    }

    /// All rows of the replicas by now.
    pub(crate) fn rows(&self) -> RowStore {
        self.replicas.store.lock().unwrap().clone()
    }

    /// Changes the rows of the replicas.
    pub(crate) fn change_rows<T>(&self, change: impl FnOnce(&mut RowStore) -> T) -> T {
        change(&mut self.replicas.store.lock().unwrap())
    }
}

fn configuration(discovery: &ServiceDiscovery, known: &str, soft_deadline: Duration) -> Value {
    let class = |name| Class {
        name,
        non_idempotent: false,
        soft_deadline,
        floor: FLOOR,
    };
    let once_only = Class {
        name: "order",
        non_idempotent: true,
        soft_deadline,
        floor: 1.0,
    };
    let classes = [
        class("history"),
        class("pledges"),
        class("charities"),
        once_only,
    ];
    config_of(discovery.address, known, &classes, 3, SHARDS)
}
