//! Addresses, names and files of the processes of a rig.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use serde_json::{Value, json};

use super::{RigConfig, Zone};
use crate::loopback::unused_loopback;
use crate::program::{config_with_indexes, find_and_order};
use crate::service_discovery::{member, membership};

/// The number of shards of each index.
pub(super) const SHARDS: usize = 12;
/// The soft deadline of a query.
pub(super) const SOFT_DEADLINE: Duration = Duration::from_millis(1_500);
/// The secret that all processes of a rig share.
pub(super) const FLEET_KEY: &str = "a secret of the rig's fleet\n";
/// The minimum fleet size that a deploy file accepts.
const MIN_MEMBERS: usize = 3;

/// The first port on which processes listen for messages of the fleet.
const FLEET_LISTEN_PORT: usize = 7_100;
/// The first port of the proxies in front of the fleet ports.
const FLEET_PROXY_PORT: usize = 7_300;
/// The first port on which processes listen for queries.
const HTTP_PORT: usize = 8_000;
/// The first port of the proxies between two processes.
const PAIR_PROXY_PORT: usize = 10_000;
/// The first port of the proxies between a process and a replica.
const REPLICA_PROXY_PORT: usize = 20_000;
/// The number of proxy ports that are reserved for each process.
const PORTS_PER_PROCESS: usize = 100;

/// The addresses, names and file contents of a rig's processes.
pub(super) struct Layout<'c> {
    config: &'c RigConfig,
    ip: IpAddr,
}

impl<'c> Layout<'c> {
    pub(super) fn new(config: &'c RigConfig) -> Self {
        let ip = IpAddr::from(unused_loopback());
        Layout { config, ip }
    }

    fn at(&self, port: usize) -> SocketAddr {
        let port = u16::try_from(port).expect("a rig is small enough for its ports");
        SocketAddr::new(self.ip, port)
    }

    pub(super) fn fleet_listen(&self, process: usize) -> SocketAddr {
        self.at(FLEET_LISTEN_PORT + process)
    }

    pub(super) fn fleet_proxy(&self, process: usize) -> SocketAddr {
        self.at(FLEET_PROXY_PORT + process)
    }

    pub(super) fn http(&self, process: usize) -> SocketAddr {
        self.at(HTTP_PORT + process)
    }

    pub(super) fn pair_proxy(&self, from: usize, to: usize) -> SocketAddr {
        self.at(PAIR_PROXY_PORT + PORTS_PER_PROCESS * from + to)
    }

    pub(super) fn replica_proxy(&self, process: usize, replica: usize) -> SocketAddr {
        self.at(REPLICA_PROXY_PORT + PORTS_PER_PROCESS * process + replica)
    }

    fn zone(&self, process: usize) -> Zone {
        self.config.zones[process % self.config.zones.len()]
    }

    pub(super) fn name(&self, process: usize) -> String {
        let zone = self.zone(process).name;
        format!("{zone}-{}", process / self.config.zones.len())
    }

    /// Returns the membership that a process receives from service discovery, with the proxy address of each replica.
    pub(super) fn known_replicas(&self, process: usize) -> String {
        let zones = &self.config.zones;
        let members = (0..self.config.replica_count()).map(|replica| {
            let mut member = member(replica, self.replica_proxy(process, replica), "active");
            member["locality"] = json!(zones[replica % zones.len()].name);
            member
        });
        membership(1, true, members.collect())
    }

    /// Returns the contents of `config.json` of a process.
    pub(super) fn settings(&self, process: usize, discovery: SocketAddr, known: &str) -> Value {
        let indexes = find_and_order(SOFT_DEADLINE);
        let replicas = self.config.replica_count();
        let mut config = config_with_indexes(discovery, known, &indexes, replicas, SHARDS);
        let zones: Vec<&str> = self.config.zones.iter().map(|zone| zone.name).collect();
        config["name"] = json!(self.name(process));
        config["listen"] = json!(self.http(process).to_string());
        let seed = self.config.seed * 1_000 + process as u64;
        config["seed"] = json!(format!("{seed:016x}"));
        config["settings"]["dcs"] = json!(zones);
        config["settings"]["me"] = json!(process);
        config["settings"]["balancers"] = json!(self.config.process_count());
        config
    }

    fn voter_element(&self, process: usize, voter: usize) -> String {
        let address = if voter == process {
            self.fleet_proxy(voter)
        } else {
            self.pair_proxy(process, voter)
        };
        let Zone { name: zone, region } = self.zone(voter);
        let name = self.name(voter);
        format!(
            "<voter name=\"{name}\" address=\"{address}\" zone=\"{zone}\" region=\"{region}\"/>"
        )
    }

    /// Returns the contents of `installation.xml` of a process.
    pub(super) fn installation(&self, process: usize) -> String {
        let voters: String = (0..self.config.voters)
            .map(|voter| self.voter_element(process, voter))
            .collect();
        let zones: String = self
            .config
            .zones
            .iter()
            .map(|Zone { name, region }| format!("<zone name=\"{name}\" region=\"{region}\"/>"))
            .collect();
        let Zone { name: zone, region } = self.zone(process);
        format!(
            "<installation version=\"1\"><fleet address=\"{}\" listen=\"{}\" secret=\"fleet.key\" \
             machine=\"m{process}\" zone=\"{zone}\" region=\"{region}\" folder=\"record\" \
             members=\"{}\">{voters}</fleet><zones hold=\"2000\" longest-hold=\"8000\" step=\"1000\" \
             life=\"6000\">{zones}</zones></installation>",
            self.fleet_proxy(process),
            self.fleet_listen(process),
            self.config.process_count().max(MIN_MEMBERS),
        )
    }
}
