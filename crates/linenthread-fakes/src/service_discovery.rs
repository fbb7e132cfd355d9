//! A fake of service discovery. It responds to requests for the full membership, and leaves each watch pending until
//! the test answers it.

use std::io::BufReader;
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::spawn;

use serde_json::{Value, json};

use crate::http::{read_message, write_response};
use crate::loopback::{self, duplicate};
use crate::{EVENT_TIMEOUT, wait};

/// A service discovery server. It responds to requests for the full membership, and leaves each watch pending until the
/// test answers it.
pub struct ServiceDiscovery {
    /// The address on which it listens.
    pub address: SocketAddr,
    watches: Receiver<TcpStream>,
}

impl ServiceDiscovery {
    /// Starts a server with a full membership such as [`membership`] returns.
    ///
    /// # Panics
    ///
    /// If loopback has no free port.
    pub fn start(full: String) -> ServiceDiscovery {
        let listener = loopback::listen();
        let address = loopback::address_of(&listener);
        let (watch_sender, watches) = channel();
        spawn(move || {
            for connection in listener.incoming() {
                let connection = connection.expect("a connection can be accepted");
                let (watch_sender, full) = (watch_sender.clone(), full.clone());
                spawn(move || serve(&connection, &watch_sender, &full));
            }
        });
        ServiceDiscovery { address, watches }
    }

    /// Waits for a watch and for the other side to close its connection. Reports whether that happened in time and
    /// without more bytes.
    ///
    /// # Panics
    ///
    /// If no watch arrives in time.
    pub fn wait_until_watch_closed(&self) -> bool {
        let connection = wait(&self.watches, "a watch");
        connection
            .set_read_timeout(Some(EVENT_TIMEOUT))
            .expect("the time-out is not zero");
        connection.peek(&mut [0]).is_ok_and(|bytes| bytes == 0)
    }

    /// Answers the oldest pending watch, or the next one to arrive.
    ///
    /// # Panics
    ///
    /// If no watch arrives in time, or the answer cannot be written to its connection.
    pub fn answer_watch(&self, body: &str) {
        write_response(&wait(&self.watches, "a watch"), body);
    }
}

fn serve(connection: &TcpStream, watch_sender: &Sender<TcpStream>, full: &str) {
    let mut reader = BufReader::new(duplicate(connection));
    while let Some(message) = read_message(&mut reader) {
        if !message.start_line.contains("from=") {
            write_response(connection, full);
        } else if watch_sender.send(duplicate(connection)).is_err() {
            return;
        }
    }
}

/// Returns the entry of a replica in a membership.
pub fn member(id: usize, address: SocketAddr, phase: &str) -> Value {
    json!({"id": format!("s-{id}"), "host_port": address.to_string(), "locality": "a", "flavor": "m",
           "cell": id, "phase": phase, "size": 1.0, "up_since_ms": 0})
}

/// Returns a membership at a revision: the full one, or only the members that have changed.
pub fn membership(revision: u64, full: bool, members: Vec<Value>) -> String {
    json!({"revision": revision, "complete": full, "members": Value::Array(members)}).to_string()
}
