//! A TCP proxy that can close a connection after an exact number of bytes, delay bytes, drop them in one direction, and
//! forward to another server.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::{sleep, spawn};
use std::time::Duration;

use crate::loopback;
use crate::sync::lock;

/// Size of the read buffer in bytes.
const BUFFER_BYTES: usize = 4_096;

/// The direction in which bytes are forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the client to the server.
    ToUpstream,
    /// From the server to the client.
    FromUpstream,
}

/// One value for each direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ByDirection<T> {
    /// From the client to the server.
    pub to_upstream: T,
    /// From the server to the client.
    pub from_upstream: T,
}

impl<T> ByDirection<T> {
    fn get_mut(&mut self, direction: Direction) -> &mut T {
        match direction {
            Direction::ToUpstream => &mut self.to_upstream,
            Direction::FromUpstream => &mut self.from_upstream,
        }
    }
}

/// The number of bytes in one direction after which a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ByteLimit {
    /// The direction in which bytes are counted.
    pub direction: Direction,
    /// How many bytes are forwarded before the connection is closed.
    pub bytes: usize,
}

#[derive(Default)]
struct State {
    upstream: Option<SocketAddr>,
    /// The limit of the next connection.
    next_limit: Option<ByteLimit>,
    delay: Duration,
    /// Whether bytes are read and dropped.
    dropping: ByDirection<bool>,
    open: Vec<TcpStream>,
    /// How many bytes were forwarded on the newest connection.
    forwarded: ByDirection<usize>,
    /// How many connections were accepted; also the number of the newest one.
    connections: usize,
}

/// A proxy in front of a server.
#[derive(Clone)]
pub struct Proxy {
    /// The address on which it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

/// One direction of a connection.
struct Flow {
    connection: usize,
    direction: Direction,
    reader: TcpStream,
    writer: TcpStream,
    /// The number of bytes after which the connection is closed.
    limit: Option<usize>,
}

impl Proxy {
    /// Starts a proxy that forwards to a server.
    ///
    /// # Panics
    ///
    /// If loopback has no free port.
    pub fn start(upstream: SocketAddr) -> Proxy {
        let listener = loopback::listen();
        let address = loopback::address_of(&listener);
        let state = Arc::new(Mutex::new(State {
            upstream: Some(upstream),
            ..State::default()
        }));
        let proxy = Proxy { address, state };
        let acceptor = proxy.clone();
        spawn(move || {
            for client in listener.incoming().map_while(Result::ok) {
                acceptor.accept(client);
            }
        });
        proxy
    }

    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    fn accept(&self, client: TcpStream) {
        let mut state = self.state();
        let Some(server) = state.upstream.and_then(|to| TcpStream::connect(to).ok()) else {
            return;
        };
        client.set_nodelay(true).ok();
        server.set_nodelay(true).ok();
        state.connections += 1;
        state.forwarded = ByDirection::default();
        let (connection, limit) = (state.connections, state.next_limit.take());
        for (direction, from, to) in [
            (Direction::ToUpstream, &client, &server),
            (Direction::FromUpstream, &server, &client),
        ] {
            let (Ok(reader), Ok(writer)) = (from.try_clone(), to.try_clone()) else {
                return;
            };
            let flow = Flow {
                connection,
                direction,
                reader,
                writer,
                limit: limit
                    .filter(|limit| limit.direction == direction)
                    .map(|limit| limit.bytes),
            };
            let proxy = self.clone();
            spawn(move || proxy.copy(flow));
        }
        state.open.push(client);
        state.open.push(server);
    }

    /// Copies one direction of a connection until it ends or reaches its limit.
    fn copy(&self, mut flow: Flow) {
        let (mut buffer, mut forwarded) = ([0; BUFFER_BYTES], 0);
        while flow.limit != Some(forwarded) {
            let Ok(length @ 1..) = flow.reader.read(&mut buffer) else {
                break;
            };
            let length = flow
                .limit
                .map_or(length, |limit| length.min(limit - forwarded));
            let (delay, dropping) = {
                let mut state = self.state();
                (state.delay, *state.dropping.get_mut(flow.direction))
            };
            sleep(delay);
            if dropping {
                continue;
            }
            if flow.writer.write_all(&buffer[..length]).is_err() {
                break;
            }
            forwarded += length;
            let mut state = self.state();
            if state.connections == flow.connection {
                *state.forwarded.get_mut(flow.direction) = forwarded;
            }
        }
        flow.reader.shutdown(Shutdown::Both).ok();
        flow.writer.shutdown(Shutdown::Both).ok();
    }

    /// Closes the next connection after this many bytes have been forwarded in this direction.
    pub fn disconnect_next_after(&self, direction: Direction, bytes: usize) {
        self.state().next_limit = Some(ByteLimit { direction, bytes });
    }

    /// Closes all open connections.
    pub fn disconnect(&self) {
        for connection in std::mem::take(&mut self.state().open) {
            connection.shutdown(Shutdown::Both).ok();
        }
    }

    /// Sets the server to which new connections are forwarded. With `None`, they are closed immediately.
    pub fn set_upstream(&self, upstream: Option<SocketAddr>) {
        self.state().upstream = upstream;
    }

    /// Sets the delay of all bytes that are forwarded from now on.
    pub fn set_delay(&self, delay: Duration) {
        self.state().delay = delay;
    }

    /// Sets whether bytes in one direction are read and dropped instead of forwarded.
    pub fn set_silent(&self, direction: Direction, dropping: bool) {
        *self.state().dropping.get_mut(direction) = dropping;
    }

    /// Returns how many bytes were forwarded on the newest connection.
    pub fn forwarded_bytes(&self) -> ByDirection<usize> {
        self.state().forwarded
    }
}
