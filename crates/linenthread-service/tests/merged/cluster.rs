//! The set-up of the tests: a program with three replicas that share one store of rows; each shard is on two of them.

use std::time::Duration;

use linenthread_fakes::row_store::{INSTALLATION, RowStore};
use linenthread_fakes::{
    IndexSettings, MergedResponse, RowReplicas, ScriptedBehavior, Service, ServiceDiscovery,
    SubRequest, config_with_indexes, member, membership,
};
use serde_json::Value;

use crate::{EXE, FLOOR, SHARDS, SOFT_DEADLINE};

/// The file, named in the installation file, with the secret that signs cursors.
const SECRET_FILE: &str = "marks.key";
const INSTALLATION_FILE: &str = "installation.xml";

pub(crate) struct Cluster {
    pub(crate) service: Service,
    replicas: RowReplicas,
    known: String,
    discovery: ServiceDiscovery,
}

impl Cluster {
    /// Starts a cluster whose replicas respond with at most `max_rows` rows; `treatment` chooses the delay and behavior
    /// for each sub-request.
    pub(crate) fn start(
        rows: RowStore,
        max_rows: usize,
        treatment: impl FnMut(&SubRequest) -> ScriptedBehavior + Send + 'static,
    ) -> Cluster {
        Cluster::start_with(SOFT_DEADLINE, rows, max_rows, INSTALLATION, treatment)
    }

    /// As [`Cluster::start`], with the given soft deadline and installation file.
    pub(crate) fn start_with(
        soft_deadline: Duration,
        rows: RowStore,
        max_rows: usize,
        installation: &str,
        treatment: impl FnMut(&SubRequest) -> ScriptedBehavior + Send + 'static,
    ) -> Cluster {
        let replicas = RowReplicas::start(3, rows, max_rows, treatment);
        let members = replicas
            .addresses
            .iter()
            .enumerate()
            .map(|(replica, address)| member(replica, *address, "active"));
        let known = membership(1, true, members.collect());
        let discovery = ServiceDiscovery::start(known.clone());
        let directory = tempfile::tempdir().unwrap();
        std::fs::write(
            directory.path().join(SECRET_FILE),
            "a secret of some length\n",
        )
        .unwrap();
        std::fs::write(directory.path().join(INSTALLATION_FILE), installation).unwrap();
        let config = configuration(&discovery, &known, soft_deadline);
        let arguments = ["--installation", INSTALLATION_FILE];
        let service = Service::start_in(directory, EXE, &config, &arguments);
        Cluster {
            service,
            replicas,
            known,
            discovery,
        }
    }

    /// Starts another program with the same secret, replicas and service discovery.
    pub(crate) fn start_second_program(&self) -> Service {
        let directory = tempfile::tempdir().unwrap();
        for file in [SECRET_FILE, INSTALLATION_FILE] {
            std::fs::copy(self.service.file(file), directory.path().join(file)).unwrap();
        }
        let config = configuration(&self.discovery, &self.known, SOFT_DEADLINE);
        let arguments = ["--installation", INSTALLATION_FILE];
        Service::start_in(directory, EXE, &config, &arguments)
    }

    /// Queries an index on a new connection.
    pub(crate) fn query(
        &self,
        index: &str,
        id: &str,
        shards: &[usize],
        text: &str,
        page: &Value,
    ) -> MergedResponse {
        let mut client = self.service.connect();
        client.query_merged(index, id, shards, text, page)
    }

    /// Returns all current rows of the replicas.
    pub(crate) fn rows(&self) -> RowStore {
        self.replicas.store.lock().unwrap().clone()
    }

    /// Changes the rows of the replicas.
    pub(crate) fn change_rows<T>(&self, change: impl FnOnce(&mut RowStore) -> T) -> T {
        change(&mut self.replicas.store.lock().unwrap())
    }
}

fn configuration(discovery: &ServiceDiscovery, known: &str, soft_deadline: Duration) -> Value {
    let index = |name| IndexSettings {
        name,
        non_idempotent: false,
        soft_deadline,
        floor: FLOOR,
    };
    let non_idempotent = IndexSettings {
        name: "order",
        non_idempotent: true,
        soft_deadline,
        floor: 1.0,
    };
    let indexes = [
        index("history"),
        index("pledges"),
        index("charities"),
        non_idempotent,
    ];
    config_with_indexes(discovery.address, known, &indexes, 3, SHARDS)
}
