//! A roster that gives its whole list when asked, and leaves each watch to the test.

use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::thread::spawn;

use serde_json::{Value, json};

use crate::http::{message, respond};
use crate::{PATIENCE, wait};

/// A roster that gives its whole list when asked, and leaves each watch to the test.
pub struct Roster {
    pub address: SocketAddr,
    watches: Receiver<TcpStream>,
}

impl Roster {
    pub fn start(whole: String) -> Roster {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (to, watches) = channel();
        spawn(move || {
            for line in listener.incoming() {
                let (line, to, whole) = (line.unwrap(), to.clone(), whole.clone());
                spawn(move || {
                    let mut read = BufReader::new(line.try_clone().unwrap());
                    while let Some((first, _, _)) = message(&mut read) {
                        match first.contains("from=") {
                            true if to.send(line.try_clone().unwrap()).is_err() => return,
                            true => {}
                            false => respond(&line, &whole),
                        }
                    }
                });
            }
        });
        Roster { address, watches }
    }

    /// Waits until a watch is held, and then until the other side has ended it.
    pub fn left(&self) -> bool {
        let line = wait(&self.watches, "a watch");
        line.set_read_timeout(Some(PATIENCE)).unwrap();
        line.peek(&mut [0]).is_ok_and(|n| n == 0)
    }

    /// Answers the watch that is held, or the next.
    pub fn tell(&self, body: &str) {
        respond(&wait(&self.watches, "a watch"), body);
    }
}

pub fn entry(id: usize, address: SocketAddr, phase: &str) -> Value {
    json!({"id": format!("s-{id}"), "host_port": address.to_string(), "locality": "a", "flavor": "m",
           "cell": id, "phase": phase, "size": 1.0, "up_since_ms": 0})
}

pub fn list(revision: u64, whole: bool, members: Vec<Value>) -> String {
    json!({"revision": revision, "complete": whole, "members": members}).to_string()
}
