//! The network of a rig: a proxy on every directed pair, for connections and for datagrams, and the faults between
//! them.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::{sleep, spawn};
use std::time::Duration;

use oorandom::Rand64;

use crate::sync::lock;

/// Bytes that a connection's proxy reads at once.
const CONNECTION_BUFFER: usize = 16 * 1024;
/// Bytes of the longest datagram.
const MAX_DATAGRAM: usize = 2_048;

/// Two nodes, in the direction in which one sends to the other.
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

/// One open connection.
struct OpenConnection {
    /// The node that opened it, and the other.
    ends: NodePair,
    streams: [TcpStream; 2],
    /// Bytes were lost in a partition: what follows them is of no use.
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
    /// From the one node to the other nothing passes.
    partitioned: BTreeSet<NodePair>,
    /// Nodes that refuse connections.
    down: BTreeSet<usize>,
    delay: Duration,
    /// The share of datagrams that are lost, in thousandths.
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

/// All connections between the nodes of a rig, which are numbered.
#[derive(Clone, Default)]
pub struct Network(Arc<Mutex<State>>);

/// One direction of a connection.
struct Flow {
    connection: u64,
    nodes: NodePair,
    reader: TcpStream,
    writer: TcpStream,
}

/// What becomes of bytes that have arrived.
struct Fate {
    lost: bool,
    delay: Duration,
}

impl Network {
    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.0)
    }

    /// Drops all from any of these nodes to any of those.
    pub fn partition_one_way(&self, from: &[usize], to: &[usize]) {
        let mut state = self.state();
        for &from in from {
            let others = to.iter().filter(|to| **to != from);
            state
                .partitioned
                .extend(others.map(|&to| NodePair { from, to }));
        }
    }

    /// Drops all between two groups of nodes, in both directions.
    pub fn partition(&self, some: &[usize], others: &[usize]) {
        self.partition_one_way(some, others);
        self.partition_one_way(others, some);
    }

    /// Ends all partitions, delays and losses. Connections that lost bytes meanwhile are closed.
    pub fn heal(&self) {
        let mut state = self.state();
        state.partitioned.clear();
        state.loss = 0;
        state.delay = Duration::ZERO;
        let corrupted = state.open.values().filter(|open| open.corrupted);
        corrupted.for_each(OpenConnection::close);
    }

    /// Has a node refuse connections, and closes those it has; or has it accept them again.
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

    /// Delays all bytes, and loses so many of a thousand datagrams.
    pub fn degrade(&self, delay: Duration, loss: u64) {
        let mut state = self.state();
        (state.delay, state.loss) = (delay, loss);
    }

    /// Forwards connections from one node to another.
    ///
    /// # Panics
    ///
    /// If the address on which to listen is in use.
    pub fn proxy_connections(
        &self,
        from: usize,
        listen: SocketAddr,
        to: usize,
        upstream: SocketAddr,
    ) {
        let listener = TcpListener::bind(listen)
            .unwrap_or_else(|error| panic!("a proxy on {listen}: {error}"));
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
            self.swallow(nodes, client);
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

    /// Reads a connection into a partition, until it is closed: by the client, or when the network heals. The
    /// server does not see it.
    fn swallow(&self, ends: NodePair, mut client: TcpStream) {
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
            let Some(fate) = self.fate(&flow) else {
                break;
            };
            sleep(fate.delay);
            if !fate.lost && flow.writer.write_all(&buffer[..length]).is_err() {
                break;
            }
        }
        // A partition hides the end: the other side finds out by itself, or when the network heals.
        let hidden = self.is_partitioned(flow.nodes);
        flow.reader.shutdown(Shutdown::Both).ok();
        if !hidden {
            flow.writer.shutdown(Shutdown::Both).ok();
        }
    }

    /// What becomes of bytes that have just arrived; `None` if the connection is gone.
    fn fate(&self, flow: &Flow) -> Option<Fate> {
        let mut state = self.state();
        let partitioned = state.partitioned.contains(&flow.nodes);
        let delay = state.delay;
        let open = state.open.get_mut(&flow.connection)?;
        open.corrupted |= partitioned;
        Some(Fate {
            lost: open.corrupted,
            delay,
        })
    }

    /// Forwards datagrams to a node; the sender is known by its address.
    ///
    /// # Panics
    ///
    /// If the address on which to listen is in use.
    pub fn proxy_datagrams(
        &self,
        listen: SocketAddr,
        to: usize,
        upstream: SocketAddr,
        senders: BTreeMap<SocketAddr, usize>,
        seed: u64,
    ) {
        let socket =
            UdpSocket::bind(listen).unwrap_or_else(|error| panic!("a proxy on {listen}: {error}"));
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
                let lost = {
                    let state = network.state();
                    state.partitioned.contains(&NodePair { from, to })
                        || rng.rand_range(0..1_000) < state.loss
                };
                if !lost {
                    socket.send_to(&buffer[..length], upstream).ok();
                }
            }
        });
    }
}
