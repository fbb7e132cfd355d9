//! The replicas of a simulation, with their crashes and replacements.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;

use linenthread_dataplane::{DataPlane, UpdateScope};

use crate::deployment::{MERGED_BACKENDS, MUTATING_BACKEND, ZONE};
use crate::network::Network;
use crate::replica::{Environment, Replica, ReplicaListener, TargetCheck};

/// Number of replicas per backend.
const REPLICAS_PER_BACKEND: u8 = 2;
/// Port of all replicas.
const PORT: u16 = 8_080;
/// A backend that no route refers to.
const UNROUTED_BACKEND: &str = "stranger";

/// The current replicas, and the number of replicas started so far.
pub(crate) struct ReplicaSet {
    network: Network,
    environment: Environment,
    replicas: Vec<Rc<Replica>>,
    started_count: u32,
}

impl ReplicaSet {
    /// Starts the replicas of all backends and publishes them to the data plane.
    pub(crate) fn start(
        plane: &DataPlane<Network>,
        network: Network,
        environment: Environment,
    ) -> ReplicaSet {
        let mut set = ReplicaSet {
            network,
            environment,
            replicas: Vec::new(),
            started_count: 0,
        };
        let backends = MERGED_BACKENDS.iter().chain([&MUTATING_BACKEND]);
        for (subnet, backend) in (0..).zip(backends) {
            for host in 1..=REPLICAS_PER_BACKEND {
                let address = SocketAddr::from(([10, 128, subnet, host], PORT));
                let replica = set.start_replica(backend, address, TargetCheck::Enforced);
                set.replicas.push(replica);
            }
        }
        set.publish(plane);
        set
    }

    /// Starts a replica at an address. It replaces the listener of the replica that had the address.
    fn start_replica(
        &mut self,
        backend: &str,
        address: SocketAddr,
        target_check: TargetCheck,
    ) -> Rc<Replica> {
        self.started_count += 1;
        let replica = Rc::new(Replica::new(
            format!("i{}", self.started_count),
            backend,
            address,
            target_check,
            self.environment.clone(),
        ));
        let listener = ReplicaListener(replica.clone());
        self.network.listen(address, Rc::new(listener));
        replica
    }

    /// Publishes the complete list of current replicas to the data plane.
    fn publish(&self, plane: &DataPlane<Network>) {
        let entries: Vec<_> = self.replicas.iter().map(|r| discovery_entry(r)).collect();
        plane.update_replicas(&entries, UpdateScope::Complete);
    }

    /// Freezes replicas and replaces them by others at their addresses, at random times. Replacements are published to
    /// the data plane with a delay. Does nothing in simulations without connection faults.
    pub(crate) async fn run_faults(mut self, plane: Rc<DataPlane<Network>>) {
        let random = self.environment.random.clone();
        if self.environment.faults.connections == 0 {
            return;
        }
        loop {
            tokio::time::sleep(random.millis(100, 1_500)).await;
            let index = random.index(self.replicas.len());
            if random.per_mille(500) {
                self.replicas[index].freeze(random.millis(20, 1_200));
                continue;
            }
            self.replace(index);
            tokio::time::sleep(random.millis(0, 1_500)).await;
            self.publish(&plane);
        }
    }

    /// Crashes a replica and immediately starts another one, sometimes of another backend, at its address. A replica
    /// without a target check always has the same backend, because nothing on the wire would reveal a different one.
    fn replace(&mut self, index: usize) {
        let random = self.environment.random.clone();
        let old = self.replicas[index].clone();
        old.crash();
        let target_check = if random.per_mille(800) {
            TargetCheck::Enforced
        } else {
            TargetCheck::Disabled
        };
        let is_of_other_backend = target_check == TargetCheck::Enforced && random.per_mille(300);
        if !is_of_other_backend {
            self.replicas[index] = self.start_replica(&old.backend, old.address, target_check);
            return;
        }
        self.start_replica(UNROUTED_BACKEND, old.address, target_check);
        // The replacement of the crashed replica starts at a different address.
        let address = self.unused_address(old.address);
        self.replicas[index] = self.start_replica(&old.backend, address, TargetCheck::Enforced);
    }

    /// Returns an address in the same subnet that none of the initial replicas has.
    fn unused_address(&self, address: SocketAddr) -> SocketAddr {
        let IpAddr::V4(ip) = address.ip() else {
            unreachable!("replicas have IPv4 addresses");
        };
        let [a, b, subnet, _] = ip.octets();
        let host = u8::try_from(10 + self.started_count % 200).expect("a number below 210");
        SocketAddr::from(([a, b, subnet, host], PORT))
    }
}

/// Returns the entry of a replica as listed by service discovery.
fn discovery_entry(replica: &Replica) -> linenthread_messages::Replica {
    linenthread_messages::Replica {
        id: replica.id.clone(),
        backend: replica.backend.clone(),
        address: replica.address.to_string(),
        zone: ZONE.into(),
        capacity: 3,
        ..Default::default()
    }
}
