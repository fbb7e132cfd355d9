//! A link that can be cut after an exact byte, slowed, silenced one way, and led to another machine.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::Duration;

/// Which way bytes go: towards who is connected to, or back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    There,
    Back,
}

#[derive(Default)]
struct State {
    upstream: Option<SocketAddr>,
    /// For the next connection: it is cut once so many bytes have crossed that way.
    cut: Option<(Way, usize)>,
    delay: Duration,
    /// Bytes that way are taken and never passed on.
    silent: [bool; 2],
    open: Vec<TcpStream>,
    /// Bytes that have crossed on the newest connection.
    crossed: [usize; 2],
    connections: usize,
}

#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Proxy {
    pub fn start(upstream: SocketAddr) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(Mutex::new(State {
            upstream: Some(upstream),
            ..State::default()
        }));
        let proxy = Proxy { address, state };
        let here = proxy.clone();
        spawn(move || {
            for near in listener.incoming().map_while(Result::ok) {
                here.connect(near);
            }
        });
        proxy
    }

    fn connect(&self, near: TcpStream) {
        let mut state = self.state.lock().unwrap();
        let Some(far) = state.upstream.and_then(|to| TcpStream::connect(to).ok()) else {
            return;
        };
        near.set_nodelay(true).ok();
        far.set_nodelay(true).ok();
        state.connections += 1;
        state.crossed = [0; 2];
        let (number, cut) = (state.connections, state.cut.take());
        for (way, from, to) in [(Way::There, &near, &far), (Way::Back, &far, &near)] {
            let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else {
                return;
            };
            let most = cut.filter(|(w, _)| *w == way).map(|(_, most)| most);
            let here = self.clone();
            spawn(move || here.carry(number, way, from, to, most));
        }
        state.open.push(near);
        state.open.push(far);
    }

    fn carry(
        &self,
        number: usize,
        way: Way,
        mut from: TcpStream,
        mut to: TcpStream,
        most: Option<usize>,
    ) {
        let (mut buffer, mut crossed) = ([0; 4096], 0);
        loop {
            if most == Some(crossed) {
                break;
            }
            let Ok(n) = from.read(&mut buffer) else { break };
            if n == 0 {
                break;
            }
            let n = most.map_or(n, |most| n.min(most - crossed));
            let (delay, silent) = {
                let state = self.state.lock().unwrap();
                (state.delay, state.silent[way as usize])
            };
            sleep(delay);
            if silent {
                continue;
            }
            if to.write_all(&buffer[..n]).is_err() {
                break;
            }
            crossed += n;
            let mut state = self.state.lock().unwrap();
            if state.connections == number {
                state.crossed[way as usize] = crossed;
            }
        }
        from.shutdown(Shutdown::Both).ok();
        to.shutdown(Shutdown::Both).ok();
    }

    /// The next connection is cut once so many bytes have crossed that way.
    pub fn cut_next(&self, way: Way, after: usize) {
        self.state.lock().unwrap().cut = Some((way, after));
    }

    /// Cuts what is open, now.
    pub fn cut(&self) {
        for line in std::mem::take(&mut self.state.lock().unwrap().open) {
            line.shutdown(Shutdown::Both).ok();
        }
    }

    /// Where connections lead from now on; nowhere, they are closed as they come.
    pub fn lead_to(&self, upstream: Option<SocketAddr>) {
        self.state.lock().unwrap().upstream = upstream;
    }

    pub fn slow_by(&self, delay: Duration) {
        self.state.lock().unwrap().delay = delay;
    }

    pub fn silence(&self, way: Way, silent: bool) {
        self.state.lock().unwrap().silent[way as usize] = silent;
    }

    /// Bytes that have crossed on the newest connection, there and back.
    pub fn crossed(&self) -> [usize; 2] {
        self.state.lock().unwrap().crossed
    }
}
