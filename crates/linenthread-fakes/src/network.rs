//! The network of a rig: a proxy for every directed pair of nodes, for TCP connections and for datagrams, and the
//! faults that are injected between them.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::{sleep, spawn};
use std::time::Duration;

use oorandom::Rand64;

use crate::sync::lock;

/// Size in bytes of the buffer of a connection's proxy.
const CONNECTION_BUFFER: usize = 16 * 1024;
/// The maximum size of a datagram in bytes.
const MAX_DATAGRAM: usize = 2_048;

/// A directed pair of nodes: the sender and the receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct NodePair {
    from: usize,
    to: usize,
}

impl NodePair {
    fn reversed(self) -> NodePair {
        NodePair {
            from: self.to,
            to: self.from,
        }
    }

    fn contains(self, node: usize) -> bool {
        self.from == node || self.to == node
    }
}

/// An open connection through the network.
struct OpenConnection {
    /// The node that opened the connection, and the node that accepted it.
    ends: NodePair,
    streams: [TcpStream; 2],
    /// Whether bytes were lost in a partition, so that the rest of the stream cannot be forwarded.
    corrupted: bool,
}

impl OpenConnection {
    fn close(&self) {
        for stream in &self.streams {
            stream.shutdown(Shutdown::Both).ok();
        }
    }
}

#[derive(Default)]
struct State {
    /// The directed pairs between which all traffic is dropped.
    partitioned: BTreeSet<NodePair>,
    /// The nodes that refuse connections.
    down: BTreeSet<usize>,
    delay: Duration,
    /// The share of datagrams that are dropped, in thousandths.
    loss: u64,
    open: BTreeMap<u64, OpenConnection>,
    last_number: u64,
}

impl State {
    fn insert(&mut self, connection: OpenConnection) -> u64 {
        self.last_number += 1;
        self.open.insert(self.last_number, connection);
        self.last_number
    }
}

/// The network between the nodes of a rig. Nodes are identified by number.
#[derive(Clone, Default)]
pub struct Network(Arc<Mutex<State>>);

/// One direction of a connection.
struct Flow {
    connection: u64,
    nodes: NodePair,
    reader: TcpStream,
    writer: TcpStream,
}

/// How to forward received bytes.
struct Forwarding {
    drop: bool,
    delay: Duration,
}

impl Network {
    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.0)
    }

    /// Drops all traffic from any node in `from` to any node in `to`.
    pub fn partition_one_way(&self, from: &[usize], to: &[usize]) {
        let mut state = self.state();
        for &from in from {
            let others = to.iter().filter(|to| **to != from);
            state
                .partitioned
                .extend(others.map(|&to| NodePair { from, to }));
        }
    }

    /// Drops all traffic between two groups of nodes, in both directions.
    pub fn partition(&self, first: &[usize], second: &[usize]) {
        self.partition_one_way(first, second);
        self.partition_one_way(second, first);
    }

    /// Ends all partitions, delays and datagram losses. Connections that lost bytes in the meantime are closed.
    pub fn heal(&self) {
        let mut state = self.state();
        state.partitioned.clear();
        state.loss = 0;
        state.delay = Duration::ZERO;
        let corrupted = state.open.values().filter(|open| open.corrupted);
        corrupted.for_each(OpenConnection::close);
    }

    /// Sets whether a node is down. A node that is down refuses connections; its open connections are closed.
    pub fn set_down(&self, node: usize, down: bool) {
        let mut state = self.state();
        if !down {
            state.down.remove(&node);
            return;
        }
        state.down.insert(node);
        let of_node = |open: &&OpenConnection| open.ends.contains(node);
        let connections = state.open.values().filter(of_node);
        connections.for_each(OpenConnection::close);
    }

    /// Delays all bytes of connections, and drops a share of the datagrams, given in thousandths.
    pub fn degrade(&self, delay: Duration, loss: u64) {
        let mut state = self.state();
        (state.delay, state.loss) = (delay, loss);
    }

    /// Listens on an address and forwards connections from one node to another.
    ///
    /// # Panics
    ///
    /// If the listen address is in use.
    pub fn proxy_connections(
        &self,
        from: usize,
        listen: SocketAddr,
        to: usize,
        upstream: SocketAddr,
    ) {
        let listener = TcpListener::bind(listen)
            .unwrap_or_else(|error| panic!("cannot listen on {listen}: {error}"));
        let network = self.clone();
        spawn(move || {
            for client in listener.incoming().map_while(Result::ok) {
                let network = network.clone();
                spawn(move || network.forward(NodePair { from, to }, client, upstream));
            }
        });
    }

    fn is_partitioned(&self, nodes: NodePair) -> bool {
        self.state().partitioned.contains(&nodes)
    }

    /// Forwards one connection until it ends.
    fn forward(&self, nodes: NodePair, client: TcpStream, upstream: SocketAddr) {
        if self.state().down.contains(&nodes.to) {
            return;
        }
        client.set_nodelay(true).ok();
        if self.is_partitioned(nodes) || self.is_partitioned(nodes.reversed()) {
            self.discard_until_closed(nodes, client);
            return;
        }
        let Ok(server) = TcpStream::connect(upstream) else {
            return;
        };
        server.set_nodelay(true).ok();
        let directions = [
            (nodes, client.try_clone(), server.try_clone()),
            (nodes.reversed(), server.try_clone(), client.try_clone()),
        ];
        let connection = self.state().insert(OpenConnection {
            ends: nodes,
            streams: [client, server],
            corrupted: false,
        });
        let threads: Vec<_> = directions
            .into_iter()
            .filter_map(|(nodes, reader, writer)| {
                let flow = Flow {
                    connection,
                    nodes,
                    reader: reader.ok()?,
                    writer: writer.ok()?,
                };
                let network = self.clone();
                Some(spawn(move || network.copy(flow)))
            })
            .collect();
        for thread in threads {
            thread.join().ok();
        }
        self.state().open.remove(&connection);
    }

    /// Discards all bytes of a connection that is opened across a partition, until the client closes it or the
    /// network is healed. No connection to the server is opened.
    fn discard_until_closed(&self, ends: NodePair, mut client: TcpStream) {
        let (Ok(first), Ok(second)) = (client.try_clone(), client.try_clone()) else {
            return;
        };
        let connection = self.state().insert(OpenConnection {
            ends,
            streams: [first, second],
            corrupted: true,
        });
        while client.read(&mut [0; 4096]).is_ok_and(|bytes| bytes > 0) {}
        self.state().open.remove(&connection);
    }

    /// Copies one direction of a connection until it ends.
    fn copy(&self, mut flow: Flow) {
        let mut buffer = [0; CONNECTION_BUFFER];
        while let Ok(length) = flow.reader.read(&mut buffer) {
            if length == 0 {
                break;
            }
            let Some(forwarding) = self.forwarding(&flow) else {
                break;
            };
            sleep(forwarding.delay);
            if !forwarding.drop && flow.writer.write_all(&buffer[..length]).is_err() {
                break;
            }
        }
        // The end of a connection does not cross a partition: the other side detects it by its own time-out, or when
        // the network is healed.
        let is_partitioned = self.is_partitioned(flow.nodes);
        flow.reader.shutdown(Shutdown::Both).ok();
        if !is_partitioned {
            flow.writer.shutdown(Shutdown::Both).ok();
        }
    }

    /// Decides how to forward bytes that were just received. Returns `None` if the connection is closed.
    fn forwarding(&self, flow: &Flow) -> Option<Forwarding> {
        let mut state = self.state();
        let partitioned = state.partitioned.contains(&flow.nodes);
        let delay = state.delay;
        let open = state.open.get_mut(&flow.connection)?;
        open.corrupted |= partitioned;
        Some(Forwarding {
            drop: open.corrupted,
            delay,
        })
    }

    /// Listens on an address and forwards datagrams to a node. The sender is identified by its address; datagrams from
    /// addresses that are not in `senders` are dropped.
    ///
    /// # Panics
    ///
    /// If the listen address is in use.
    pub fn proxy_datagrams(
        &self,
        listen: SocketAddr,
        to: usize,
        upstream: SocketAddr,
        senders: BTreeMap<SocketAddr, usize>,
        seed: u64,
    ) {
        let socket = UdpSocket::bind(listen)
            .unwrap_or_else(|error| panic!("cannot listen on {listen}: {error}"));
        let network = self.clone();
        let mut rng = Rand64::new(u128::from(seed));
        spawn(move || {
            let mut buffer = [0; MAX_DATAGRAM];
            loop {
                let Ok((length, from)) = socket.recv_from(&mut buffer) else {
                    continue;
                };
                let Some(&from) = senders.get(&from) else {
                    continue;
                };
                let dropped = {
                    let state = network.state();
                    state.partitioned.contains(&NodePair { from, to })
                        || rng.rand_range(0..1_000) < state.loss
                };
                if !dropped {
                    socket.send_to(&buffer[..length], upstream).ok();
                }
            }
        });
    }
}
