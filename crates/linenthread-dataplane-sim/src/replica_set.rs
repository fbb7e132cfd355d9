//! The replicas of a simulation, and the crashes and replacements among them.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;

use linenthread_dataplane::{DataPlane, UpdateScope};

use crate::deployment::{MERGED_BACKENDS, MUTATING_BACKEND, ZONE};
use crate::network::Network;
use crate::replica::{Environment, Replica, ReplicaListener, TargetCheck};

/// Replicas of each backend.
const REPLICAS_PER_BACKEND: u8 = 2;
/// The port of all replicas.
const PORT: u16 = 8_080;
/// A backend that no route names.
const UNROUTED_BACKEND: &str = "stranger";

/// The replicas that there are, and how many there have been.
pub(crate) struct ReplicaSet {
    network: Network,
    environment: Environment,
    replicas: Vec<Rc<Replica>>,
    started_count: u32,
}

impl ReplicaSet {
    /// Starts the replicas of all backends, and lists them in the data plane.
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

    /// Starts a replica at an address, in place of the one that is there.
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

    /// Hands the data plane the list of all replicas that there are.
    fn publish(&self, plane: &DataPlane<Network>) {
        let listed: Vec<_> = self.replicas.iter().map(|r| discovery_entry(r)).collect();
        plane.update_replicas(&listed, UpdateScope::Complete);
    }

    /// Freezes replicas, and replaces them by others at their addresses; the data plane learns of that late.
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

    /// Crashes a replica; another one, at times of another backend, has its address at once. One that does not check
    /// for whom a request is meant is always of the same backend: nothing on the wire would show the difference.
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
        // The backend gets its replica back elsewhere.
        let address = self.unused_address(old.address);
        self.replicas[index] = self.start_replica(&old.backend, address, TargetCheck::Enforced);
    }

    /// An address in the same subnet that the first replicas do not have.
    fn unused_address(&self, address: SocketAddr) -> SocketAddr {
        let IpAddr::V4(ip) = address.ip() else {
            unreachable!("replicas have IPv4 addresses");
        };
        let [a, b, subnet, _] = ip.octets();
        let host = u8::try_from(10 + self.started_count % 200).expect("a number below 210");
        SocketAddr::from(([a, b, subnet, host], PORT))
    }
}

/// A replica as service discovery lists it.
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
