//! The network of a rig: a proxy on every directed pair, for connections and for datagrams, and the faults between
//! them.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::Duration;

use oorandom::Rand64;

/// One open connection, by its two ends.
struct Open {
    ends: (usize, usize),
    streams: [TcpStream; 2],
    /// Bytes were lost in a cut: what follows them is of no use.
    spoilt: bool,
}

#[derive(Default)]
struct State {
    /// Ways from one node to another on which nothing comes through.
    cut: BTreeSet<(usize, usize)>,
    /// Nodes that refuse connections.
    down: BTreeSet<usize>,
    delay: Duration,
    /// Share of datagrams that are lost, in thousandths.
    loss: u64,
    open: BTreeMap<u64, Open>,
    numbers: u64,
}

/// All ways between nodes, by their numbers.
#[derive(Clone, Default)]
pub struct Net(Arc<Mutex<State>>);

impl Net {
    /// Nothing comes through from any of these to any of those.
    pub fn cut(&self, from: &[usize], to: &[usize]) {
        let mut state = self.0.lock().unwrap();
        for &a in from {
            state
                .cut
                .extend(to.iter().filter(|b| **b != a).map(|&b| (a, b)));
        }
    }

    /// Nothing comes through between two groups, either way.
    pub fn part(&self, some: &[usize], others: &[usize]) {
        self.cut(some, others);
        self.cut(others, some);
    }

    /// All ways are whole again. Connections that lost bytes meanwhile are ended.
    pub fn heal(&self) {
        let mut state = self.0.lock().unwrap();
        state.cut.clear();
        state.loss = 0;
        state.delay = Duration::ZERO;
        for open in state.open.values().filter(|open| open.spoilt) {
            open.streams
                .iter()
                .for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
        }
    }

    /// A node refuses connections, and those it has are ended; or takes them again.
    pub fn down(&self, node: usize, down: bool) {
        let mut state = self.0.lock().unwrap();
        if !down {
            state.down.remove(&node);
            return;
        }
        state.down.insert(node);
        for open in state
            .open
            .values()
            .filter(|open| open.ends.0 == node || open.ends.1 == node)
        {
            open.streams
                .iter()
                .for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
        }
    }

    /// Each byte that comes is held for so long, and so many datagrams of a thousand are lost.
    pub fn worsen(&self, delay: Duration, loss: u64) {
        let mut state = self.0.lock().unwrap();
        (state.delay, state.loss) = (delay, loss);
    }

    /// Leads connections from one node to another.
    pub fn connections(&self, from: usize, at: SocketAddr, to: usize, upstream: SocketAddr) {
        let listener = TcpListener::bind(at).unwrap_or_else(|e| panic!("a proxy on {at}: {e}"));
        let net = self.clone();
        spawn(move || {
            for near in listener.incoming().map_while(Result::ok) {
                let net = net.clone();
                spawn(move || net.connect(from, near, to, upstream));
            }
        });
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        self.0.lock().unwrap().cut.contains(&(from, to))
    }

    fn connect(&self, from: usize, near: TcpStream, to: usize, upstream: SocketAddr) {
        if self.0.lock().unwrap().down.contains(&to) {
            return;
        }
        let cut = self.is_cut(from, to) || self.is_cut(to, from);
        // Into a cut nothing answers; the other side is not even asked.
        let far = if cut {
            near.try_clone().ok()
        } else {
            TcpStream::connect(upstream).ok()
        };
        let Some(far) = far else { return };
        near.set_nodelay(true).ok();
        far.set_nodelay(true).ok();
        let ways = [
            (from, to, near.try_clone(), far.try_clone()),
            (to, from, far.try_clone(), near.try_clone()),
        ];
        let number = {
            let mut state = self.0.lock().unwrap();
            state.numbers += 1;
            let number = state.numbers;
            state.open.insert(
                number,
                Open {
                    ends: (from, to),
                    streams: [near, far],
                    spoilt: cut,
                },
            );
            number
        };
        if cut {
            // Its end is the heal's.
            let Ok(mut near) = ways
                .into_iter()
                .next()
                .map_or(Err(()), |w| w.2.map_err(drop))
            else {
                return;
            };
            while near.read(&mut [0; 4096]).is_ok_and(|n| n > 0) {}
            self.0.lock().unwrap().open.remove(&number);
            return;
        }
        let threads: Vec<_> = ways
            .into_iter()
            .filter_map(|(a, b, read, write)| Some((a, b, read.ok()?, write.ok()?)))
            .map(|(a, b, read, write)| {
                let net = self.clone();
                spawn(move || net.carry(number, (a, b), read, write))
            })
            .collect();
        threads.into_iter().for_each(|thread| drop(thread.join()));
        self.0.lock().unwrap().open.remove(&number);
    }

    fn carry(
        &self,
        number: u64,
        (a, b): (usize, usize),
        mut read: TcpStream,
        mut write: TcpStream,
    ) {
        let mut buffer = [0; 16 * 1024];
        while let Ok(n) = read.read(&mut buffer) {
            if n == 0 {
                break;
            }
            let (lost, delay) = {
                let mut state = self.0.lock().unwrap();
                let cut = state.cut.contains(&(a, b));
                let delay = state.delay;
                // A word of its end would not come through either.
                let Some(open) = state.open.get_mut(&number) else {
                    break;
                };
                open.spoilt |= cut;
                (open.spoilt, delay)
            };
            sleep(delay);
            if !lost && write.write_all(&buffer[..n]).is_err() {
                break;
            }
        }
        // An end that a cut hides is not told: the other side finds out by itself, or when the cut is over.
        let hidden = self.is_cut(a, b);
        read.shutdown(Shutdown::Both).ok();
        if !hidden {
            write.shutdown(Shutdown::Both).ok();
        }
    }

    /// Passes datagrams on to a node; who sends one is known by its address.
    pub fn datagrams(
        &self,
        at: SocketAddr,
        to: usize,
        upstream: SocketAddr,
        senders: BTreeMap<SocketAddr, usize>,
        seed: u64,
    ) {
        let socket = UdpSocket::bind(at).unwrap_or_else(|e| panic!("a proxy on {at}: {e}"));
        let net = self.clone();
        let mut chance = Rand64::new(u128::from(seed));
        spawn(move || {
            let mut buffer = [0; 2_048];
            loop {
                let Ok((n, from)) = socket.recv_from(&mut buffer) else {
                    continue;
                };
                let Some(&from) = senders.get(&from) else {
                    continue;
                };
                let lost = {
                    let state = net.0.lock().unwrap();
                    state.cut.contains(&(from, to)) || chance.rand_range(0..1_000) < state.loss
                };
                if !lost {
                    socket.send_to(&buffer[..n], upstream).ok();
                }
            }
        });
    }
}
